"""The side of a transfer that lacks the newest document."""

from collections.abc import Callable
from typing import Final, NamedTuple

from ._codec import (
    EMPTY_DOCUMENT,
    DocumentError,
    decode_document,
    digest_document,
)
from ._records import DocumentPart, DocumentWish, HeldTransfer

# Senders encode against different bases, so a receiver that changes between
# some of them holds a beginning for each.
MAX_TRANSFERS: Final = 4
MAX_HELD_BYTES: Final = 4_194_304

# Puts a revision and its document in force; returns whether it could.
Activate = Callable[[int, str], bool]


class _Transfer(NamedTuple):
    first: DocumentPart
    content: bytearray


class TransferProgress(NamedTuple):
    """How much of a document's encoding has come."""

    revision: int
    received: int  # bytes
    size: int  # bytes


def _accept(_revision: int, _document: str) -> bool:
    """Take a document as it is."""
    return True


class DocumentReceiver:
    """Holds the document in force, and collects the parts of a newer one.

    A document counts as held once ``activate`` has put it in force, and not
    when it has come.
    """

    def __init__(self, activate: Activate = _accept) -> None:
        self.activate = activate
        self.revision = 0
        self.document = EMPTY_DOCUMENT
        self._digest = digest_document(EMPTY_DOCUMENT)
        self._wanted_revision = 0
        self.wanted_digest = ''
        self._refused_digest = ''  # of a document that can't be in force here
        self._refuses_base = False  # since an encoding against it was damaged
        self._transfers: dict[str, _Transfer] = {}  # the last one is newest
        self._fault = ''

    @property
    def is_current(self) -> bool:
        """Return whether the newest document known of is in force."""
        return self.revision >= self._wanted_revision

    @property
    def progress(self) -> TransferProgress | None:
        """Return how far a transfer is, ``None`` if none has begun."""
        if not self._transfers:
            return None
        newest = list(self._transfers.values())[-1]
        return TransferProgress(
            newest.first.revision, len(newest.content), newest.first.size
        )

    def want(self, revision: int, digest: str) -> None:
        """Learn of the newest document, which may be the one held."""
        if revision <= self._wanted_revision:
            return
        self._wanted_revision = revision
        self.wanted_digest = digest
        if digest == self._digest:
            self._put_in_force(revision, self.document, digest)

    def offer(self, revision: int, document: str) -> None:
        """Take a whole document if it is the one that is wanted."""
        if self.is_current or revision != self._wanted_revision:
            return
        digest = digest_document(document)
        if digest == self.wanted_digest:
            self._put_in_force(revision, document, digest)

    def wish(self) -> DocumentWish | None:
        """Return what to ask for, ``None`` if nothing is lacking."""
        if self.is_current or self.wanted_digest == self._refused_digest:
            return None
        return DocumentWish(
            self.revision,
            '' if self._refuses_base else self._digest,
            self._held_transfers(),
        )

    def add(self, part: DocumentPart) -> None:
        """Add the next part; put the document in force if it is the last."""
        if part.revision <= self.revision:
            return
        transfer = self._transfers.get(part.transfer)
        if transfer is None:
            transfer = _Transfer(part, bytearray())
        if part.offset != len(transfer.content):
            return
        transfer.content.extend(part.content)
        self._transfers.pop(part.transfer, None)
        if len(transfer.content) >= transfer.first.size:
            self._complete(transfer.first, bytes(transfer.content))
            return
        self._transfers[part.transfer] = transfer
        self._drop_oldest()

    def take_fault(self) -> str:
        """Return why a transfer has failed since the last call, if one did."""
        fault = self._fault
        self._fault = ''
        return fault

    def _held_transfers(self) -> tuple[HeldTransfer, ...]:
        held = [
            HeldTransfer(name, len(transfer.content))
            for name, transfer in self._transfers.items()
        ]
        return tuple(sorted(held, key=lambda one: one.received, reverse=True))

    def _drop_oldest(self) -> None:
        """Keep few transfers: one for each sender that was asked lately."""
        while len(self._transfers) > MAX_TRANSFERS or (
            len(self._transfers) > 1 and self._held_bytes() > MAX_HELD_BYTES
        ):
            self._transfers.pop(next(iter(self._transfers)))

    def _held_bytes(self) -> int:
        return sum(len(one.content) for one in self._transfers.values())

    def _complete(self, first: DocumentPart, encoded: bytes) -> None:
        try:
            document = self._decode(first, encoded)
        except DocumentError as exc:
            self._refuses_base = True
            self._fault = f'revision {first.revision}: {exc}'
            return
        self._put_in_force(first.revision, document, first.digest)

    def _decode(self, first: DocumentPart, encoded: bytes) -> str:
        if first.base and first.base != self._digest:
            raise DocumentError('the base is not held')
        base = self.document if first.base else ''
        return decode_document(base, encoded, first.digest)

    def _put_in_force(self, revision: int, document: str, digest: str) -> None:
        if not self.activate(revision, document):
            self._refused_digest = digest
            return
        self.revision = revision
        self.document = document
        self._digest = digest
        self._refuses_base = False
        self._transfers = {  # those against another base are of no use
            name: transfer
            for name, transfer in self._transfers.items()
            if transfer.first.revision > revision
            and transfer.first.base in {'', digest}
        }
