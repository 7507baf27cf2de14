"""Relays a target's response to the caller."""

from typing import Protocol

from lovagemast_core.entry import EventStreamBuffer

from .._clock import now_s
from ..http import Headers, ResponseHead
from ._codec import EntryCodec


class ResponseWriter(Protocol):
    """Takes the parts of one response."""

    @property
    def started(self) -> bool:
        """Return whether the head was written."""

    async def send(
        self, status: int, headers: Headers = (), body: bytes = b''
    ) -> None:
        """Write a complete response."""

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Write the head."""

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body."""

    def end(self) -> None:
        """Finish the response."""


class ResponseRelay:
    """One response to a caller.

    A stream that breaks may be resumed by another target, so several targets
    may contribute to it in turn.
    """

    def __init__(self, responder: ResponseWriter, codec: EntryCodec) -> None:
        self._responder = responder
        self._codec = codec
        self._event_buffer = EventStreamBuffer()
        self.first_at: float | None = None  # when the stream began, in s
        self.longest_pause_s = 0.0  # between events of the whole stream
        self.target_pause_s = 0.0  # between events of the last target
        self.software = ''  # of the target that streams
        self._is_resumed = False
        self._last_at = 0.0

    @property
    def started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self._responder.started

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that was sent to the caller."""
        return self._event_buffer.last_id

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return self._event_buffer.partial_bytes

    @property
    def is_inside_event(self) -> bool:
        """Return whether a part of an incomplete event is buffered."""
        return self._event_buffer.is_inside_event

    def begin_stream(self, software: str = '') -> None:
        """Prepare for the events of a target, of some software version.

        If the stream is resumed, the pause before the first event does not
        count as a pause of this target.
        """
        self.software = software
        self._event_buffer.discard_partial()
        self._is_resumed = self.started
        self.target_pause_s = 0.0

    async def relay_events(self, head: ResponseHead, chunk: bytes) -> bool:
        """Send the complete events and buffer an incomplete one.

        Return whether there was a complete one.
        """
        complete = self._event_buffer.feed(chunk)
        if complete:
            self._start(head)
            self._record_pause()
            await self._responder.write(complete)
        return bool(complete)

    async def end_stream(self, head: ResponseHead) -> None:
        """End a stream that the target has completed."""
        self._start(head)
        await self._responder.write(self._event_buffer.flush())
        self._responder.end()

    async def relay_body(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response that is not a stream."""
        headers = self._codec.response_headers(head.headers)
        await self._responder.send(head.status, headers, body)

    def _record_pause(self) -> None:
        now = now_s()
        if self._last_at:
            pause_s = now - self._last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            if not self._is_resumed:
                self.target_pause_s = max(self.target_pause_s, pause_s)
        self._is_resumed = False
        self._last_at = now

    def _start(self, head: ResponseHead) -> None:
        if not self._responder.started:
            self.first_at = now_s()
            headers = self._codec.response_headers(head.headers)
            self._responder.start(head.status, headers, None)
