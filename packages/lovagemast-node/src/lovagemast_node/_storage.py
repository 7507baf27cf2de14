"""The write-ahead log of a control VM.

The file starts with a frame that holds the replica's identity, followed by
one frame for each write. A frame consists of a header (payload length, CRC
of the payload, CRC of the header) and a payload of length-prefixed records.

Each write is synced before the next one begins, so that only the last frame
can be torn, in any of its bytes. A corrupt frame with no valid frame after
it was never acknowledged and is dropped; any other corruption stops the
process. A snapshot starts a new file, which replaces the old one once it is
synced.
"""

import os
import secrets
import struct
import zlib
from collections.abc import Iterable, Iterator
from io import FileIO
from pathlib import Path
from typing import Final, NamedTuple

from lovagemast_core import (
    Entry,
    HardState,
    PersistLog,
    SavedSnapshot,
    StoredLog,
)
from lovagemast_wire import (
    LogRecord,
    WireError,
    decode_record,
    encode_record,
)

FILE_NAME: Final = 'replica.log'
_HEADER: Final = struct.Struct('>III')
_LENGTH: Final = struct.Struct('>I')
_IDENTITY_BYTES: Final = 8


class DamagedLogError(Exception):
    """The log is corrupt before its last frame."""


class LogContents(NamedTuple):
    """The state in a log file and the length of its valid part."""

    stored: StoredLog
    valid_bytes: int


class LogStore:
    """Appends batches to the log file and syncs them."""

    def __init__(self, folder: Path, stored: StoredLog) -> None:
        self.stored = stored
        self._folder = folder
        self._path = folder / FILE_NAME
        self._state = _LogState(stored)
        self._file = self._path.open('ab', buffering=0)
        self._synced_bytes = self._path.stat().st_size
        self._has_partial_frame = False

    @classmethod
    def open(cls, folder: Path, vm: str) -> 'LogStore':
        """Open a VM's log, or create one with a new replica identity.

        Raises :exc:`DamagedLogError` if acknowledged records may be lost.
        """
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / FILE_NAME
        if not path.exists():
            identity = f'{vm}#{secrets.token_hex(_IDENTITY_BYTES)}'
            _replace_file(folder, [identity])
            return cls(folder, StoredLog(identity))
        opened = read_log(path.read_bytes())
        with open(path, 'r+b') as log_file:
            log_file.truncate(opened.valid_bytes)
            os.fsync(log_file.fileno())
        return cls(folder, opened.stored)

    def write(self, batches: Iterable[PersistLog]) -> None:
        """Write batches and return once they are synced to disk.

        Raises :exc:`OSError` if they were not, as on a full disk. The same
        batches may then be written again.
        """
        records: list[LogRecord] = []
        for batch in batches:
            self._state.apply(batch)
            if batch.snapshot:
                records.clear()
                self._rewrite_file()
            else:
                records.extend(_batch_records(batch))
        if records:
            self._append(_encode_frame(records))

    def close(self) -> None:
        """Close the log file."""
        self._file.close()

    def _append(self, frame: bytes) -> None:
        """Append a frame after the last one that was synced."""
        if self._has_partial_frame:
            self._file.truncate(self._synced_bytes)
        self._has_partial_frame = True
        _write_all(self._file, frame)
        os.fdatasync(self._file.fileno())
        self._has_partial_frame = False
        self._synced_bytes += len(frame)

    def _rewrite_file(self) -> None:
        _replace_file(self._folder, self._state.records())
        self._file.close()
        self._file = self._path.open('ab', buffering=0)
        self._synced_bytes = self._path.stat().st_size
        self._has_partial_frame = False


class _LogState:
    """The state that the log's records add up to, for log compaction."""

    def __init__(self, stored: StoredLog) -> None:
        self._identity = stored.identity
        self._hard_state = stored.hard_state
        self._snapshot = stored.snapshot
        self._entries = {entry.log_index: entry for entry in stored.entries}

    def apply(self, batch: PersistLog) -> None:
        """Apply a batch in the order of its fields."""
        if batch.snapshot:
            self._snapshot = batch.snapshot
            self._entries = {
                index: entry
                for index, entry in self._entries.items()
                if index > batch.snapshot.last_index
            }
        if batch.truncate_from is not None:
            self.truncate(batch.truncate_from)
        for entry in batch.entries:
            self._entries[entry.log_index] = entry
        if batch.hard_state:
            self._hard_state = batch.hard_state

    def apply_record(self, record: LogRecord) -> None:
        """Apply one record that was read from a file."""
        match record:
            case SavedSnapshot():
                self._snapshot = record
            case Entry():
                self._entries[record.log_index] = record
            case HardState():
                self._hard_state = record
            case int():
                self.truncate(record)
            case str():
                self._identity = record

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        self._entries = {
            entry_index: entry
            for entry_index, entry in self._entries.items()
            if entry_index < index
        }

    def records(self) -> list[LogRecord]:
        """Return records that restore this state."""
        return [
            self._identity,
            self._snapshot,
            *self._entries.values(),
            self._hard_state,
        ]

    def to_stored(self) -> StoredLog:
        """Return the state in the form that a replica starts from."""
        return StoredLog(
            self._identity,
            self._hard_state,
            self._snapshot,
            tuple(self._entries.values()),
        )


def read_log(content: bytes) -> LogContents:
    """Return the state in a log file's content.

    Raises :exc:`DamagedLogError` for corruption before the last frame.
    """
    state = _LogState(StoredLog(''))
    offset = 0
    while offset < len(content):
        payload = _read_payload(content, offset)
        if payload is None:
            break
        for record in _split_records(payload):
            state.apply_record(record)
        offset += _HEADER.size + len(payload)
    stored = state.to_stored()
    if not stored.identity:
        raise DamagedLogError('log does not start with a replica identity')
    return LogContents(stored, offset)


def _read_payload(content: bytes, offset: int) -> bytes | None:
    """Return a frame's payload, or ``None`` for a torn last frame.

    Raises :exc:`DamagedLogError` if a valid frame follows a corrupt one.
    """
    payload = _valid_payload(content, offset)
    if payload is not None:
        return payload
    for later in range(offset + 1, len(content) - _HEADER.size + 1):
        if _valid_payload(content, later):
            raise DamagedLogError(f'corrupt frame at byte {offset}')
    return None


def _valid_payload(content: bytes, offset: int) -> bytes | None:
    if len(content) - offset < _HEADER.size:
        return None
    length, payload_crc, header_crc = _HEADER.unpack_from(content, offset)
    if not length or header_crc != _header_crc(length, payload_crc):
        return None
    start = offset + _HEADER.size
    payload = content[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != payload_crc:
        return None
    return payload


def _split_records(payload: bytes) -> Iterator[LogRecord]:
    offset = 0
    while offset < len(payload):
        length = _LENGTH.unpack_from(payload, offset)[0]
        offset += _LENGTH.size
        try:
            yield decode_record(payload[offset : offset + length])
        except WireError as exc:
            raise DamagedLogError(str(exc)) from exc
        offset += length


def _batch_records(batch: PersistLog) -> list[LogRecord]:
    records: list[LogRecord] = []
    if batch.truncate_from is not None:
        records.append(batch.truncate_from)
    records.extend(batch.entries)
    if batch.hard_state:
        records.append(batch.hard_state)
    return records


def _encode_frame(records: Iterable[LogRecord]) -> bytes:
    payload = bytearray()
    for record in records:
        encoded = encode_record(record)
        payload += _LENGTH.pack(len(encoded)) + encoded
    payload_crc = zlib.crc32(payload)
    header_crc = _header_crc(len(payload), payload_crc)
    return _HEADER.pack(len(payload), payload_crc, header_crc) + bytes(payload)


def _header_crc(length: int, payload_crc: int) -> int:
    return zlib.crc32(struct.pack('>II', length, payload_crc))


def _write_all(log_file: FileIO, frame: bytes) -> None:
    """Write all bytes; a write takes fewer when the disk fills up."""
    unwritten = memoryview(frame)
    while unwritten:
        unwritten = unwritten[log_file.write(unwritten) :]


def _replace_file(folder: Path, records: list[LogRecord]) -> None:
    temporary = folder / f'{FILE_NAME}.new'
    try:
        with open(temporary, 'wb') as log_file:
            log_file.write(_encode_frame(records))
            log_file.flush()
            os.fsync(log_file.fileno())
        os.replace(temporary, folder / FILE_NAME)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)
