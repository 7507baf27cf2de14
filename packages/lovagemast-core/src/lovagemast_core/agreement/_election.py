"""Leader election with pre-vote."""

from collections.abc import Callable
from typing import Final, NamedTuple

from .._messages import VoteAsk, VoteReply
from .._outbox import Outbox
from ._progress import majority_of
from ._replicastate import ReplicaState, Role, vm_of


class Timing(NamedTuple):
    """How soon silence of a leader is noticed; all in s."""

    heartbeat_s: float = 0.15
    timeout_s: float = 0.9
    spread_s: float = 0.6  # candidates wait up to this much longer


DEFAULT_TIMING: Final = Timing()


class Election:
    """Campaigns when no leader is heard, and votes for others.

    A replica that hears a leader votes for nobody, so that one coming
    back from behind a cut cannot unseat a leader that works.
    """

    def __init__(
        self,
        replica: ReplicaState,
        outbox: Outbox,
        on_won: Callable[[float], None],
        timing: Timing,
        now: float,
    ) -> None:
        self._timing = timing
        self._replica = replica
        self._outbox = outbox
        self._on_won = on_won
        self._votes: set[str] = set()
        # A replica that restarts may have confirmed a leader just before;
        # it votes for nobody else until that leader's lease has run out.
        self._leader_heard_at = now
        if replica.log.is_empty:
            self._leader_heard_at = now - timing.timeout_s
        self._due_at = now
        self.postpone(now)
        outbox.call_at(self._due_at, self._on_timer)

    def postpone(self, now: float) -> None:
        """Wait a whole election timeout from now on."""
        wait = self._timing.timeout_s
        wait += self._outbox.rng.random() * self._timing.spread_s
        self._due_at = now + wait

    def heard_leader(self, now: float) -> None:
        """Note a message of the current leader."""
        self._leader_heard_at = now
        self.postpone(now)

    def on_ask(self, ask: VoteAsk, now: float) -> None:
        """Answer a candidate."""
        replica = self._replica
        follows = now - self._leader_heard_at < self._timing.timeout_s
        granted = False
        if not replica.is_leader() and not follows:
            if not ask.pre and ask.term > replica.term:
                self.step_down(ask.term, now)
            granted = self._may_vote(ask)
        if granted and not ask.pre:
            replica.set_hard_state(replica.term, ask.candidate)
            self.postpone(now)
        term = ask.term if granted else replica.term
        reply = VoteReply(term, replica.identity, granted, ask.pre)
        replica.gate.send(vm_of(ask.candidate), reply)

    def on_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        replica = self._replica
        if not reply.granted:
            if reply.term > replica.term:
                self.step_down(reply.term, now)
            return
        sought = replica.term + 1 if reply.pre else replica.term
        role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        if replica.role is role and reply.term == sought:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def step_down(self, term: int, now: float) -> None:
        """Follow whoever leads a term that is not older than the own."""
        replica = self._replica
        if term > replica.term:
            replica.set_hard_state(term, '')
        if replica.role is not Role.FOLLOWER:
            replica.role = Role.FOLLOWER
            replica.leader = ''
            self.postpone(now)

    def _on_timer(self, now: float) -> None:
        if now >= self._due_at:
            self.postpone(now)
            self._campaign(now)
        self._outbox.call_at(self._due_at, self._on_timer)

    def _campaign(self, now: float) -> None:
        replica = self._replica
        if replica.is_leader() or not replica.is_voter():
            return
        replica.leader = ''
        replica.role = Role.PRE_CANDIDATE
        self._votes = {replica.identity}
        self._ask_votes(replica.term + 1, pre=True)
        self._count_votes(now)
        replica.flush()

    def _ask_votes(self, term: int, *, pre: bool) -> None:
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
                replica.gate.send(vm_of(voter), ask)

    def _count_votes(self, now: float) -> None:
        replica = self._replica
        granted = [voter for voter in replica.voters if voter in self._votes]
        if len(granted) < majority_of(len(replica.voters)):
            return
        if replica.role is Role.PRE_CANDIDATE:
            replica.role = Role.CANDIDATE
            replica.set_hard_state(replica.term + 1, replica.identity)
            self._votes = {replica.identity}
            self._ask_votes(replica.term, pre=False)
            self._count_votes(now)
        elif replica.role is Role.CANDIDATE:
            self._on_won(now)

    def _may_vote(self, ask: VoteAsk) -> bool:
        replica = self._replica
        if replica.log.is_newer_than(ask.last_index, ask.last_term):
            return False
        if ask.pre:
            return ask.term > replica.term
        free = replica.hard_state.voted_for in {'', ask.candidate}
        return ask.term == replica.term and free
