"""A request's wait for its turn in a pool that is served in order."""

from typing import Final, NamedTuple

from lovagemast_core.entry import (
    Candidate,
    Choice,
    NoReadyTarget,
    WaitingRequest,
)

from .._clock import now_s
from ._admitted import RESUMPTION_PRIORITY, AdmittedRequest
from ._entrystate import EntryState
from ._poolqueue import CheckResult, PoolQueue, Readiness
from ._refusal import HttpRefusal
from ._waitconditions import SearchTerms, WaitConditions

# First words of the refusal's reason, which callers may rely on.
CROWDED_REASON: Final = 'too many requests wait'


class PathsLost(NamedTuple):
    """No target of the pool is in reach of this entry VM."""


Found = Candidate | HttpRefusal | PathsLost


class OrderedWait:
    """Waits in the queue of a pool until a target can take a request."""

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        conditions: WaitConditions,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._conditions = conditions
        self._pool = admitted.pool.name
        self._rank: WaitingRequest | None = None  # since the first search
        self._is_counted = False  # as sent, in its account's share
        self._found: Found | None = None  # by the last check
        self._waited_s = 0.0

    @property
    def waited_s(self) -> float | None:
        """Return how long it waited, ``None`` if its pool has no queue."""
        return self._waited_s if self._rank else None

    async def find(self, queue: PoolQueue, terms: SearchTerms) -> Found:
        """Wait for the request's turn; go at once if no other waits."""
        now = now_s()
        rank = self._make_rank(queue, terms)
        if self._state.paths.is_lost(self._pool):
            return PathsLost()
        choice = self._conditions.chooser.choose(terms.tried, now)
        if isinstance(choice, Choice):
            if not queue:
                return self._count_send(queue, choice.candidate, now)
        else:
            refusal = self._refuse_early(queue, rank, choice, now)
            if refusal:
                return refusal
        return await self._wait_in_order(queue, rank, terms)

    async def _wait_in_order(
        self, queue: PoolQueue, rank: WaitingRequest, terms: SearchTerms
    ) -> Found:
        joined_at = now_s()
        ticket = queue.join(rank, lambda now: self._check(terms, now))
        try:
            while True:
                await ticket.wait()
                now = now_s()
                # Others may have run since the pass, and changed the target.
                if isinstance(self._found, Candidate):
                    self._check(terms, now)
                if isinstance(self._found, Candidate):
                    return self._count_send(queue, self._found, now)
                if self._found is not None:
                    return self._found
                queue.wait_again(ticket)
        finally:
            queue.leave(ticket)
            self._record_wait(now_s() - joined_at)

    def _check(self, terms: SearchTerms, now: float) -> CheckResult:
        """Look for a target, or for a reason to wait no longer."""
        self._found = None
        if self._state.paths.is_lost(self._pool):
            self._found = PathsLost()
            return CheckResult(Readiness.ENDS)
        choice = self._conditions.chooser.choose(terms.tried, now)
        if isinstance(choice, Choice):
            self._found = choice.candidate
            return CheckResult(
                Readiness.CAN_SEND, target=choice.candidate.target
            )
        self._found = self._conditions.keep_waiting(choice, terms, now)
        if self._found is not None:
            return CheckResult(Readiness.ENDS)
        moments = (choice.ready_at, choice.paused_until, terms.give_up_at)
        return CheckResult(
            Readiness.WAITS,
            is_held=self._conditions.is_held(choice),
            check_at=min(one for one in moments if one is not None),
            holders=self._conditions.holders(choice, now),
        )

    def _make_rank(
        self, queue: PoolQueue, terms: SearchTerms
    ) -> WaitingRequest:
        rank = self._rank or self._state.queues.rank(self._admitted, queue)
        rank = rank._replace(give_up_at=terms.give_up_at)
        if terms.has_begun:
            rank = rank._replace(priority=RESUMPTION_PRIORITY)
        self._rank = rank
        return rank

    def _count_send(
        self, queue: PoolQueue, candidate: Candidate, now: float
    ) -> Candidate:
        """Count the work of the request, once for all its attempts."""
        if self._rank and not self._is_counted:
            self._is_counted = True
            queue.order.record_send(self._rank, now)
        return candidate

    def _record_wait(self, waited_s: float) -> None:
        self._waited_s += waited_s
        self._state.metrics.record_wait(self._pool, waited_s)

    def _refuse_early(
        self,
        queue: PoolQueue,
        rank: WaitingRequest,
        choice: NoReadyTarget,
        now: float,
    ) -> HttpRefusal | None:
        """Return a refusal if the wait would be too long."""
        wait_s = queue.order.expected_wait_s(
            rank, now, is_held=self._conditions.is_held(choice)
        )
        if not wait_s or now + wait_s <= rank.give_up_at:
            return None
        return HttpRefusal(
            503,
            f'{CROWDED_REASON}: {wait_s:.1f} s',
            self._state.queues.refuse_early(self._admitted, wait_s, now),
        )
