"""How a published state is sent: without its document where that is read."""

from typing import Final, NamedTuple

from .._state import PublishedState
from ..documents import DocumentPart, DocumentSender
from ..entry import FleetView
from ..targets import SyncAsk
from ._entries import EntryLink


class SentState(NamedTuple):
    """A published state as it is sent, and the digest of its document.

    The digest is empty if the state holds the document, as builds that read
    no parts need it.
    """

    published: PublishedState | None
    digest: str


NOTHING: Final = SentState(None, '')


def describe_published(
    published: PublishedState, ask: SyncAsk, digest: str
) -> SentState:
    """Return a state as a receiver reads it.

    ``digest`` is that of the state's document.
    """
    if ask.reads_parts:
        return SentState(published._replace(document=''), digest)
    return SentState(published, '')


class RelayedState:
    """Sends entry VMs what they lack of the state that a relay holds."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._sender = DocumentSender()

    def update(self) -> None:
        """Send what the relay holds now, also as a base of what is next."""
        held = self._view.documents
        self._sender.put(held.revision, held.document)

    def offer(self, revision: int, document: str) -> None:
        """Take the newest document from elsewhere on this VM."""
        self._view.documents.offer(revision, document)
        self.update()

    def published_for(self, link: EntryLink) -> SentState:
        """Return what an entry VM lacks of the published state.

        Older builds get it with its document, once that is here.
        """
        published = self._view.published
        if published.version <= link.published.version:
            return NOTHING
        held = self._view.documents
        if link.ask.reads_parts:
            return describe_published(published, link.ask, held.wanted_digest)
        if not held.is_current:
            return NOTHING
        return SentState(published._replace(document=held.document), '')

    def part_for(self, link: EntryLink) -> DocumentPart | None:
        """Return the part that an entry VM asks for, once a request."""
        if not link.lacks_document or link.ask.document is None:
            return None
        part = self._sender.part_for(link.ask.document)
        link.lacks_document = part is None
        return part

    def has_part_for(self, link: EntryLink) -> bool:
        """Return whether there is a part now that was not there before."""
        if not link.lacks_document or link.ask.document is None:
            return False
        return self._sender.has_newer(link.ask.document)
