"""Linearizable reads: they wait until a quorum confirms the leader."""

from typing import Final, NamedTuple

from ..agreement._replica import Replica
from ._effects import ReadDone

READ_TIMEOUT_S: Final = 1.5  # operators retry at another VM by then


class _PendingRead(NamedTuple):
    call: int
    started_at: float  # s


class LinearizableReads:
    """Answers reads once leadership is confirmed after their start.

    The state then holds all changes acknowledged before the read. This is the
    ReadIndex procedure of Raft.
    """

    def __init__(self) -> None:
        self._reads: list[_PendingRead] = []
        self._completed: list[ReadDone] = []

    def start(self, replica: Replica, call: int, now: float) -> None:
        """Add a read and request a new confirmation of leadership."""
        self._reads.append(_PendingRead(call, now))
        replica.confirm_leadership(now)

    def pop_results(self, replica: Replica, now: float) -> list[ReadDone]:
        """Return the results of reads that are confirmed or have failed."""
        self._expire(replica, now)
        if self._reads and replica.has_committed_in_term():
            confirmed_at = replica.quorum_contact_at(now)
            self._completed.extend(
                ReadDone(read.call, replica.published)
                for read in self._reads
                if confirmed_at >= read.started_at
            )
            self._reads = [
                read for read in self._reads if confirmed_at < read.started_at
            ]
        completed = self._completed
        self._completed = []
        return completed

    def _expire(self, replica: Replica, now: float) -> None:
        failed = [
            read
            for read in self._reads
            if now - read.started_at > READ_TIMEOUT_S or not replica.is_leader()
        ]
        self._completed.extend(ReadDone(read.call, None) for read in failed)
        self._reads = [read for read in self._reads if read not in failed]
