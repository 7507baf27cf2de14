"""One request's way: admission, targets in turn, and its end."""

import asyncio
from typing import Final

from lovagemast_core.entry import (
    Candidate,
    Choice,
    EntryShare,
    KnownTarget,
    NoReadyTarget,
    SelectionCriteria,
    TargetRequirements,
    choose_target,
    find_candidates,
)

from .._clock import now_s
from ..http import HttpRequest, Responder
from ._admission import POLL_S, Admission, Admitted, Refused
from ._attempt import Attempt, End, Ended
from ._dialect import CallFacts
from ._entrystate import EntryState
from ._relay import Relay

EXTRA_SENDS: Final = 3  # to targets that prove not to have run the request
OBJECTIVES_TO_WAIT: Final = 2.0  # for a target, in latency objectives
PART_TO_WAIT: Final = 0.3  # of the time that the caller waits
RETRY_SOON_S: Final = 0.2
LOAD_S: Final = 0.4  # of an adapter, and the way to the leader
UNREAD_COST: Final = 0.1  # of prompts at the limit, in parts of a full target
CONNECTIONS_PART: Final = 0.9  # of a target's limit, over all entry VMs


class Call:
    """A request from its arrival to the end of its answer."""

    def __init__(
        self,
        state: EntryState,
        req: HttpRequest,
        responder: Responder,
    ) -> None:
        self._state = state
        self._req = req
        self._responder = responder
        self._facts: CallFacts | None = state.dialect.read_call(req.headers)
        self._arrived = now_s()
        self._delivery: Delivery | None = None

    async def run(self) -> None:
        """Answer the request."""
        admission = Admission(self._state)
        job = await admission.admit(self._req, self._facts, self._arrived)
        if isinstance(job, Refused):
            await self._refuse(job)
            return
        relay = Relay(self._responder, self._state.dialect)
        self._delivery = Delivery(self._state, job, relay)
        try:
            refused = await self._deliver(self._delivery, job)
        finally:
            self._refund(self._delivery, job)
        if refused:
            await self._refuse(refused)

    def _refund(self, delivery: 'Delivery', job: Admitted) -> None:
        """Give back what a request was charged that no target ran."""
        if job.account and not delivery.may_have_run:
            tokens = self._state.tokens
            tokens.refund(job.account, job.cost, job.arrived, now_s())

    async def _deliver(
        self,
        delivery: 'Delivery',
        job: Admitted,
    ) -> Refused | None:
        try:
            async with asyncio.timeout(job.deadline - now_s()):
                return await delivery.run()
        except TimeoutError:
            if delivery.may_have_run:
                return Refused(504, 'deadline passed')
            return Refused(503, 'no target in time', RETRY_SOON_S)

    async def _refuse(self, refused: Refused) -> None:
        state = self._state
        request_id = self._facts.request_id if self._facts else ''
        state.metrics.refused(refused.status)
        state.log.write(
            'request',
            'refused',
            id=request_id,
            status=refused.status,
            reason=refused.reason,
            path=self._req.path,
            sends=self._delivery.sends if self._delivery else 0,
            target=self._delivery.target if self._delivery else '',
            started=self._responder.started,
            age_s=round(state.view.age(now_s()), 3),
            revision=state.view.published.revision,
            took_s=round(now_s() - self._arrived, 4),
        )
        if self._responder.started:
            self._responder.abort()
            return
        headers = state.dialect.refusal_headers(
            request_id,
            refused.retry_after_s,
            refused.reason,
        )
        await self._responder.send(refused.status, headers)


class Delivery:
    """Tries targets until one answers or nothing more may be tried."""

    def __init__(
        self,
        state: EntryState,
        job: Admitted,
        relay: Relay,
    ) -> None:
        self._state = state
        self._job = job
        self._relay = relay
        self._need = TargetRequirements(
            job.pool.name, job.facts.model, job.facts.adapter
        )
        self._tried: set[str] = set()
        self._runs = 0
        self.sends = 0
        self.target = ''  # that had the request last

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self._runs > 0

    async def run(self) -> Refused | None:
        """Deliver an answer, or return why there is none."""
        self._state.retries.record_request(now_s())
        if self._job.facts.adapter:
            self._state.work.wanted(*self._need)
        while True:
            candidate = await self._find_target()
            if isinstance(candidate, Refused):
                return candidate
            ended = await self._attempt(candidate)
            if ended.end is End.DONE:
                return None
            refused = self._may_go_on(ended)
            if refused:
                return refused

    async def _attempt(self, candidate: Candidate) -> Ended:
        attempt = Attempt(self._state, self._job, candidate, self._relay)
        self.target = candidate.target
        self.sends += 1
        self._runs += 1
        chosen_at = now_s()
        ended = await attempt.run(last_try=not self._could_run_again())
        if not attempt.was_sent:
            self._runs -= 1
        target = candidate.target
        metrics = self._state.metrics
        metrics.attempted(ended.end.name, chosen_at - self._job.arrived)
        if ended.end is End.DONE:
            metrics.answered(now_s() - self._job.arrived)
        self._state.log.write(
            'request',
            ended.end.value,
            id=self._job.facts.request_id,
            target=target,
            account=self._job.account_name,
            tokens=self._job.facts.tokens,
            label=str(candidate.label) if candidate.label else '',
            detail=ended.detail,
            sends=self.sends,
            revision=self._state.view.published.revision,
            **self._times(chosen_at),
        )
        if ended.end is not End.DONE:
            self._tried.add(target)
        return ended

    def _times(self, chosen_at: float) -> dict[str, float | None]:
        """Return how long each part of the request took, in s."""
        arrived = self._job.arrived
        first_at = self._relay.first_at
        return {
            'chosen_s': round(chosen_at - arrived, 4),
            'first_s': round(first_at - arrived, 4) if first_at else None,
            'pause_s': round(self._relay.longest_pause_s, 4),
            'took_s': round(now_s() - arrived, 4),
        }

    def _could_run_again(self) -> bool:
        """Return whether another target may run it after this attempt."""
        route = self._job.route
        return route.idempotent and self._runs < route.max_attempts

    def _may_go_on(self, ended: Ended) -> Refused | None:
        """Return why a request that failed is not sent again."""
        route = self._job.route
        unsure = Refused(502, f'the target {ended.end.value}: {ended.detail}')
        if ended.end is not End.NOT_RUN:
            if not route.idempotent or self._runs >= route.max_attempts:
                return unsure
        elif self.sends >= route.max_attempts + EXTRA_SENDS:
            return self._not_run('targets are full')
        if not self._state.retries.try_acquire(
            self._state.view.entries, now_s()
        ):
            return unsure if self._runs else self._not_run('no retries left')
        return None

    def _not_run(self, reason: str) -> Refused:
        if self._runs:
            return Refused(502, reason)
        return Refused(503, reason, RETRY_SOON_S)

    async def _find_target(self) -> Candidate | Refused:
        """Wait for a target, and for its adapter to be loaded."""
        give_up_at = self._give_up_at()
        waits = False
        try:
            while True:
                now = now_s()
                choice = self._choose(now)
                if isinstance(choice, Choice):
                    return choice.candidate
                refused = self._is_hopeless(choice, give_up_at, now)
                if refused:
                    return refused
                if not waits and self._lacks_adapter(choice):
                    waits = True
                    self._wish(1)
                await self._state.wait_for_news(_pause_s(choice, now))
        finally:
            if waits:
                self._wish(-1)

    def _lacks_adapter(self, choice: NoReadyTarget) -> bool:
        return bool(self._need.adapter) and not choice.holder_count

    def _wish(self, change: int) -> None:
        """Tell the leader that a request waits for an adapter."""
        self._state.work.waits(*self._need, change)
        self._state.ask_leader()

    def _is_hopeless(
        self,
        choice: NoReadyTarget,
        give_up_at: float,
        now: float,
    ) -> Refused | None:
        if now >= give_up_at:
            return self._not_run('no target is free')
        orders_at = self._state.view.orders_allowed_at
        if self._lacks_adapter(choice) and orders_at > give_up_at:
            return self._not_loaded(now)
        return None

    def _not_loaded(self, now: float) -> Refused:
        """Refuse at once what no target will hold in time."""
        if self._runs:
            return Refused(502, 'no other target holds the adapter')
        wait_s = self._state.view.orders_allowed_at - now + LOAD_S
        return Refused(503, 'no adapter can be loaded yet', wait_s)

    def _give_up_at(self) -> float:
        job = self._job
        if self._relay.started:
            return job.deadline
        longest_s = PART_TO_WAIT * (job.deadline - job.arrived)
        objectives_s = OBJECTIVES_TO_WAIT * job.route.objective_s
        return job.arrived + min(longest_s, objectives_s)

    def _choose(self, now: float) -> Choice | NoReadyTarget:
        state = self._state
        terms = SelectionCriteria(
            state.health,
            lambda known: self._load_of(known, now),
            lambda known: self._may_send(known, now),
            frozenset(self._tried),
            state.cfg.zone,
        )
        candidates = find_candidates(state.view, self._need, now)
        return choose_target(candidates, terms, now)

    def _load_of(self, known: KnownTarget, now: float) -> float:
        state = self._state
        entries = state.view.entries
        load = state.work.load_of(known, entries, now)
        unread = state.prefill.utilization(known.record.target, entries)
        return load + UNREAD_COST * unread

    def _may_send(self, known: KnownTarget, now: float) -> bool:
        state = self._state
        entries = state.view.entries
        target = known.record.target
        most = self._job.pool.max_connections * CONNECTIONS_PART / entries
        if state.work.running_at(target) >= max(2, int(most)):
            return False
        if self._is_crowded(known, now):
            return False
        tokens = self._job.facts.prompt_tokens
        if not state.prefill.may_send(target, tokens, entries):
            return False
        if not known.is_cold(now):
            return True
        per_s = self._job.pool.cold_per_s
        share = EntryShare(state.view.rank, entries)
        return state.cold.may_send(target, per_s, share, now)

    def _is_crowded(self, known: KnownTarget, now: float) -> bool:
        if self._job.pool.engine is None:
            return False
        state = self._state
        load = state.work.load_of(known, state.view.entries, now)
        target = known.record.target
        return load >= state.batch.limit(target, self._job.priority)


def _pause_s(choice: NoReadyTarget, now: float) -> float:
    """Return how long to wait before targets are looked at again."""
    if choice.ready_at is None:
        return POLL_S
    return min(POLL_S, max(0.001, choice.ready_at - now))
