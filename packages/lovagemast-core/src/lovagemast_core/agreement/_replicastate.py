"""State shared by the parts of a replica: log, term, role, applied state."""

from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

from .._commands import Command, Outcome
from .._effects import HardState, SavedSnapshot
from .._messages import Entry
from .._outbox import Outbox
from .._state import ReplicatedState
from .._types import VmName
from ._durability import DurabilityBarrier
from ._log import ReplicatedLog
from ._sizes import entries_bytes

COMPACTION_ENTRIES: Final = 256
COMPACTION_BYTES: Final = 4_194_304
# With entries that are not committed; a leader then takes no more of them.
MAX_LOG_BYTES: Final = 16_777_216


class Role(Enum):
    """The Raft role of a replica."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class StoredLog(NamedTuple):
    """The contents of a replica's disk at its start."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: SavedSnapshot = SavedSnapshot()
    entries: tuple[Entry, ...] = ()


class ReplicaStatus(NamedTuple):
    """Role, term, log position and voters of a replica, for operators."""

    identity: str
    leads: bool
    term: int
    commit_index: int
    synced_index: int
    voters: tuple[str, ...]
    applied_index: int
    formats: dict[str, int]  # of commands, which other replicas have named
    log_bytes: int  # of the entries in memory
    waiting_bytes: int  # of what waits for the disk
    is_full: bool  # it takes no proposals until some are committed


OnApplied = Callable[[Entry, Outcome, float], None]


def vm_of(identity: str) -> VmName:
    """Return the VM of a replica identity (``vm#id``)."""
    return identity.partition('#')[0]


class ReplicaState:
    """A replica's log, term, role and state machine.

    Writes and messages go through the barrier; :meth:`flush` emits them.
    """

    def __init__(
        self,
        stored: StoredLog,
        outbox: Outbox,
        on_applied: OnApplied,
    ) -> None:
        self.identity = stored.identity
        self.role = Role.FOLLOWER
        self.leader = ''
        self.state_machine = ReplicatedState()
        self.log = ReplicatedLog(stored.snapshot, stored.entries)
        self.barrier = DurabilityBarrier(outbox)
        self.hard_state = stored.hard_state
        self.commit_index = stored.snapshot.last_index
        self.applied_index = stored.snapshot.last_index
        self.synced_index = self.log.last_index
        self._on_applied = on_applied
        self.state_machine.restore(stored.snapshot.state)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the identities of the voters."""
        return self.log.voters

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self.role is Role.LEADER

    def is_voter(self) -> bool:
        """Return whether this replica votes."""
        return self.identity in self.log.voters

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Set the term and the vote, and persist both."""
        self.hard_state = HardState(term, voted_for)
        self.barrier.save_hard_state(self.hard_state)

    def append_command(self, command: Command) -> Entry:
        """Append a command as an entry of the current term."""
        entry = Entry(self.log.last_index + 1, self.term, command)
        self.append(entry)
        return entry

    def append(self, entry: Entry) -> None:
        """Append an entry and persist it."""
        self.log.append(entry)
        self.barrier.save_entry(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        self.log.truncate_from(index)
        self.barrier.truncate_from(index)

    def flush(self) -> None:
        """Emit the collected writes and the messages that depend on them."""
        self.barrier.flush(self.log.last_index)

    def on_log_synced(self, batch: int) -> None:
        """Record that a batch of log writes is durable."""
        last_index = self.barrier.on_batch_synced(batch)
        if last_index is not None:
            self.synced_index = min(last_index, self.log.last_index)

    def commit_to(self, index: int, now: float) -> None:
        """Advance the commit index and apply the newly committed entries."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry_at(self.applied_index)
            outcome = self.state_machine.apply(entry.command)
            self._on_applied(entry, outcome, now)
        if self._should_compact():
            self.compact()

    def compact(self) -> None:
        """Replace the applied entries of the log by a snapshot."""
        index = self.applied_index
        snapshot = SavedSnapshot(
            index,
            self.log.term_at(index) or 0,
            self.log.voters_at(index),
            self.state_machine.to_snapshot(),
        )
        self._save_snapshot(snapshot)

    def install(self, snapshot: SavedSnapshot) -> None:
        """Replace the local state by the snapshot of another replica."""
        self._save_snapshot(snapshot)
        self.state_machine.restore(snapshot.state)
        self.commit_index = snapshot.last_index
        self.applied_index = snapshot.last_index

    def to_status(self, formats: dict[str, int]) -> ReplicaStatus:
        """Return the replica's status for operators, with peers' formats."""
        return ReplicaStatus(
            self.identity,
            self.is_leader(),
            self.term,
            self.commit_index,
            self.synced_index,
            self.voters,
            self.applied_index,
            formats,
            self.log.held_bytes,
            self.barrier.waiting_bytes,
            self.barrier.is_full or self.log.held_bytes >= MAX_LOG_BYTES,
        )

    def _should_compact(self) -> bool:
        """Return whether the applied entries are many, or hold much.

        A snapshot holds the newest document, so that one which is larger than
        the bound is written once for each as many bytes of the log.
        """
        first = self.log.snapshot.last_index + 1
        applied = self.applied_index + 1 - first
        if applied >= COMPACTION_ENTRIES:
            return True
        bound = max(
            COMPACTION_BYTES, len(self.state_machine.published.document)
        )
        if self.log.held_bytes < bound:
            return False
        return entries_bytes(self.log.entries_from(first, applied)) >= bound

    def _save_snapshot(self, snapshot: SavedSnapshot) -> None:
        self.barrier.save_snapshot(
            snapshot,
            self.log.last_index,
            keep_tail=self.log.contains_end_of(snapshot),
        )
        self.log.compact(snapshot)
