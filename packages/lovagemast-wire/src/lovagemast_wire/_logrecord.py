"""Binary encoding of write-ahead log records."""

from google.protobuf.message import DecodeError
from lovagemast_core import Entry, HardState, SavedSnapshot

from ._codec import WireError, from_wire, to_wire
from .lovagemast_pb2 import LogRecord as LogRecordMessage

LogRecord = SavedSnapshot | int | Entry | HardState | str


def encode_record(record: LogRecord) -> bytes:
    """Return the encoding of a record.

    An integer is the index from which the log is truncated; a string is the
    replica's identity.
    """
    match record:
        case SavedSnapshot():
            message = LogRecordMessage(saved_snapshot=to_wire(record))
        case Entry():
            message = LogRecordMessage(entry=to_wire(record))
        case HardState():
            message = LogRecordMessage(hard_state=to_wire(record))
        case int():
            message = LogRecordMessage(truncate_from=record)
        case _:
            message = LogRecordMessage(identity=record)
    return message.SerializeToString()


def decode_record(encoded: bytes) -> LogRecord:
    """Return the decoded record.

    Raises :exc:`WireError` for invalid bytes or an unknown kind of record.
    """
    try:
        message = LogRecordMessage.FromString(encoded)
    except DecodeError as exc:
        raise WireError(str(exc)) from exc
    match message.WhichOneof('kind'):
        case 'saved_snapshot':
            return _decode_message(SavedSnapshot, message.saved_snapshot)
        case 'entry':
            return _decode_message(Entry, message.entry)
        case 'hard_state':
            return _decode_message(HardState, message.hard_state)
        case 'truncate_from':
            return message.truncate_from
        case 'identity':
            return message.identity
    raise WireError('unknown or missing kind of log record')


def _decode_message(kind: type, message: object) -> LogRecord:
    record: LogRecord = from_wire(kind, message)  # type: ignore[arg-type]
    return record
