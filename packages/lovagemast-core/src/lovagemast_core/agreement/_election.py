"""Leader election with pre-vote."""

from collections.abc import Callable
from typing import Final, NamedTuple

from .._messages import VoteAsk, VoteReply
from .._outbox import Outbox
from ._formats import FORMAT
from ._progress import majority_of
from ._replicastate import ReplicaState, Role, vm_of


class Timing(NamedTuple):
    """Heartbeat interval and election timeout of a replica, in s."""

    heartbeat_interval_s: float = 0.15
    election_timeout_s: float = 0.9
    jitter_s: float = 0.6  # upper limit of the random part of a timeout


DEFAULT_TIMING: Final = Timing()


class Election:
    """Campaigns when the leader times out, and answers vote requests.

    A replica that is in contact with a leader grants no vote, so that a
    replica that returns from a network partition cannot depose a working
    leader.
    """

    def __init__(
        self,
        replica: ReplicaState,
        outbox: Outbox,
        on_elected: Callable[[float], None],
        timing: Timing,
        now: float,
    ) -> None:
        self._timing = timing
        self._replica = replica
        self._outbox = outbox
        self._on_elected = on_elected
        self._votes: set[str] = set()
        # A replica may have confirmed a leader just before it restarted; it
        # grants no vote until the lease of that leader has expired.
        self._leader_contact_at = now
        if replica.log.is_empty:
            self._leader_contact_at = now - timing.election_timeout_s
        self._deadline = now
        self.reset_timeout(now)
        outbox.call_at(self._deadline, self._on_timer)

    def reset_timeout(self, now: float) -> None:
        """Restart the election timeout with a new random part."""
        wait = self._timing.election_timeout_s
        wait += self._outbox.rng.random() * self._timing.jitter_s
        self._deadline = now + wait

    def on_leader_contact(self, now: float) -> None:
        """Record a message from the current leader."""
        self._leader_contact_at = now
        self.reset_timeout(now)

    def on_vote_ask(self, ask: VoteAsk, now: float) -> None:
        """Answer a candidate's vote request."""
        replica = self._replica
        has_leader = (
            now - self._leader_contact_at < self._timing.election_timeout_s
        )
        granted = False
        if not replica.is_leader() and not has_leader:
            if not ask.pre and ask.term > replica.term:
                self.step_down(ask.term, now)
            granted = self._may_vote(ask)
        if granted and not ask.pre:
            replica.set_hard_state(replica.term, ask.candidate)
            self.reset_timeout(now)
        term = ask.term if granted else replica.term
        reply = VoteReply(
            term, replica.identity, granted, ask.pre, format=FORMAT
        )
        replica.barrier.send(vm_of(ask.candidate), reply)

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Handle a vote reply; a majority starts or wins the election."""
        replica = self._replica
        if not reply.granted:
            if reply.term > replica.term:
                self.step_down(reply.term, now)
            return
        expected_term = replica.term + 1 if reply.pre else replica.term
        role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        if replica.role is role and reply.term == expected_term:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def step_down(self, term: int, now: float) -> None:
        """Become a follower, moving to ``term`` if it is newer."""
        replica = self._replica
        if term > replica.term:
            replica.set_hard_state(term, '')
        if replica.role is not Role.FOLLOWER:
            replica.role = Role.FOLLOWER
            replica.leader = ''
            self.reset_timeout(now)

    def _on_timer(self, now: float) -> None:
        if now >= self._deadline:
            self.reset_timeout(now)
            self._campaign(now)
        self._outbox.call_at(self._deadline, self._on_timer)

    def _campaign(self, now: float) -> None:
        replica = self._replica
        if replica.is_leader() or not replica.is_voter():
            return
        replica.leader = ''
        replica.role = Role.PRE_CANDIDATE
        self._votes = {replica.identity}
        self._request_votes(replica.term + 1, pre=True)
        self._count_votes(now)
        replica.flush()

    def _request_votes(self, term: int, *, pre: bool) -> None:
        replica = self._replica
        ask = VoteAsk(
            term,
            replica.identity,
            replica.log.last_index,
            replica.log.last_term,
            pre,
        )
        for voter in replica.voters:
            if voter != replica.identity:
                replica.barrier.send(vm_of(voter), ask)

    def _count_votes(self, now: float) -> None:
        replica = self._replica
        granted = [voter for voter in replica.voters if voter in self._votes]
        if len(granted) < majority_of(len(replica.voters)):
            return
        if replica.role is Role.PRE_CANDIDATE:
            replica.role = Role.CANDIDATE
            replica.set_hard_state(replica.term + 1, replica.identity)
            self._votes = {replica.identity}
            self._request_votes(replica.term, pre=False)
            self._count_votes(now)
        elif replica.role is Role.CANDIDATE:
            self._on_elected(now)

    def _may_vote(self, ask: VoteAsk) -> bool:
        replica = self._replica
        if replica.log.is_more_up_to_date_than(ask.last_index, ask.last_term):
            return False
        if ask.pre:
            return ask.term > replica.term
        vote_available = replica.hard_state.voted_for in {'', ask.candidate}
        return ask.term == replica.term and vote_available
