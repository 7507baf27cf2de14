"""What the parts of a replica share: its log, its term and its state."""

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

COMPACT_AFTER: Final = 256  # entries


class Role(Enum):
    """What a replica currently does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class StoredLog(NamedTuple):
    """What a replica's disk held when it started."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: SavedSnapshot = SavedSnapshot()
    entries: tuple[Entry, ...] = ()


class ReplicaStatus(NamedTuple):
    """A replica's place in the group and how far its log reaches."""

    identity: str
    leads: bool
    term: int
    commit_index: int
    synced_index: int
    voters: tuple[str, ...]


OnApplied = Callable[[Entry, Outcome, float], None]


def vm_of(identity: str) -> VmName:
    """Return the VM that a replica identity belongs to."""
    return identity.partition('#')[0]


class ReplicaState:
    """A replica's log, term, role and applied state."""

    def __init__(
        self,
        stored: StoredLog,
        outbox: Outbox,
        on_applied: OnApplied,
    ) -> None:
        self.identity = stored.identity
        self.role = Role.FOLLOWER
        self.leader = ''
        self.machine = ReplicatedState()
        self.log = ReplicatedLog(stored.snapshot, stored.entries)
        self.gate = DurabilityBarrier(outbox)
        self.hard_state = stored.hard_state
        self.commit_index = stored.snapshot.last_index
        self.applied_index = stored.snapshot.last_index
        self.synced_index = self.log.last_index
        self._on_applied = on_applied
        self.machine.restore(stored.snapshot.state)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the identities that vote."""
        return self.log.voters

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self.role is Role.LEADER

    def is_voter(self) -> bool:
        """Return whether this replica votes."""
        return self.identity in self.log.voters

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Change the term and the vote, and write them."""
        self.hard_state = HardState(term, voted_for)
        self.gate.save_hard_state(self.hard_state)

    def append_command(self, command: Command) -> Entry:
        """Append a command in the current term."""
        entry = Entry(self.log.last_index + 1, self.term, command)
        self.append(entry)
        return entry

    def append(self, entry: Entry) -> None:
        """Append an entry and write it."""
        self.log.append(entry)
        self.gate.save_entry(entry)

    def truncate_from(self, index: int) -> None:
        """Drop an entry and all after it."""
        self.log.truncate_from(index)
        self.gate.truncate_from(index)

    def flush(self) -> None:
        """Emit what was written, and the messages that rest on it."""
        self.gate.flush(self.log.last_index)

    def note_synced(self, batch: int) -> None:
        """Note that a batch of writes lasts on the disk."""
        last_index = self.gate.synced(batch)
        if last_index is not None:
            self.synced_index = min(last_index, self.log.last_index)

    def commit_to(self, index: int, now: float) -> None:
        """Apply the entries up to an index that are not applied yet."""
        self.commit_index = max(self.commit_index, index)
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry_at(self.applied_index)
            outcome = self.machine.apply(entry.command)
            self._on_applied(entry, outcome, now)
        if self.applied_index - self.log.snapshot.last_index >= COMPACT_AFTER:
            self._compact()

    def install(self, snapshot: SavedSnapshot) -> None:
        """Take another replica's state in place of the own entries."""
        self._save_snapshot(snapshot)
        self.machine.restore(snapshot.state)
        self.commit_index = snapshot.last_index
        self.applied_index = snapshot.last_index

    def to_status(self) -> ReplicaStatus:
        """Return what operators need to know of the replica."""
        return ReplicaStatus(
            self.identity,
            self.is_leader(),
            self.term,
            self.commit_index,
            self.synced_index,
            self.voters,
        )

    def _compact(self) -> None:
        index = self.applied_index
        snapshot = SavedSnapshot(
            index,
            self.log.term_at(index) or 0,
            self.log.voters_at(index),
            self.machine.to_snapshot(),
        )
        self._save_snapshot(snapshot)

    def _save_snapshot(self, snapshot: SavedSnapshot) -> None:
        self.gate.save_snapshot(
            snapshot,
            self.log.last_index,
            keep_tail=self.log.continues(snapshot),
        )
        self.log.compact(snapshot)
