"""Transfer of configuration documents: as changes, in parts that resume."""

from ._codec import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    DocumentError,
    decode_document,
    digest_document,
    encode_document,
)
from ._receiver import DocumentReceiver, TransferProgress
from ._records import DocumentPart, DocumentWish, HeldTransfer
from ._sender import PART_BYTES, DocumentSender

__all__ = [
    'EMPTY_DOCUMENT',
    'MAX_DOCUMENT_BYTES',
    'PART_BYTES',
    'DocumentError',
    'DocumentPart',
    'DocumentReceiver',
    'DocumentSender',
    'DocumentWish',
    'HeldTransfer',
    'TransferProgress',
    'decode_document',
    'digest_document',
    'encode_document',
]
