"""Forwards an admitted request: attempts and retries."""

from typing import Final

from lovagemast_core.entry import Candidate, EntryShare
from lovagemast_core.quarantine import SendStatus
from lovagemast_core.targets import EntryPeer

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._attempt import Attempt
from ._attemptresult import AttemptOutcome, AttemptResult
from ._entrystate import POLL_INTERVAL_S, EntryState
from ._orderedwait import PathsLost
from ._peerattempt import PeerAttempt
from ._quarantinecheck import QuarantineCheck
from ._refusal import HttpRefusal
from ._relay import ResponseRelay
from ._streamcontinuity import StreamContinuity
from ._targetwait import TargetWait
from ._usage import RequestUsage
from ._waitconditions import NOT_RUN_RETRY_AFTER_S, SearchTerms

# Sends beyond the route's attempts, after targets proved not to have run it.
MAX_EXTRA_SENDS: Final = 3
MAX_PEERS: Final = 3  # that are asked to send one request
PEER_WAIT_S: Final = 0.5  # for the first offers, after the paths were lost
UNREACHABLE_RETRY_AFTER_S: Final = 0.5
# First word of the refusal's reason, which callers may rely on.
UNREACHABLE_CODE: Final = 'targets-out-of-reach'


class RequestForwarder:
    """Sends a request to targets in turn until one responds.

    It gives up when the route, the retry budget or the wait for a target
    allows no further attempt.
    """

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        relay: ResponseRelay,
        continuity: StreamContinuity,
        *,
        is_for_peer: bool = False,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._relay = relay
        self._quarantine = QuarantineCheck(
            state, admitted.subjects, admitted.metadata.request_id
        )
        self._continuity = continuity
        self._usage = RequestUsage(state, admitted)
        self._wait = TargetWait(state, admitted, self._quarantine, continuity)
        self._tried: set[str] = set()
        self._tried_peers: set[str] = set()
        self._possible_runs = 0
        self._is_for_peer = is_for_peer
        self.has_lost_paths = False  # on the last search for a target
        self.sends = 0
        self.target = ''  # of the last attempt

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self._possible_runs > 0

    async def run(self) -> HttpRefusal | None:
        """Relay a response, or return why there is none."""
        if not self._is_for_peer:  # which has counted it
            pool = self._admitted.pool.name
            self._state.retries.record_request(pool, now_s())
            self._wait.record_request()
        while True:
            refusal = await self._wait_for_trial()
            if refusal:
                return refusal
            hop = await self._find_next_hop()
            if isinstance(hop, HttpRefusal):
                return hop
            result = await self._attempt_at(hop)
            if result.outcome is AttemptOutcome.DONE:
                return None
            refusal = self._refusal_after(result)
            if refusal:
                return refusal

    async def _attempt_at(self, hop: Candidate | EntryPeer) -> AttemptResult:
        if isinstance(hop, EntryPeer):
            return await self._attempt_over_peer(hop)
        return await self._attempt(hop)

    async def _run(
        self, attempt: Attempt | PeerAttempt, target: str
    ) -> AttemptResult:
        """Run an attempt at a target or a peer, and count it."""
        self.target = target
        self._possible_runs += 1
        try:
            result = await attempt.run(is_last_attempt=not self._may_retry())
        finally:
            self._state.queues.notify(self._admitted.pool.name)
        if not attempt.may_have_run:
            self._possible_runs -= 1
        if result.outcome is not AttemptOutcome.NOT_SENT:
            self.sends += 1
        return result

    async def _attempt_over_peer(self, peer: EntryPeer) -> AttemptResult:
        attempt = PeerAttempt(
            self._state, self._admitted, peer, self._relay, self._continuity
        )
        chosen_at = now_s()
        result = await self._run(attempt, peer.vm)
        if result.outcome is not AttemptOutcome.DONE:
            self._tried_peers.add(peer.vm)
        self._state.metrics.record_forward(result.outcome.name)
        self._state.log.write(
            'forward',
            result.outcome.value,
            id=self._admitted.metadata.request_id,
            peer=peer.vm,
            account=self._admitted.account_name,
            detail=result.detail,
            **self._timings(chosen_at),
        )
        return result

    async def _attempt(self, candidate: Candidate) -> AttemptResult:
        attempt = Attempt(
            self._state,
            self._admitted,
            candidate,
            self._relay,
            self._quarantine,
            self._continuity,
            self._usage,
        )
        target = candidate.target
        chosen_at = now_s()
        result = await self._run(attempt, target)
        metrics = self._state.metrics
        metrics.record_attempt(
            result.outcome.name, chosen_at - self._admitted.arrived_at
        )
        if result.outcome is AttemptOutcome.DONE:
            metrics.record_response(now_s() - self._admitted.arrived_at)
            self._record_first_event(chosen_at)
        self._state.log.write(
            'request',
            result.outcome.value,
            id=self._admitted.metadata.request_id,
            target=target,
            account=self._admitted.account_name,
            tokens=self._admitted.metadata.tokens,
            label=str(candidate.label) if candidate.label else '',
            software=candidate.known.record.software,
            resumes=self._admitted.metadata.resumes,
            detail=result.detail,
            sends=self.sends,
            age_s=round(self._state.view.age(chosen_at), 3),
            revision=self._state.view.documents.revision,
            **self._timings(chosen_at),
        )
        if result.outcome is not AttemptOutcome.DONE:
            self._tried.add(target)
        return result

    def _record_first_event(self, chosen_at: float) -> None:
        """Record how long the target took until the caller had something."""
        first_at = self._relay.first_at or now_s()
        if first_at >= chosen_at:  # else an earlier attempt began the stream
            route = self._admitted.route.name
            first_events = self._state.queues.first_events
            first_events.record(route, first_at - chosen_at)

    def _timings(self, chosen_at: float) -> dict[str, float | None]:
        """Return the duration of each phase of the request, in seconds."""
        arrived_at = self._admitted.arrived_at
        first_at = self._relay.first_at
        waited_s = self._wait.waited_s
        in_order = {} if waited_s is None else {'waited_s': round(waited_s, 4)}
        return {
            **in_order,
            'chosen_s': round(chosen_at - arrived_at, 4),
            'first_s': round(first_at - arrived_at, 4) if first_at else None,
            'limited_s': round(self._wait.limited_s, 4),
            'pause_s': round(self._relay.longest_pause_s, 4),
            'took_s': round(now_s() - arrived_at, 4),
        }

    def _may_retry(self) -> bool:
        """Return whether the request may be sent again after this attempt."""
        route = self._admitted.route
        return route.idempotent and self._possible_runs < route.max_attempts

    def _check_retry(self, result: AttemptResult) -> HttpRefusal | None:
        """Return why the request may not be sent again, ``None`` if it may."""
        route = self._admitted.route
        possible_run_refusal = HttpRefusal(
            502, f'the target {result.outcome.value}: {result.detail}'
        )
        if result.outcome is not AttemptOutcome.NOT_RUN:
            if (
                not route.idempotent
                or self._possible_runs >= route.max_attempts
            ):
                return possible_run_refusal
        elif self.sends >= route.max_attempts + MAX_EXTRA_SENDS:
            return self._refuse_not_run('targets are full')
        view = self._state.view
        if not self._state.retries.try_acquire(
            self._admitted.pool.name,
            EntryShare(view.rank, view.entries),
            now_s(),
        ):
            return (
                possible_run_refusal
                if self._possible_runs
                else self._refuse_not_run('no retries left')
            )
        return None

    def _refuse_not_run(self, reason: str) -> HttpRefusal:
        if self._possible_runs:
            return HttpRefusal(502, reason)
        return HttpRefusal(503, reason, NOT_RUN_RETRY_AFTER_S)

    async def _wait_for_trial(self) -> HttpRefusal | None:
        """Wait until no suspicion holds the request back."""
        if self._state.paths.is_lost(self._admitted.pool.name):
            return self._check_quarantine()  # the peer that sends it waits
        give_up_at = self._wait_deadline()
        try:
            while True:
                refusal = self._check_quarantine()
                verdict = self._quarantine.verdict()
                if refusal or verdict.status is SendStatus.FREE:
                    return refusal
                if now_s() >= give_up_at:
                    return self._as_possible_run(
                        self._quarantine.held_refusal()
                    )
                self._quarantine.wait_for(verdict.subject)
                await self._state.wait_for_update(POLL_INTERVAL_S)
        finally:
            self._quarantine.wait_for('')

    def _check_quarantine(self) -> HttpRefusal | None:
        refusal = self._quarantine.quarantine_refusal()
        return self._as_possible_run(refusal) if refusal else None

    def _as_possible_run(self, refusal: HttpRefusal) -> HttpRefusal:
        """Return a refusal that does not deny an earlier attempt."""
        if self._possible_runs:
            return HttpRefusal(502, refusal.reason)
        return refusal

    async def _find_next_hop(self) -> Candidate | EntryPeer | HttpRefusal:
        """Wait for a target, or for a peer if no target is in reach."""
        found: Candidate | EntryPeer | HttpRefusal | PathsLost
        found = await self._wait.find(
            SearchTerms(
                frozenset(self._tried),
                self._wait_deadline(),
                self._relay.started,
            )
        )
        self.has_lost_paths = isinstance(found, PathsLost)
        if isinstance(found, PathsLost):
            found = await self._find_peer()
        if isinstance(found, HttpRefusal):
            return self._as_possible_run(found)
        return found

    async def _find_peer(self) -> Candidate | EntryPeer | HttpRefusal:
        """Wait for a peer, for a moment after the paths were lost."""
        state = self._state
        lost_at = state.paths.lost_at(self._admitted.pool.name) or 0.0
        give_up_at = min(lost_at + PEER_WAIT_S, self._wait_deadline())
        while not self._is_for_peer and len(self._tried_peers) < MAX_PEERS:
            now = now_s()
            peer = state.peers.directory.choose(self._tried_peers, now)
            if peer:
                return peer
            if now >= give_up_at or self._tried_peers:
                break
            state.request_sync()
            await state.wait_for_update(POLL_INTERVAL_S)
            if not state.paths.is_lost(self._admitted.pool.name):
                return await self._find_next_hop()
        reason = f'{UNREACHABLE_CODE}: {self._admitted.pool.name}'
        return HttpRefusal(503, reason, UNREACHABLE_RETRY_AFTER_S)

    def _refusal_after(self, result: AttemptResult) -> HttpRefusal | None:
        """Return why there is no further attempt, ``None`` if there is."""
        if result.outcome is AttemptOutcome.NOT_SENT:
            return None
        if result.refusal:
            return self._as_possible_run(result.refusal)
        return self._check_retry(result)

    def _wait_deadline(self) -> float:
        """Return until when to wait; a stream that has begun goes on."""
        if self._relay.started:
            return self._admitted.deadline
        return self._wait.deadline()
