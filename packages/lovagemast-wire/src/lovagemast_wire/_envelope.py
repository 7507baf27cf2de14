"""Envelopes, each of which carries one message between two VMs."""

from typing import Any

from lovagemast_core import PeerMessage, PeerReceived

from ._codec import from_union, to_wire, union_kinds
from .lovagemast_pb2 import Envelope

_KINDS = union_kinds(PeerMessage)
_FIELDS = {kind: field for field, kind in _KINDS.items()}


def encode_envelope(sender: str, message: PeerMessage) -> Envelope:
    """Return a message in an envelope from the sender."""
    fields: dict[str, Any] = {_FIELDS[type(message)]: to_wire(message)}
    return Envelope(sender=sender, **fields)


def decode_envelope(envelope: Envelope) -> PeerReceived:
    """Return the core event for a received envelope.

    Raises :exc:`WireError` for a message of an unknown class.
    """
    return PeerReceived(envelope.sender, from_union(_KINDS, envelope))
