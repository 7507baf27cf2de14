"""Carries commands to the leader and their outcomes back."""

from collections.abc import Callable
from typing import Final

from .._commands import Command, Outcome, Unavailable
from .._messages import Entry, ProposalDone, Propose
from .._outbox import Outbox, Timer
from .._types import VmName
from ._replica import Replica

RESEND_S: Final = 0.4
OnOutcome = Callable[[Outcome, float], None]


class _Pending:
    """A command of this VM whose outcome is not known yet."""

    def __init__(
        self,
        command: Command,
        on_outcome: OnOutcome,
        deadline: float,
    ) -> None:
        self.command = command
        self.on_outcome = on_outcome
        self.deadline = deadline
        self.timer: Timer | None = None


class ProposalController:
    """Proposes commands, sending them again until an outcome is known.

    Every command may be committed twice without a second effect, so that
    sending again is always safe.
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
        self._asked: dict[int, tuple[int, VmName, str]] = {}
        self._in_log: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many commands wait for their outcome."""
        return len(self._pending)

    def propose(
        self,
        command: Command,
        on_outcome: OnOutcome,
        *,
        timeout_s: float,
        now: float,
    ) -> None:
        """Commit a command and call back with its outcome.

        The outcome is :class:`Unavailable` when none is known in time; the
        command may then still be committed later.
        """
        self._seq += 1
        proposal = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        pending = _Pending(command, on_outcome, now + timeout_s)
        self._pending[proposal] = pending
        self._send(proposal, now)

    def on_propose(self, sender: VmName, ask: Propose, now: float) -> None:
        """Append another VM's command, if this VM leads."""
        if self._replica is None or not self._replica.is_leader():
            return
        index = self._in_log.get(ask.proposal)
        if index is None:
            term = self._replica.term
            index = self._replica.next_index
            self._asked[index] = (term, sender, ask.proposal)
            self._in_log[ask.proposal] = index
            self._replica.propose(ask.command, now)

    def on_applied(self, entry: Entry, outcome: Outcome) -> None:
        """Tell the VM that proposed an entry what came of it."""
        asked = self._asked.pop(entry.log_index, None)
        if asked is None:
            return
        term, vm, proposal = asked
        self._in_log.pop(proposal, None)
        if term == entry.term:
            self._outbox.send(vm, ProposalDone(proposal, outcome))

    def on_done(self, done: ProposalDone, now: float) -> None:
        """Call back with an outcome, once."""
        pending = self._pending.pop(done.proposal, None)
        if pending is None:
            return
        if pending.timer:
            pending.timer.cancel()
        pending.on_outcome(done.outcome, now)

    def forget_log(self) -> None:
        """Drop what was appended as a leader that no longer leads."""
        self._asked.clear()
        self._in_log.clear()

    def _send(self, proposal: str, now: float) -> None:
        pending = self._pending.get(proposal)
        if pending is None:
            return
        if now >= pending.deadline:
            self._pending.pop(proposal)
            pending.on_outcome(Unavailable('no leader answered'), now)
            return
        leader = self._find_leader()
        self._outbox.send(leader, Propose(proposal, pending.command))
        pending.timer = self._outbox.call_at(
            min(now + RESEND_S, pending.deadline),
            lambda when: self._send(proposal, when),
        )
