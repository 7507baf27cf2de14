"""A request's wait for a target that can take it, and when to give it up."""

from typing import Final, NamedTuple

from lovagemast_core.entry import (
    Candidate,
    Choice,
    NoReadyTarget,
    TargetRequirements,
)

from .._clock import now_s
from ._admitted import RESUMPTION_WAIT_FRACTION, AdmittedRequest
from ._entrystate import POLL_INTERVAL_S, EntryState
from ._quarantinecheck import QuarantineCheck
from ._refusal import HttpRefusal
from ._streamcontinuity import StreamContinuity
from ._targetchoice import TargetChooser
from ._targetlimits import TokenWait

# The wait for a free target is bounded by a multiple of the route's latency
# objective and by a fraction of the time to the deadline.
TARGET_WAIT_OBJECTIVES: Final = 2.0
TARGET_WAIT_FRACTION: Final = 0.3
# The wait for a token of a limited target, as a multiple of the objective.
TOKEN_WAIT_OBJECTIVES: Final = 0.75
NOT_RUN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 4.0
# First words of the refusal's reason, which callers may rely on.
PAUSED_CODE: Final = 'targets-paused'
EXPECTED_ADAPTER_WAIT_S: Final = 0.4  # a load and the leader's round trip


class PathsLost(NamedTuple):
    """No target of the pool is in reach of this entry VM."""


class TargetWait:
    """Waits until a target can take a request, or tells why it can't.

    Refusals say that the request has not run at the target waited for;
    earlier attempts are the caller's concern.
    """

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        quarantine: QuarantineCheck,
        continuity: StreamContinuity,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._quarantine = quarantine
        self._continuity = continuity
        self._chooser = TargetChooser(state, admitted, continuity)
        self._tokens = TokenWait(state)
        self._pool = admitted.pool.name
        self._is_waiting = False
        # What was reported as waited for.
        self._reported: TargetRequirements | None = None

    @property
    def limited_s(self) -> float:
        """Return how long the request has waited for limits of targets."""
        return self._tokens.total_s

    def record_request(self) -> None:
        """Count the demand for the request's adapter."""
        if self._admitted.metadata.adapter:
            self._state.load.adapter_requested(self._chooser.requirements)

    def deadline(self) -> float:
        """Return when the wait for a target is to end."""
        admitted = self._admitted
        timeout_s = admitted.deadline - admitted.arrived_at
        if admitted.is_resumption:
            return admitted.arrived_at + RESUMPTION_WAIT_FRACTION * timeout_s
        max_wait_s = TARGET_WAIT_FRACTION * timeout_s
        objectives_s = TARGET_WAIT_OBJECTIVES * admitted.route.objective_s
        return admitted.arrived_at + min(max_wait_s, objectives_s)

    async def find(
        self, tried: frozenset[str], give_up_at: float
    ) -> Candidate | HttpRefusal | PathsLost:
        """Wait until a target with the adapter can take the request.

        Return at once if this VM reaches no target of the pool.
        """
        try:
            while True:
                now = now_s()
                if self._state.paths.is_lost(self._pool):
                    return PathsLost()
                choice = self._chooser.choose(tried, now)
                if isinstance(choice, Choice):
                    self._state.queue.record_send(self._pool, now)
                    return choice.candidate
                crowded = self._join(give_up_at, now)
                if crowded:
                    return crowded
                self._tokens.update(self._chooser.limited, now)
                token_deadline = give_up_at
                if not tried:
                    token_deadline = min(give_up_at, self._token_deadline())
                refusal = self._check(choice, give_up_at, token_deadline, now)
                if refusal:
                    return refusal
                if self._needs_load(choice, now):
                    self._report_waiting()
                await self._state.wait_for_update(_poll_delay_s(choice, now))
        finally:
            self._end()

    def _end(self) -> None:
        self._tokens.end()
        self._leave()
        self._end_report()

    def _join(self, give_up_at: float, now: float) -> HttpRefusal | None:
        """Join the requests that wait, unless too many of them do."""
        if self._is_waiting:
            return None
        queue = self._state.queue
        priority = self._admitted.queue_priority
        wait_s = queue.expected_wait_s(self._pool, priority, now)
        if wait_s and now + wait_s > give_up_at:
            reason = f'too many requests wait: {wait_s:.1f} s'
            return HttpRefusal(503, reason, wait_s)
        self._is_waiting = True
        queue.join(self._pool, priority)
        return None

    def _leave(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._state.queue.leave(self._pool, self._admitted.queue_priority)

    def _check(
        self,
        choice: NoReadyTarget,
        give_up_at: float,
        token_deadline: float,
        now: float,
    ) -> HttpRefusal | None:
        """Return why the request is not to wait any longer."""
        refusal = self._quarantine.quarantine_refusal()
        refusal = refusal or self._continuity.refusal_if_gone()
        if refusal:
            return refusal
        if self._is_only_limited(choice) and self._waits_in_vain(
            token_deadline, now
        ):
            return self._tokens.refusal(now)
        if now >= give_up_at:
            return HttpRefusal(503, 'no target is free', NOT_RUN_RETRY_AFTER_S)
        if choice.paused_until is not None and choice.paused_until > give_up_at:
            wait_s = min(MAX_RETRY_AFTER_S, choice.paused_until - now)
            return HttpRefusal(503, f'{PAUSED_CODE}: all want one', wait_s)
        orders_at = self._state.view.orders_allowed_at
        if self._lacks_adapter(choice) and orders_at > give_up_at:
            wait_s = orders_at - now + EXPECTED_ADAPTER_WAIT_S
            return HttpRefusal(503, 'no adapter can be loaded yet', wait_s)
        return None

    def _waits_in_vain(self, give_up_at: float, now: float) -> bool:
        """Return whether neither a token nor another target will come in time.

        An adapter may be loaded at another target meanwhile.
        """
        if now >= give_up_at:
            return True
        waited_s = now - self._admitted.arrived_at
        may_be_loaded = (
            bool(self._chooser.requirements.adapter)
            and waited_s < EXPECTED_ADAPTER_WAIT_S
        )
        return not may_be_loaded and self._tokens.exceeds(give_up_at, now)

    def _token_deadline(self) -> float:
        """Return until when a first attempt waits for a token.

        Later ones, and streams that have begun, wait as for any target.
        """
        objective_s = self._admitted.route.objective_s
        return self._admitted.arrived_at + TOKEN_WAIT_OBJECTIVES * objective_s

    def _needs_load(self, choice: NoReadyTarget, now: float) -> bool:
        """Return whether the adapter should be loaded at another target."""
        if self._lacks_adapter(choice):
            return True
        return (
            bool(self._chooser.requirements.adapter)
            and self._is_only_limited(choice)
            and self._tokens.is_short(now)
        )

    def _is_only_limited(self, choice: NoReadyTarget) -> bool:
        """Return whether only limits hold back all holders of the adapter."""
        limited = self._chooser.limited
        return bool(limited) and len(limited) >= choice.holder_count

    def _lacks_adapter(self, choice: NoReadyTarget) -> bool:
        return (
            bool(self._chooser.requirements.adapter) and not choice.holder_count
        )

    def _report_waiting(self) -> None:
        """Report that a request waits for the adapter, once."""
        if self._reported is None:
            self._reported = self._chooser.requirements
            self._change_waiting(self._reported, 1)

    def _end_report(self) -> None:
        if self._reported:
            self._change_waiting(self._reported, -1)
            self._reported = None

    def _change_waiting(self, wanted: TargetRequirements, change: int) -> None:
        self._state.load.adapter_awaited(wanted, change)
        self._state.request_sync()


def _poll_delay_s(choice: NoReadyTarget, now: float) -> float:
    """Return the delay before the next search for a target."""
    if choice.ready_at is None:
        return POLL_INTERVAL_S
    return min(POLL_INTERVAL_S, max(0.001, choice.ready_at - now))
