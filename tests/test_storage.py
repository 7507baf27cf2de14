"""Tests of the write-ahead log."""

import errno
import io
from pathlib import Path
from typing import Any

import pytest
from lovagemast_core import (
    Entry,
    HardState,
    NoOp,
    PersistLog,
    SavedSnapshot,
)
from lovagemast_node import DamagedLogError, LogStore
from lovagemast_node._storage import FILE_NAME


def batch(
    number: int,
    first: int,
    count: int,
    *,
    snapshot: SavedSnapshot | None = None,
    truncate_from: int | None = None,
) -> PersistLog:
    """Return a batch with consecutive entries."""
    entries = tuple(
        Entry(index, 1, NoOp(f'e{index}'))
        for index in range(first, first + count)
    )
    return PersistLog(
        number,
        snapshot,
        truncate_from,
        entries,
        HardState(number, 'me'),
    )


def reopen(folder: Path) -> LogStore:
    """Open the log again, as a restarted process does."""
    return LogStore.open(folder, 'vm1')


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a data folder with three written batches."""
    store = reopen(tmp_path)
    for number in range(1, 4):
        store.write([batch(number, number * 2 - 1, 2)])
    store.close()
    return tmp_path


class TestReopen:
    """The state that a restarted process reads from the log."""

    def test_keeps_all_that_was_written(self, folder: Path) -> None:
        """Entries, term, vote and identity survive a restart."""
        stored = reopen(folder).stored
        indexes = [entry.log_index for entry in stored.entries]
        assert indexes == list(range(1, 7))
        assert stored.hard_state == HardState(3, 'me')
        assert stored.identity.startswith('vm1#')

    def test_identity_is_stable(self, folder: Path) -> None:
        """The identity survives restarts."""
        assert reopen(folder).stored.identity == reopen(folder).stored.identity

    def test_empty_folder_has_a_new_identity(self, tmp_path: Path) -> None:
        """An empty folder, as after the loss of a disk, is a new replica."""
        first = reopen(tmp_path / 'a').stored.identity
        second = reopen(tmp_path / 'b').stored.identity
        assert first != second

    def test_truncation(self, folder: Path) -> None:
        """Truncated entries are replaced."""
        store = reopen(folder)
        store.write([batch(4, 5, 1, truncate_from=5)])
        store.close()
        entries = reopen(folder).stored.entries
        assert [entry.log_index for entry in entries] == [1, 2, 3, 4, 5]

    def test_snapshot_starts_a_new_file(self, folder: Path) -> None:
        """Entries up to a snapshot are dropped, later ones are kept."""
        store = reopen(folder)
        size = (folder / FILE_NAME).stat().st_size
        snapshot = SavedSnapshot(4, 1, ('a',))
        store.write([batch(4, 7, 1, snapshot=snapshot)])
        store.write([batch(5, 8, 1)])
        store.close()
        stored = reopen(folder).stored
        assert stored.snapshot == snapshot
        assert [entry.log_index for entry in stored.entries] == [5, 6, 7, 8]
        assert size > 0


class TestDamage:
    """A torn last frame is dropped; other corruption raises an error."""

    @pytest.mark.parametrize('lost_bytes', [1, 5, 11, 20, 40])
    def test_torn_tail_is_dropped(self, folder: Path, lost_bytes: int) -> None:
        """A partly written batch is dropped completely."""
        path = folder / FILE_NAME
        path.write_bytes(path.read_bytes()[:-lost_bytes])
        entries = reopen(folder).stored.entries
        assert [entry.log_index for entry in entries] == [1, 2, 3, 4]

    def test_writes_go_on_after_a_torn_tail(self, folder: Path) -> None:
        """Writes after the removal of a torn frame are readable."""
        path = folder / FILE_NAME
        path.write_bytes(path.read_bytes()[:-3])
        store = reopen(folder)
        store.write([batch(9, 5, 1)])
        store.close()
        assert len(reopen(folder).stored.entries) == 5

    def test_zeros_at_the_end_are_a_torn_tail(self, folder: Path) -> None:
        """Zeros at the end, allocated but never written, are ignored."""
        path = folder / FILE_NAME
        path.write_bytes(path.read_bytes() + bytes(64))
        assert len(reopen(folder).stored.entries) == 6

    @pytest.mark.parametrize('first', [0, 4, 12, 30])
    @pytest.mark.parametrize('fill', [b'\x00', b'\xa5'])
    def test_any_part_of_the_last_write_may_be_lost(
        self,
        folder: Path,
        first: int,
        fill: bytes,
    ) -> None:
        """Any sector of an unsynced write may be missing after a crash."""
        path = folder / FILE_NAME
        synced = path.read_bytes()
        store = reopen(folder)
        store.write([batch(4, 7, 1), batch(5, 8, 1)])
        store.close()
        content = bytearray(path.read_bytes())
        start = len(synced) + first
        content[start : start + 20] = fill * 20
        path.write_bytes(bytes(content))
        entries = reopen(folder).stored.entries
        indexes = [entry.log_index for entry in entries]
        assert indexes == [1, 2, 3, 4, 5, 6]

    @pytest.mark.parametrize('offset', [3, 30, 90, 120])
    def test_damage_in_the_middle_stops(
        self,
        folder: Path,
        offset: int,
    ) -> None:
        """A flipped bit before the last frame raises an error."""
        path = folder / FILE_NAME
        content = bytearray(path.read_bytes())
        content[offset] ^= 0x10
        path.write_bytes(bytes(content))
        with pytest.raises(DamagedLogError):
            reopen(folder)


class FillingFile(io.FileIO):
    """A log file on a disk with ``room`` bytes left."""

    def __init__(self, path: Path, room: int) -> None:
        super().__init__(path, 'ab')
        self.room = room

    def write(self, data: Any) -> int:
        """Write what fits; fail if nothing does."""
        if not self.room:
            raise OSError(errno.ENOSPC, 'no space left on device')
        written = super().write(bytes(data)[: self.room])
        self.room -= written
        return written

    def truncate(self, size: int | None = None) -> int:
        """Set the length, unless the disk is full."""
        if not self.room:
            raise OSError(errno.ENOSPC, 'no space left on device')
        return super().truncate(size)


def fill_disk(store: LogStore, folder: Path, room: int) -> FillingFile:
    """Leave a store's disk with some bytes of room."""
    store.close()
    log_file = FillingFile(folder / FILE_NAME, room)
    store._file = log_file
    return log_file


class TestFullDisk:
    """A write that does not fit is not acknowledged, and can be repeated."""

    @pytest.mark.parametrize('room', [0, 1, 12, 30])
    def test_partial_write_is_not_reported_as_synced(
        self, folder: Path, room: int
    ) -> None:
        """A batch that was written in part raises, and is not read again."""
        store = reopen(folder)
        stored = store.stored
        fill_disk(store, folder, room)
        with pytest.raises(OSError, match='no space'):
            store.write([batch(4, 7, 1)])
        assert reopen(folder).stored == stored

    @pytest.mark.parametrize('room', [0, 1, 12, 30])
    def test_write_is_repeated_once_there_is_room(
        self, folder: Path, room: int
    ) -> None:
        """The same batches can be written again, and later ones after them."""
        store = reopen(folder)
        log_file = fill_disk(store, folder, room)
        batches = [batch(4, 7, 2), batch(5, 8, 1, truncate_from=8)]
        for _try in range(2):
            with pytest.raises(OSError, match='no space'):
                store.write(batches)
        log_file.room = 10_000
        store.write(batches)
        store.write([batch(6, 9, 1)])
        store.close()
        entries = reopen(folder).stored.entries
        assert [entry.log_index for entry in entries] == list(range(1, 10))

    def test_failed_snapshot_keeps_the_log(
        self, folder: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A snapshot that does not fit leaves the old log usable."""

        def fail(_source: object, _target: object) -> None:
            raise OSError(errno.ENOSPC, 'no space left on device')

        store = reopen(folder)
        snapshot = SavedSnapshot(4, 1, ('a',))
        with monkeypatch.context() as patch:
            patch.setattr('os.replace', fail)
            with pytest.raises(OSError, match='no space'):
                store.write([batch(4, 7, 1, snapshot=snapshot)])
        assert len(reopen(folder).stored.entries) == 6
        assert [path.name for path in folder.iterdir()] == [FILE_NAME]
        store.write([batch(4, 7, 1, snapshot=snapshot)])
        store.close()
        stored = reopen(folder).stored
        assert stored.snapshot == snapshot
        assert [entry.log_index for entry in stored.entries] == [5, 6, 7]
