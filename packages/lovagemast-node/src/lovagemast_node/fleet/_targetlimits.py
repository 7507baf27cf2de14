"""What an entry VM learns of targets' limits, and waits for their tokens."""

from typing import Final

from lovagemast_core.entry import EntryShare, KnownTarget, SendTerms
from lovagemast_core.targetlimits import is_readable, limit_from_number
from lovagemast_core.targets import LimitReport

from .._clock import now_s
from ._codec import TargetResponseMetadata
from ._entrystate import EntryState
from ._limitlog import log_limits, log_tolerances
from ._refusal import HttpRefusal

# Without news of the leader for this long, an entry VM uses its own share.
ISOLATED_VIEW_AGE_S: Final = 1.0
# First words of the refusal's reason, which callers may rely on.
LIMITED_CODE: Final = 'target-limit'
MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 4.0


def send_terms(state: EntryState, now: float) -> SendTerms:
    """Return this VM's share of limits, and whether it has to use it."""
    view = state.view
    share = EntryShare(view.rank, view.entries)
    return SendTerms(share, view.age(now) > ISOLATED_VIEW_AGE_S)


def record_limit(
    state: EntryState,
    known: KnownTarget,
    response: TargetResponseMetadata,
    sent_at: float,
) -> None:
    """Record the limit that a response states, or that it states none.

    A refusal without a limit, and a response that is not the target's own, say
    nothing.
    """
    if response.limit is None:
        is_refusal = response.not_executed or response.other_target
        if is_refusal or not response.stamped:
            return
    elif not is_readable(response.limit):
        state.log.write('limit', 'unreadable', target=known.record.target)
        return
    report = LimitReport(
        known.record.target,
        known.record.incarnation,
        limit_from_number(response.limit),
        0.0,
    )
    limits = state.sends.exchange.known
    if limits.record_answer(report, sent_at, now_s()):
        log_limits(state.log, (report,), 'answer')
        state.metrics.set_limited_targets(len(limits.current()))
        state.request_sync()
        state.notify_update()


def record_tolerance(
    state: EntryState,
    known: KnownTarget,
    response: TargetResponseMetadata,
    sent_at: float,
) -> None:
    """Record whether a response says that its target is brittle.

    All its responses do, rejections too; one that isn't its own says nothing.
    """
    tolerance = response.tolerance
    if tolerance is None and not response.stamped:
        return
    if tolerance is not None and not is_readable(tolerance):
        state.log.write('brittle', 'unreadable', target=known.record.target)
        return
    report = LimitReport(
        known.record.target,
        known.record.incarnation,
        limit_from_number(tolerance),
        0.0,
    )
    tolerances = state.rejections.exchange.known
    if tolerances.record_answer(report, sent_at, now_s()):
        log_tolerances(state.log, (report,), 'answer')
        state.request_sync()
        state.notify_update()


class TokenWait:
    """A request's wait for one more request within a target's limit.

    It waits for the tokens of one target at a time, the one with the shortest
    queue when the wait began.
    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._target = ''
        self._began_at = 0.0
        self.total_s = 0.0

    def update(self, limited: list[KnownTarget], now: float) -> None:
        """Wait for one of the targets that only their limits hold back."""
        names = [known.record.target for known in limited]
        if self._target in names and not self._expected_wait_s(now):
            return
        nearest = min(
            names,
            key=lambda name: self._state.sends.expected_wait_s(name, now),
            default='',
        )
        self._wait_for(nearest, now)

    def end(self) -> None:
        """End the wait."""
        self._wait_for('', now_s())

    def is_short(self, now: float) -> bool:
        """Return whether the leader has just reported a shortage."""
        return bool(self._target) and self._expected_wait_s(now) > 0

    def exceeds(self, give_up_at: float, now: float) -> bool:
        """Return whether the expected wait is longer than the request's."""
        return now + self._expected_wait_s(now) > give_up_at

    def refusal(self, now: float) -> HttpRefusal:
        """Return the refusal of a request that waits too long."""
        wait_s = self._expected_wait_s(now)
        self._state.metrics.record_limit_refusal()
        return HttpRefusal(
            503,
            f'{LIMITED_CODE}: {self._target} takes no more within its limit',
            min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
        )

    @property
    def target(self) -> str:
        """Return the target that is waited for, empty if none is."""
        return self._target

    def _expected_wait_s(self, now: float) -> float:
        return self._state.sends.expected_wait_s(self._target, now)

    def _wait_for(self, target: str, now: float) -> None:
        if target == self._target:
            return
        sends = self._state.sends
        if self._target:
            sends.add_waiting(self._target, -1, now)
            self.total_s += now - self._began_at
        self._target = target
        self._began_at = now
        if target:
            sends.add_waiting(target, 1, now)
            self._state.request_sync()
