"""What receivers of configuration documents ask for, and what they get."""

from typing import NamedTuple


class HeldTransfer(NamedTuple):
    """The beginning of an encoding that a receiver holds."""

    transfer: str  # digest of the encoding
    received: int  # bytes


class DocumentWish(NamedTuple):
    """Tells which document a receiver lacks, and what it holds.

    Digests are SHA-256 in hexadecimal, empty for nothing.
    """

    revision: int  # that the receiver holds
    base: str  # digest of the document that it holds
    held: tuple[HeldTransfer, ...] = ()  # what it holds more of comes first


class DocumentPart(NamedTuple):
    """A part of a document's encoding, which ``transfer`` names."""

    revision: int
    digest: str  # of the document
    base: str  # digest of the document that it is encoded against, or empty
    transfer: str  # digest of the encoding
    size: int  # bytes of the encoding
    offset: int  # bytes of the encoding before this part
    content: bytes
