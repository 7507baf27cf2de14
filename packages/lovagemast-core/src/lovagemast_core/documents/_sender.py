"""The side of a transfer that holds the newest document."""

import hashlib
from collections import OrderedDict
from typing import Final, NamedTuple

from ._codec import digest_document, encode_document
from ._records import DocumentPart, DocumentWish, HeldTransfer

# It takes a link of 2 Mbit/s less than 0.1 s, so that the confirmations,
# tokens and limits of other replies never wait for long behind it.
PART_BYTES: Final = 16_384
# Of documents that receivers may still hold, beside the newest one.
MAX_BASES_BYTES: Final = 4_194_304
MAX_ENCODINGS_BYTES: Final = 4_194_304


class _Document(NamedTuple):
    revision: int
    digest: str
    text: str


class _Encoding(NamedTuple):
    document: _Document
    base: str
    content: bytes


class DocumentSender:
    """Answers the wishes of receivers, without a state for any of them.

    A transfer that a receiver has begun is finished before a newer document
    is begun, so that changes in quick succession hold up none for ever.
    """

    def __init__(self) -> None:
        self._newest: _Document | None = None
        self._bases: OrderedDict[str, str] = OrderedDict()
        self._encodings: OrderedDict[str, _Encoding] = OrderedDict()
        self._transfers: dict[tuple[str, str], str] = {}

    @property
    def digest(self) -> str:
        """Return the digest of the newest document, or an empty text."""
        return self._newest.digest if self._newest else ''

    def put(self, revision: int, text: str) -> None:
        """Replace the newest document by a newer one."""
        if self._newest and revision <= self._newest.revision:
            return
        if self._newest:
            self._bases[self._newest.digest] = self._newest.text
            self._drop_bases()
        self._newest = _Document(revision, digest_document(text), text)

    def part_for(self, wish: DocumentWish) -> DocumentPart | None:
        """Return the next part for a receiver, ``None`` if it lacks none."""
        held = self._held_by(wish)
        offset = held.received if held else 0
        encoding = (
            self._encodings[held.transfer]
            if held
            else self._newest_encoding(wish)
        )
        if encoding is None:
            return None
        transfer = self._transfers[encoding.base, encoding.document.digest]
        return DocumentPart(
            encoding.document.revision,
            encoding.document.digest,
            encoding.base,
            transfer,
            len(encoding.content),
            offset,
            encoding.content[offset : offset + PART_BYTES],
        )

    def has_newer(self, wish: DocumentWish) -> bool:
        """Return whether a receiver lacks the newest document."""
        return bool(self._newest and self._newest.revision > wish.revision)

    def _held_by(self, wish: DocumentWish) -> HeldTransfer | None:
        """Return the transfer that a receiver has begun and can go on."""
        for held in wish.held:
            encoding = self._encodings.get(held.transfer)
            if encoding and encoding.document.revision > wish.revision:
                return held
        return None

    def _newest_encoding(self, wish: DocumentWish) -> _Encoding | None:
        newest = self._newest
        if newest is None or newest.revision <= wish.revision:
            return None
        base = wish.base if wish.base in self._bases else ''
        transfer = self._transfers.get((base, newest.digest))
        if transfer is None:
            text = self._bases.get(base, '')
            content = encode_document(text, newest.text)
            transfer = hashlib.sha256(content).hexdigest()
            self._encodings[transfer] = _Encoding(newest, base, content)
            self._transfers[base, newest.digest] = transfer
            self._drop_encodings(transfer)
        self._encodings.move_to_end(transfer)
        return self._encodings[transfer]

    def _drop_bases(self) -> None:
        held = sum(len(text) for text in self._bases.values())
        while held > MAX_BASES_BYTES and len(self._bases) > 1:
            held -= len(self._bases.popitem(last=False)[1])

    def _drop_encodings(self, kept: str) -> None:
        held = sum(len(one.content) for one in self._encodings.values())
        while (
            held > MAX_ENCODINGS_BYTES and next(iter(self._encodings)) != kept
        ):
            _transfer, dropped = self._encodings.popitem(last=False)
            held -= len(dropped.content)
            self._transfers.pop((dropped.base, dropped.document.digest))
