"""Forwards commands to the leader and delivers their outcomes."""

from collections.abc import Callable
from typing import Final

from .._commands import Command, Outcome, Unavailable
from .._messages import Entry, ProposalDone, Propose
from .._outbox import Outbox, Timer
from .._types import VmName
from ._overtaken import is_overtaken
from ._replica import Replica

RESEND_INTERVAL_S: Final = 0.4  # of a command without an outcome
OVERTAKEN: Final = Unavailable('a newer order on the same matter came first')
FULL: Final = Unavailable('too much waits for the disk or for a quorum')
UNREADABLE: Final = Unavailable('a control VM of another build cannot read it')
OnOutcome = Callable[[Outcome, float], None]


class _Pending:
    """A command of this VM that has no outcome yet."""

    def __init__(
        self,
        command: Command,
        on_outcome: OnOutcome,
        deadline: float,
        basis: int | None,
    ) -> None:
        self.command = command
        self.on_outcome = on_outcome
        self.deadline = deadline
        self.basis = basis
        self.timer: Timer | None = None


class ProposalController:
    """Proposes commands, resending them until an outcome arrives.

    All commands are idempotent, so that resending them is safe even if the
    earlier copy was committed. A copy that arrives late is refused if a newer
    order with the same conflict key has been appended.
    """

    def __init__(
        self,
        outbox: Outbox,
        replica: Replica | None,
        find_leader: Callable[[], VmName],
        boot: str,
    ) -> None:
        self._outbox = outbox
        self._replica = replica
        self._find_leader = find_leader
        self._boot = boot
        self._seq = 0
        self._pending: dict[str, _Pending] = {}
        self._waiting_proposers: dict[int, tuple[int, VmName, str]] = {}
        self._index_by_proposal: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of commands without an outcome."""
        return len(self._pending)

    def propose(
        self,
        command: Command,
        on_outcome: OnOutcome,
        *,
        timeout_s: float,
        now: float,
    ) -> None:
        """Propose a command and pass its outcome to a callback.

        After ``timeout_s`` without an outcome it is :class:`Unavailable`; the
        command may still be committed later.
        """
        self._seq += 1
        proposal = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        basis = self._replica.status().applied_index if self._replica else None
        pending = _Pending(command, on_outcome, now + timeout_s, basis)
        self._pending[proposal] = pending
        self._send(proposal, now)

    def on_propose(self, sender: VmName, ask: Propose, now: float) -> None:
        """Append a command from any VM to the log, if this VM leads."""
        if self._replica is None or not self._replica.is_leader():
            return
        if ask.proposal in self._index_by_proposal:
            return
        if not self._replica.may_append(ask.command, now):
            self._outbox.send(sender, ProposalDone(ask.proposal, UNREADABLE))
            return
        if self._replica.status().is_full:
            self._outbox.send(sender, ProposalDone(ask.proposal, FULL))
            return
        log = self._replica.log
        if ask.basis is not None and is_overtaken(log, ask.command, ask.basis):
            self._outbox.send(sender, ProposalDone(ask.proposal, OVERTAKEN))
            return
        index = log.last_index + 1
        term = self._replica.term
        self._waiting_proposers[index] = (term, sender, ask.proposal)
        self._index_by_proposal[ask.proposal] = index
        self._replica.propose(ask.command, now)

    def on_applied(self, entry: Entry, outcome: Outcome) -> None:
        """Send the outcome of an applied entry to the VM that proposed it."""
        proposer = self._waiting_proposers.pop(entry.log_index, None)
        if proposer is None:
            return
        term, vm, proposal = proposer
        self._index_by_proposal.pop(proposal, None)
        if term == entry.term:
            self._outbox.send(vm, ProposalDone(proposal, outcome))

    def on_done(self, done: ProposalDone, now: float) -> None:
        """Pass an outcome to its callback; repeated outcomes are ignored."""
        pending = self._pending.pop(done.proposal, None)
        if pending is None:
            return
        if pending.timer:
            pending.timer.cancel()
        pending.on_outcome(done.outcome, now)

    def clear_appended(self) -> None:
        """Forget proposals that were appended in an earlier term."""
        self._waiting_proposers.clear()
        self._index_by_proposal.clear()

    def _send(self, proposal: str, now: float) -> None:
        pending = self._pending.get(proposal)
        if pending is None:
            return
        if now >= pending.deadline:
            self._pending.pop(proposal)
            pending.on_outcome(Unavailable('no leader answered'), now)
            return
        leader = self._find_leader()
        ask = Propose(proposal, pending.command, pending.basis)
        self._outbox.send(leader, ask)
        pending.timer = self._outbox.call_at(
            min(now + RESEND_INTERVAL_S, pending.deadline),
            lambda when: self._send(proposal, when),
        )
