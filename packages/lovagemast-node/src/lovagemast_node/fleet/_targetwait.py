"""A request's wait for a target that can take it, and when to give it up."""

from typing import Final

from lovagemast_core.entry import Choice, NoReadyTarget

from .._clock import now_s
from ._admitted import RESUMPTION_WAIT_FRACTION, AdmittedRequest
from ._entrystate import POLL_INTERVAL_S, EntryState
from ._orderedwait import CROWDED_REASON, Found, OrderedWait, PathsLost
from ._quarantinecheck import QuarantineCheck
from ._refusal import HttpRefusal
from ._streamcontinuity import StreamContinuity
from ._waitconditions import SearchTerms, WaitConditions

# The wait for a free target is bounded by a multiple of the route's latency
# objective and by a fraction of the time to the deadline.
TARGET_WAIT_OBJECTIVES: Final = 2.0
TARGET_WAIT_FRACTION: Final = 0.3


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
        self._conditions = WaitConditions(
            state, admitted, quarantine, continuity
        )
        self._ordered = OrderedWait(state, admitted, self._conditions)
        self._pool = admitted.pool.name
        self._is_waiting = False

    @property
    def waited_s(self) -> float | None:
        """Return the wait in order, ``None`` if the pool has no queue."""
        return self._ordered.waited_s

    @property
    def limited_s(self) -> float:
        """Return how long the request has waited for limits of targets."""
        return self._conditions.tokens.total_s

    def record_request(self) -> None:
        """Count the demand for the request's adapter."""
        if self._admitted.metadata.adapter:
            self._state.load.adapter_requested(
                self._conditions.chooser.requirements
            )

    def deadline(self) -> float:
        """Return when the wait for a target is to end."""
        admitted = self._admitted
        timeout_s = admitted.deadline - admitted.arrived_at
        if admitted.is_resumption:
            return admitted.arrived_at + RESUMPTION_WAIT_FRACTION * timeout_s
        max_wait_s = TARGET_WAIT_FRACTION * timeout_s
        objectives_s = TARGET_WAIT_OBJECTIVES * admitted.route.objective_s
        return admitted.arrived_at + min(max_wait_s, objectives_s)

    async def find(self, terms: SearchTerms) -> Found:
        """Wait until a target with the adapter can take the request.

        Return at once if this VM reaches no target of the pool.
        """
        try:
            while True:
                queue = self._state.queues.queue_of(self._pool)
                if queue is not None:
                    return await self._ordered.find(queue, terms)
                found = await self._poll(terms, now_s())
                if found is not None:
                    return found
        finally:
            self._end()

    async def _poll(self, terms: SearchTerms, now: float) -> Found | None:
        """Look for a target, and wait for a moment if there is none."""
        if self._state.paths.is_lost(self._pool):
            return PathsLost()
        choice = self._conditions.chooser.choose(terms.tried, now)
        if isinstance(choice, Choice):
            self._state.queues.polling.record_send(self._pool, now)
            return choice.candidate
        crowded = self._join(terms.give_up_at, now)
        if crowded:
            return crowded
        refusal = self._conditions.keep_waiting(choice, terms, now)
        if refusal is None:
            await self._state.wait_for_update(_poll_delay_s(choice, now))
        return refusal

    def _end(self) -> None:
        self._conditions.end()
        self._leave()

    def _join(self, give_up_at: float, now: float) -> HttpRefusal | None:
        """Join the requests that wait, unless too many of them do."""
        if self._is_waiting:
            return None
        queue = self._state.queues.polling
        priority = self._admitted.queue_priority
        wait_s = queue.expected_wait_s(self._pool, priority, now)
        if wait_s and now + wait_s > give_up_at:
            reason = f'{CROWDED_REASON}: {wait_s:.1f} s'
            return HttpRefusal(503, reason, wait_s)
        self._is_waiting = True
        queue.join(self._pool, priority)
        return None

    def _leave(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            polling = self._state.queues.polling
            polling.leave(self._pool, self._admitted.queue_priority)


def _poll_delay_s(choice: NoReadyTarget, now: float) -> float:
    """Return the delay before the next search for a target."""
    if choice.ready_at is None:
        return POLL_INTERVAL_S
    return min(POLL_INTERVAL_S, max(0.001, choice.ready_at - now))
