"""Follows the transfer of configuration documents to a VM."""

from collections.abc import Callable

from lovagemast_core.documents import DocumentReceiver
from lovagemast_core.targets import SyncReply

from ._jsonlog import JsonLog


class DocumentTransfers:
    """Asks for the next part at once, and logs what fails.

    ``request_sync`` sends a sync request as soon as it may be sent.
    """

    def __init__(
        self,
        documents: DocumentReceiver,
        request_sync: Callable[[], None],
        log: JsonLog,
    ) -> None:
        self._documents = documents
        self._request_sync = request_sync
        self._log = log

    def on_reply(self, reply: SyncReply) -> None:
        """Go on after a reply, which the view has applied."""
        fault = self._documents.take_fault()
        if fault:
            self._log.write('config', 'transfer failed', cause=fault)
        has_news = reply.published or reply.document
        if has_news and self._documents.wish():
            self._request_sync()

    def on_lost(self, peer: str) -> None:
        """Log that a stream broke amid a document, with what has come."""
        progress = self._documents.progress
        if progress:
            self._log.write(
                'config',
                'transfer interrupted',
                peer=peer,
                revision=progress.revision,
                received_bytes=progress.received,
                wanted_bytes=progress.size,
            )
