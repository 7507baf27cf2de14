"""In-memory replicated log: the entries after the last snapshot."""

from .._commands import SetVoters
from .._effects import SavedSnapshot
from .._messages import Entry
from ._sizes import command_bytes, entries_bytes


class ReplicatedLog:
    """Entries with consecutive indexes, and the voters in effect.

    As in Raft, a change of the voters takes effect when it is appended, not
    when it is committed.
    """

    def __init__(
        self,
        snapshot: SavedSnapshot,
        entries: tuple[Entry, ...] = (),
    ) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        self.held_bytes = entries_bytes(entries)
        self._update_voters()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, 0 for an empty log."""
        return self.snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.last_term

    @property
    def is_empty(self) -> bool:
        """Return whether the log holds neither entries nor a snapshot."""
        return self.last_index == 0

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or ``None`` outside of the log."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        position = index - self.snapshot.last_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index after the snapshot."""
        return self._entries[index - self.snapshot.last_index - 1]

    def entries_from(self, index: int, limit: int) -> tuple[Entry, ...]:
        """Return at most ``limit`` entries, starting at an index."""
        start = max(0, index - self.snapshot.last_index - 1)
        return tuple(self._entries[start : start + limit])

    def bytes_between(self, first: int, last: int) -> int:
        """Return the bytes of the entries of two indexes and between them."""
        return entries_bytes(self.entries_from(first, max(0, last + 1 - first)))

    def append(self, entry: Entry) -> None:
        """Append an entry, whose index must follow the last one."""
        self._entries.append(entry)
        self.held_bytes += command_bytes(entry.command)
        if isinstance(entry.command, SetVoters):
            self.voters = entry.command.voters
            self.voters_index = entry.log_index

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        self._entries = self._entries[: index - self.snapshot.last_index - 1]
        self.held_bytes = entries_bytes(self._entries)
        self._update_voters()

    def compact(self, snapshot: SavedSnapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot.

        Later entries stay only if the log holds the snapshot's last entry.
        """
        if self.contains_end_of(snapshot):
            kept = snapshot.last_index - self.snapshot.last_index
            self._entries = self._entries[kept:]
        else:
            self._entries = []
        self.snapshot = snapshot
        self.held_bytes = entries_bytes(self._entries)
        self._update_voters()

    def contains_end_of(self, snapshot: SavedSnapshot) -> bool:
        """Return whether the log holds the last entry of a snapshot."""
        return self.term_at(snapshot.last_index) == snapshot.last_term

    def is_more_up_to_date_than(self, last_index: int, last_term: int) -> bool:
        """Return whether this log is more up to date than another one.

        The log with the higher last term wins, then the longer one.
        """
        return (self.last_term, self.last_index) > (last_term, last_index)

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters in effect after the entry at an index."""
        for entry in reversed(self.entries_from(1, index)):
            if (
                isinstance(entry.command, SetVoters)
                and entry.log_index <= index
            ):
                return entry.command.voters
        return self.snapshot.voters

    def _update_voters(self) -> None:
        self.voters = self.snapshot.voters
        self.voters_index = self.snapshot.last_index
        for entry in self._entries:
            if isinstance(entry.command, SetVoters):
                self.voters = entry.command.voters
                self.voters_index = entry.log_index
