"""Protocol Buffers encoding of messages between VMs and of log records."""

from . import lovagemast_pb2
from ._codec import WireError, from_wire, to_wire
from ._envelope import decode_envelope, encode_envelope
from ._logrecord import LogRecord, decode_record, encode_record
from .lovagemast_grpc import (
    EntriesBase,
    EntriesStub,
    ForwardsBase,
    ForwardsStub,
    PeersBase,
    PeersStub,
    RelaysBase,
    RelaysStub,
)
from .lovagemast_pb2 import Closed, Envelope

__all__ = [
    'Closed',
    'EntriesBase',
    'EntriesStub',
    'Envelope',
    'ForwardsBase',
    'ForwardsStub',
    'LogRecord',
    'PeersBase',
    'PeersStub',
    'RelaysBase',
    'RelaysStub',
    'WireError',
    'decode_envelope',
    'decode_record',
    'encode_envelope',
    'encode_record',
    'from_wire',
    'lovagemast_pb2',
    'to_wire',
]
