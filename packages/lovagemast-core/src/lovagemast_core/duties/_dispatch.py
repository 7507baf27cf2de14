"""Hands the committed calls to the holder, one per subject at a time."""

from typing import Final, NamedTuple, TypeAlias

from ._config import DutyConfig
from ._records import (
    USAGE_SUBJECT,
    CallDone,
    CallResult,
    CallSubject,
    DutyCall,
    HandedCall,
    ScaleOrder,
    UsageReport,
    subject_of,
)
from ._state import (
    ConfirmDesired,
    ConfirmUsage,
    DutyState,
)

# The calls of all VMs together are limited; a holder that was just replaced
# and links that stall leave room for bunches.
PACE: Final = 0.5  # fraction of the limit that is used
FIRST_TIMEOUT_S: Final = 1.5
MAX_TIMEOUT_S: Final = 4.0  # of repeated calls, as it may be slow
OUTCOME_MARGIN_S: Final = 1.0  # for connecting and both ways of the outcome
# Wait before a call is repeated; it doubles with each time up to the second
# figure. Other responses than expected change only with the infrastructure.
BACKOFF_S: Final = {
    CallResult.BUSY: (0.25, 2.0),
    CallResult.SILENT: (0.1, 1.0),
    CallResult.UNREACHABLE: (0.1, 1.0),
    CallResult.REJECTED: (5.0, 5.0),
    CallResult.NOT_SENT: (0.1, 0.1),
}
MAX_DOUBLINGS: Final = 6
# A call without a response may still arrive within this time, and an older
# number of targets would then replace a newer one.
LATE_CALL_S: Final = 3.0

CallKey: TypeAlias = tuple[CallSubject, int]  # and the window, or the number
Confirmation: TypeAlias = ConfirmUsage | ConfirmDesired


class _Due(NamedTuple):
    key: CallKey
    call: DutyCall


class _Pending(NamedTuple):
    key: CallKey
    token: int
    deadline: float  # s


class _Uncertain(NamedTuple):
    key: CallKey
    at: float  # s


class CallDispatcher:
    """Tracks the calls of a term that have no committed confirmation."""

    def __init__(self, cfg: DutyConfig) -> None:
        self._cfg = cfg
        self._interval_s = 1.0 / (cfg.calls_per_s * PACE)
        self._number = 0
        self._sent_at = float('-inf')
        self._pending: dict[int, _Pending] = {}
        self._attempts: dict[CallKey, int] = {}
        self._not_before: dict[CallKey, float] = {}
        self._confirmed: set[CallKey] = set()
        self._uncertain: dict[CallSubject, _Uncertain] = {}

    def reset(self) -> None:
        """Forget the calls of an earlier term."""
        self._pending.clear()
        self._attempts.clear()
        self._not_before.clear()
        self._confirmed.clear()
        self._uncertain.clear()

    def update(self, state: DutyState) -> None:
        """Forget the calls whose confirmation is committed."""
        left = {due.key for due in _all_calls(state)}
        self._confirmed &= left
        for known in (self._attempts, self._not_before):
            for key in known.keys() - left:
                known.pop(key)

    def next_call(
        self,
        state: DutyState,
        term: int,
        clock: float,
        utc_s: float,
        now: float,
    ) -> HandedCall | None:
        """Return the next call to hand to the holder, if one is due."""
        if now - self._sent_at < self._interval_s:
            return None
        due = self._choose(state, utc_s, now)
        if due is None:
            return None
        self._sent_at = now
        self._number += 1
        doublings = min(self._attempts.get(due.key, 0), MAX_DOUBLINGS)
        timeout_s = min(MAX_TIMEOUT_S, FIRST_TIMEOUT_S * 2**doublings)
        deadline = now + timeout_s + OUTCOME_MARGIN_S
        self._pending[self._number] = _Pending(due.key, state.epoch, deadline)
        handed = HandedCall(self._number, state.epoch, term, clock, timeout_s)
        if isinstance(due.call, ScaleOrder):
            return handed._replace(scale=due.call)
        return handed._replace(usage=due.call)

    def on_done(self, done: CallDone, now: float) -> bool:
        """Record how a call ended; return whether its outcome was awaited."""
        pending = self._pending.pop(done.number, None)
        if pending is None:
            return False
        if done.result is CallResult.CONFIRMED:
            self._on_confirmed(pending.key, now)
        else:
            self._retry_later(pending.key, done.result, now)
        return True

    def expire(self, now: float) -> bool:
        """Retry the calls without an outcome in time; return if any."""
        late = [
            number
            for number, pending in self._pending.items()
            if now > pending.deadline
        ]
        for number in late:
            key = self._pending.pop(number).key
            self._retry_later(key, CallResult.UNREACHABLE, now)
        return bool(late)

    def confirmations(self, state: DutyState) -> list[Confirmation]:
        """Return what is to be committed as confirmed."""
        return [
            _confirmation_of(due)
            for due in _all_calls(state)
            if due.key in self._confirmed
        ]

    def _choose(
        self, state: DutyState, utc_s: float, now: float
    ) -> _Due | None:
        """Return the most urgent call whose subject has none under way."""
        busy = {
            pending.key[0]
            for pending in self._pending.values()
            if pending.token == state.epoch
        }
        ready = [
            due
            for due in _all_calls(state)
            if due.key[0] not in busy
            and due.key not in self._confirmed
            and self._not_before.get(due.key, now) <= now
        ]
        return min(ready, key=lambda due: self._rank(due, utc_s), default=None)

    def _rank(self, due: _Due, utc_s: float) -> tuple[bool, int, int]:
        """Put windows that are already late after all others."""
        if due.key[0] != USAGE_SUBJECT:
            return False, 1, self._attempts.get(due.key, 0)
        windows = self._cfg.windows
        is_late = utc_s > windows.end_of(due.key[1]) + windows.due_s
        return is_late, 0, due.key[1]

    def _on_confirmed(self, key: CallKey, now: float) -> None:
        uncertain = self._uncertain.get(key[0])
        is_final = (
            uncertain is None
            or uncertain.key == key
            or now - uncertain.at > LATE_CALL_S
        )
        if is_final:
            self._uncertain.pop(key[0], None)
            self._confirmed.add(key)
        elif uncertain:
            self._not_before[key] = uncertain.at + LATE_CALL_S

    def _retry_later(
        self, key: CallKey, result: CallResult, now: float
    ) -> None:
        attempts = self._attempts.get(key, 0)
        first_s, most_s = BACKOFF_S[result]
        wait_s = min(most_s, first_s * 2 ** min(attempts, MAX_DOUBLINGS))
        self._not_before[key] = now + wait_s
        if result is CallResult.NOT_SENT:
            return
        self._attempts[key] = attempts + 1
        has_no_response = result in {CallResult.SILENT, CallResult.UNREACHABLE}
        if has_no_response and key[0] != USAGE_SUBJECT:
            self._uncertain[key[0]] = _Uncertain(key, now)


def _all_calls(state: DutyState) -> list[_Due]:
    """Return all calls without a committed confirmation."""
    usage = [
        _Due((USAGE_SUBJECT, report.window), report)
        for report in state.unconfirmed
    ]
    scale = [
        _Due((subject_of(known.order), known.number), known.order)
        for known in state.desired
        if not known.is_confirmed
    ]
    return usage + scale


def _confirmation_of(due: _Due) -> Confirmation:
    if isinstance(due.call, UsageReport):
        return ConfirmUsage(due.call.window)
    return ConfirmDesired(due.call.pool, due.call.zone, due.key[1])
