"""The write-ahead log of a control VM.

One file holds a header frame with the replica's identity, then one frame
for each write. A frame is a header (payload length, CRC of the payload,
CRC of the header) and the payload: records with their lengths. A write is
synced before the next one begins, so that only the last frame can be torn,
in any of its parts: a damaged frame with no whole one after it was never
acknowledged and is dropped; any other damage stops the process. A snapshot
starts a new file, which replaces the old one once it is synced.
"""

import os
import secrets
import struct
import zlib
from collections.abc import Iterable, Iterator
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
    """The log is damaged elsewhere than at its very end."""


class LogContents(NamedTuple):
    """What a log file holds, and how many of its bytes are whole."""

    stored: StoredLog
    whole_bytes: int


class LogStore:
    """Appends batches to the log and syncs them."""

    def __init__(self, folder: Path, stored: StoredLog) -> None:
        self.stored = stored
        self._folder = folder
        self._path = folder / FILE_NAME
        self._mirror = _Mirror(stored)
        self._file = self._path.open('ab', buffering=0)

    @classmethod
    def open(cls, folder: Path, vm: str) -> 'LogStore':
        """Open the log of a VM, with a new identity in an empty folder.

        Raises :exc:`DamagedLogError` if acknowledged records may be gone.
        """
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / FILE_NAME
        if not path.exists():
            identity = f'{vm}#{secrets.token_hex(_IDENTITY_BYTES)}'
            _replace_file(folder, [identity])
            return cls(folder, StoredLog(identity))
        found = read_log(path.read_bytes())
        with open(path, 'r+b') as log_file:
            log_file.truncate(found.whole_bytes)
            os.fsync(log_file.fileno())
        return cls(folder, found.stored)

    def write(self, batches: Iterable[PersistLog]) -> None:
        """Write some batches and return once they are synced."""
        records: list[LogRecord] = []
        for batch in batches:
            self._mirror.apply(batch)
            if batch.snapshot:
                records.clear()
                self._start_file()
            else:
                records.extend(_records(batch))
        if records:
            self._file.write(_frame(records))
            os.fdatasync(self._file.fileno())

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _start_file(self) -> None:
        self._file.close()
        _replace_file(self._folder, self._mirror.records())
        self._file = self._path.open('ab', buffering=0)


class _Mirror:
    """What the log holds, for the start of a new file."""

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
        """Apply one record of a file."""
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
        """Drop the entry at an index and all after it."""
        self._entries = {
            known: entry
            for known, entry in self._entries.items()
            if known < index
        }

    def records(self) -> list[LogRecord]:
        """Return the records that lead to this state."""
        return [
            self._identity,
            self._snapshot,
            *self._entries.values(),
            self._hard_state,
        ]

    def to_stored(self) -> StoredLog:
        """Return the state as a replica starts from it."""
        return StoredLog(
            self._identity,
            self._hard_state,
            self._snapshot,
            tuple(self._entries.values()),
        )


def read_log(content: bytes) -> LogContents:
    """Return what a log file holds.

    Raises :exc:`DamagedLogError` for damage before the last frame.
    """
    mirror = _Mirror(StoredLog(''))
    position = 0
    while position < len(content):
        payload = _payload_at(content, position)
        if payload is None:
            break
        for record in _split(payload):
            mirror.apply_record(record)
        position += _HEADER.size + len(payload)
    stored = mirror.to_stored()
    if not stored.identity:
        raise DamagedLogError('the log does not start with an identity')
    return LogContents(stored, position)


def _payload_at(content: bytes, position: int) -> bytes | None:
    """Return a frame's payload, ``None`` if the frame was never whole.

    Raises :exc:`DamagedLogError` if a whole frame follows a damaged one.
    """
    payload = _whole_payload(content, position)
    if payload is not None:
        return payload
    for later in range(position + 1, len(content) - _HEADER.size + 1):
        if _whole_payload(content, later):
            raise DamagedLogError(f'damaged frame at byte {position}')
    return None


def _whole_payload(content: bytes, position: int) -> bytes | None:
    if len(content) - position < _HEADER.size:
        return None
    length, payload_crc, header_crc = _HEADER.unpack_from(content, position)
    if not length or header_crc != _header_crc(length, payload_crc):
        return None
    start = position + _HEADER.size
    payload = content[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != payload_crc:
        return None
    return payload


def _split(payload: bytes) -> Iterator[LogRecord]:
    position = 0
    while position < len(payload):
        length = _LENGTH.unpack_from(payload, position)[0]
        position += _LENGTH.size
        try:
            yield decode_record(payload[position : position + length])
        except WireError as exc:
            raise DamagedLogError(str(exc)) from exc
        position += length


def _records(batch: PersistLog) -> list[LogRecord]:
    records: list[LogRecord] = []
    if batch.truncate_from is not None:
        records.append(batch.truncate_from)
    records.extend(batch.entries)
    if batch.hard_state:
        records.append(batch.hard_state)
    return records


def _frame(records: Iterable[LogRecord]) -> bytes:
    payload = bytearray()
    for record in records:
        encoded = encode_record(record)
        payload += _LENGTH.pack(len(encoded)) + encoded
    payload_crc = zlib.crc32(payload)
    header_crc = _header_crc(len(payload), payload_crc)
    return _HEADER.pack(len(payload), payload_crc, header_crc) + bytes(payload)


def _header_crc(length: int, payload_crc: int) -> int:
    return zlib.crc32(struct.pack('>II', length, payload_crc))


def _replace_file(folder: Path, records: list[LogRecord]) -> None:
    fresh = folder / f'{FILE_NAME}.new'
    with open(fresh, 'wb') as log_file:
        log_file.write(_frame(records))
        log_file.flush()
        os.fsync(log_file.fileno())
    os.replace(fresh, folder / FILE_NAME)
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)
