"""Operators' reads, which wait until a quorum confirms the leader."""

from typing import Final, NamedTuple

from ..agreement._replica import Replica
from ._effects import ReadDone

READ_TIMEOUT_S: Final = 1.5  # an operator asks elsewhere by then


class _Read(NamedTuple):
    call: int
    at: float  # s


class ConfirmedReads:
    """Answers reads from a state that was the newest after they came."""

    def __init__(self) -> None:
        self._reads: list[_Read] = []
        self._answers: list[ReadDone] = []

    def ask(self, replica: Replica, call: int, now: float) -> None:
        """Ask for a confirmation that is newer than the read."""
        self._reads.append(_Read(call, now))
        replica.confirm_leadership(now)

    def settle(self, replica: Replica, now: float) -> list[ReadDone]:
        """Return the answers to reads that are confirmed or hopeless."""
        self._expire(replica, now)
        if self._reads and replica.has_committed_in_term():
            heard_at = replica.quorum_contact_at(now)
            self._answers.extend(
                ReadDone(read.call, replica.published)
                for read in self._reads
                if heard_at >= read.at
            )
            self._reads = [one for one in self._reads if heard_at < one.at]
        answers = self._answers
        self._answers = []
        return answers

    def _expire(self, replica: Replica, now: float) -> None:
        hopeless = [
            one
            for one in self._reads
            if now - one.at > READ_TIMEOUT_S or not replica.is_leader()
        ]
        self._answers.extend(ReadDone(one.call, None) for one in hopeless)
        self._reads = [one for one in self._reads if one not in hopeless]
