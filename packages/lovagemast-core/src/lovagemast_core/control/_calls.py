"""Operators' commands and reads that wait for a quorum."""

from typing import Final, NamedTuple

from .._commands import Command, Outcome, Unavailable
from .._messages import Entry
from .._replica import Replica
from ._effects import CommandDone, ReadDone

CALL_TIMEOUT_S: Final = 3.0

Answer = CommandDone | ReadDone


class _Proposed(NamedTuple):
    call: int
    term: int
    at: float  # s


class _Read(NamedTuple):
    call: int
    at: float  # s


class OperatorCalls:
    """Matches calls with what the replicated log makes of them."""

    def __init__(self) -> None:
        self._proposed: dict[int, _Proposed] = {}  # by index in the log
        self._reads: list[_Read] = []
        self._answers: list[Answer] = []

    def propose(
        self,
        replica: Replica,
        call: int,
        command: Command,
        now: float,
    ) -> None:
        """Append a command to the log."""
        proposed = _Proposed(call, replica.term, now)
        self._proposed[replica.next_index] = proposed
        replica.propose(command, now)

    def read(self, replica: Replica, call: int, now: float) -> None:
        """Ask for a confirmation that is newer than the read."""
        self._reads.append(_Read(call, now))
        replica.confirm(now)

    def applied(self, entry: Entry, outcome: Outcome) -> None:
        """Answer the command that an entry of the log came from."""
        proposed = self._proposed.pop(entry.log_index, None)
        if proposed is None:
            return
        if proposed.term != entry.term:
            outcome = Unavailable('another leader took over')
        self._answers.append(CommandDone(proposed.call, outcome))

    def confirmed(self, replica: Replica, now: float) -> None:
        """Answer the reads that a quorum has confirmed since."""
        if self._reads and not replica.is_leader():
            self._fail(self._reads)
        if not self._reads or not replica.is_settled():
            return
        heard_at = replica.quorum_heard_at(now)
        self._answers.extend(
            ReadDone(read.call, replica.published)
            for read in self._reads
            if heard_at >= read.at
        )
        self._reads = [one for one in self._reads if heard_at < one.at]

    def expire(self, now: float) -> None:
        """Give up on calls that no quorum answered in time."""
        late = Unavailable('no quorum answered in time')
        for index, proposed in list(self._proposed.items()):
            if now - proposed.at > CALL_TIMEOUT_S:
                self._proposed.pop(index)
                self._answers.append(CommandDone(proposed.call, late))
        old = [one for one in self._reads if now - one.at > CALL_TIMEOUT_S]
        self._fail(old)

    def drain(self) -> list[Answer]:
        """Return the answers since the last call."""
        answers = self._answers
        self._answers = []
        return answers

    def _fail(self, reads: list[_Read]) -> None:
        self._answers.extend(ReadDone(read.call, None) for read in reads)
        self._reads = [one for one in self._reads if one not in reads]
