"""Delays a replica's messages until the writes before them are durable."""

from collections import deque
from typing import Final, NamedTuple

from .._effects import HardState, PersistLog, SavedSnapshot
from .._messages import Entry, PeerMessage
from .._outbox import Outbox
from .._types import VmName
from ._sizes import command_bytes, message_bytes, snapshot_bytes

# What may wait for a disk that stands still. Then a replica takes no entries,
# snapshots or proposals until it goes on.
MAX_WAITING_BYTES: Final = 8_388_608


class _Batch(NamedTuple):
    batch: int
    last_index: int
    messages: list[tuple[VmName, PeerMessage]]
    write_bytes: int

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the writes and of the messages."""
        return self.write_bytes + sum(
            message_bytes(message) for _vm, message in self.messages
        )


class DurabilityBarrier:
    """Batches log writes; sends messages after their batch is synced.

    Raft requires that a replica persists its vote and its entries before it
    acknowledges them.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._batches: deque[_Batch] = deque()
        self._messages: list[tuple[VmName, PeerMessage]] = []
        self._next_batch = 1
        self._has_writes = False
        self._snapshot: SavedSnapshot | None = None
        self._truncate_from: int | None = None
        self._entries: list[Entry] = []
        self._hard_state: HardState | None = None

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes of writes and messages that wait for the disk."""
        return sum(batch.held_bytes for batch in self._batches)

    @property
    def is_full(self) -> bool:
        """Return whether the disk has to go on before more is written."""
        return self.waiting_bytes >= MAX_WAITING_BYTES

    def save_hard_state(self, hard_state: HardState) -> None:
        """Add the term and vote to the current batch."""
        self._hard_state = hard_state
        self._has_writes = True

    def save_entry(self, entry: Entry) -> None:
        """Add an entry to the current batch."""
        self._entries.append(entry)
        self._has_writes = True

    def truncate_from(self, index: int) -> None:
        """Remove the entry at an index and all later ones from the log."""
        self.flush(index - 1)
        self._batches = deque(
            batch._replace(last_index=min(batch.last_index, index - 1))
            for batch in self._batches
        )
        self._truncate_from = index
        self._has_writes = True

    def save_snapshot(
        self,
        snapshot: SavedSnapshot,
        last_index: int,
        *,
        keep_tail: bool,
    ) -> None:
        """Replace the log up to the snapshot's index, or all of it.

        ``keep_tail`` keeps the entries after the snapshot.
        """
        self.flush(last_index)
        self._snapshot = snapshot
        if not keep_tail:
            self._truncate_from = snapshot.last_index + 1
        self._has_writes = True

    def send(self, vm: VmName, message: PeerMessage) -> None:
        """Send a message once all writes before it are synced."""
        self._messages.append((vm, message))

    def flush(self, last_index: int) -> None:
        """Emit the collected writes as one batch that ends at an index."""
        if self._has_writes:
            self._emit(last_index)
        elif self._batches:
            self._batches[-1].messages.extend(self._messages)
        else:
            self._send_all(self._messages)
        self._messages = []

    def on_batch_synced(self, batch: int) -> int | None:
        """Send the messages of all synced batches.

        Returns the last log index that is now durable, if it has changed.
        """
        last_index = None
        while self._batches and self._batches[0].batch <= batch:
            done = self._batches.popleft()
            last_index = done.last_index
            self._send_all(done.messages)
        return last_index

    def _emit(self, last_index: int) -> None:
        batch = self._next_batch
        self._next_batch += 1
        self._outbox.emit(
            PersistLog(
                batch,
                self._snapshot,
                self._truncate_from,
                tuple(self._entries),
                self._hard_state,
            ),
        )
        self._batches.append(
            _Batch(batch, last_index, self._messages, self._write_bytes())
        )
        self._clear()

    def _write_bytes(self) -> int:
        size = sum(command_bytes(entry.command) for entry in self._entries)
        if self._snapshot:
            size += snapshot_bytes(self._snapshot.state)
        return size

    def _clear(self) -> None:
        self._has_writes = False
        self._snapshot = None
        self._truncate_from = None
        self._entries = []
        self._hard_state = None

    def _send_all(self, messages: list[tuple[VmName, PeerMessage]]) -> None:
        for vm, message in messages:
            self._outbox.send(vm, message)
