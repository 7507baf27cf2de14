"""Encodes a document as what it changes of another one, compressed.

The encoding is Zstandard with the other document as its dictionary, so that
whatever the two have in common takes a few bytes.
"""

import hashlib
from functools import partial
from types import MappingProxyType
from typing import Final

import zstandard

MAX_DOCUMENT_BYTES: Final = 8_388_608
EMPTY_DOCUMENT: Final = '{}'  # before the first configuration
MIN_WINDOW_LOG: Final = 10
LEVEL: Final = 3
# The tables of the level index only a part of a large dictionary.
DICTIONARY_TABLES: Final = MappingProxyType({'hash_log': 20, 'chain_log': 20})

_as_dictionary = partial(
    zstandard.ZstdCompressionDict, dict_type=zstandard.DICT_TYPE_RAWCONTENT
)


class DocumentError(Exception):
    """An encoding is damaged, or of another base or document."""


def digest_document(document: str) -> str:
    """Return the SHA-256 of a document in hexadecimal."""
    return hashlib.sha256(document.encode()).hexdigest()


def encode_document(base: str, document: str) -> bytes:
    """Return a document's encoding against a base, which may be empty."""
    base_bytes = base.encode()
    content = document.encode()
    params = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(content),
        dict_size=len(base_bytes),
        window_log=_window_log(len(base_bytes) + len(content)),
        **(DICTIONARY_TABLES if base else {}),
    )
    dictionary = _as_dictionary(base_bytes) if base else None
    compressor = zstandard.ZstdCompressor(
        dict_data=dictionary, compression_params=params
    )
    return compressor.compress(content)


def decode_document(base: str, encoded: bytes, digest: str) -> str:
    """Return the document of an encoding.

    Raises :exc:`DocumentError` if it is not the one with the digest, or if it
    is larger than ``MAX_DOCUMENT_BYTES``.
    """
    dictionary = _as_dictionary(base.encode()) if base else None
    decompressor = zstandard.ZstdDecompressor(
        dict_data=dictionary,
        max_window_size=2 ** _window_log(2 * MAX_DOCUMENT_BYTES),
    )
    try:
        size = zstandard.frame_content_size(encoded)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DocumentError(f'a document of {size} bytes')
        document = decompressor.decompress(encoded).decode()
    except (zstandard.ZstdError, UnicodeDecodeError) as exc:
        raise DocumentError(str(exc)) from exc
    if digest_document(document) != digest:
        raise DocumentError('the document has another digest')
    return document


def _window_log(size: int) -> int:
    """Return the logarithm of a window that reaches over some bytes."""
    return max(MIN_WINDOW_LOG, size.bit_length())
