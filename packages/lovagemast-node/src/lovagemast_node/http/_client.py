"""Connections to targets, with one request at a time on each.

A connection is reused only if its last response was complete and no other
bytes arrived on it.
"""

import asyncio
from typing import Final, NamedTuple

import httptools

from ._boundedreads import BoundedReads
from ._eventqueue import EventQueue
from ._message import Headers
from ._responsesize import MAX_OVERHEAD_BYTES, ResponseSize
from ._sockets import discard_on_close, enable_keepalive

IDLE_TIMEOUT_MARGIN_S: Final = (
    0.5  # before the target closes an idle connection
)
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
MAX_BUFFERED_EVENTS: Final = 64
MAX_BUFFERED_BYTES: Final = 262_144  # of one response, not taken yet
SLICE_BYTES: Final = 65_536  # of a request's body, written at a time
LINE_BYTES: Final = 4  # of a header line beside its name and value
MIN_FINAL_STATUS: Final = 200  # lower ones are interim responses


class ResponseHead(NamedTuple):
    """The status, headers and content length of a response.

    A response without an id may belong to an earlier request.
    """

    status: int
    headers: Headers
    length: int | None
    echoes_id: bool = True  # has the request's id, not just no other one


class ResponseData(NamedTuple):
    """A chunk of a response's body."""

    chunk: bytes


class ResponseEnd(NamedTuple):
    """The response is complete."""


class ResponseFailed(NamedTuple):
    """The connection closed early or sent an invalid response."""

    detail: str
    is_malformed: bool = False  # bytes arrived that are no HTTP response


class ConnectFailed(NamedTuple):
    """No connection could be opened, so that nothing was sent."""

    detail: str


ResponseEvent = ResponseHead | ResponseData | ResponseEnd | ResponseFailed


class TargetConnection(BoundedReads):
    """A connection to a target that carries one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_closed = False
        self.is_reusable = True
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._events: EventQueue[ResponseEvent] = EventQueue()
        self._request_id = b''
        self._request_id_header = b''
        self._is_busy = False
        self._is_reading_paused = False
        self._buffered_bytes = 0
        self._unsent = memoryview(b'')
        self._is_writing_paused = False
        self._length: int | None = None
        self._start_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive probes."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the response in progress."""
        self.is_closed = True
        self.is_reusable = False
        if not self._is_busy:
            return
        ends_at_close = (
            exc is None
            and self._is_in_body
            and self._length is None
            and not self._is_chunked
            and not self._is_skipping
        )
        if ends_at_close:
            self._complete()
        else:
            self._fail(repr(exc) if exc else 'closed before the end')

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes; close if no request is in progress."""
        if not self._is_busy:
            self.is_reusable = False
            self.close()
            return
        self._size.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._is_busy:
                self._fail(f'not an answer: {exc}', is_malformed=True)
            self.is_reusable = False
            self.close()
        self._emit_body()
        self._check_size()
        is_full = (
            len(self._events) > MAX_BUFFERED_EVENTS
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        )
        if is_full and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Keep the rest of a request's body until there is room."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write on."""
        self._is_writing_paused = False
        self._write_unsent()

    def on_message_begin(self) -> None:
        """Start a response; an unsolicited one rules out reuse."""
        if not self._is_busy:
            self.is_reusable = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._lines_bytes = 0
        self._is_in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, drop a trailer; the lines of both are bounded.

        One read has room for many lines, each of which takes several times
        its size once it is parsed.
        """
        self._lines_bytes += len(name) + len(value) + LINE_BYTES
        if self._lines_bytes > MAX_OVERHEAD_BYTES:
            raise ValueError('too many header lines')
        if not self._is_in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Emit the head, unless it belongs to another request."""
        if not self._is_busy:
            return
        headers = {name.lower(): value for name, value in self._headers}
        length = headers.get(b'content-length', b'')
        self._length = int(length) if length.isdigit() else None
        self._is_chunked = b'transfer-encoding' in headers
        self._read_keep_alive(headers.get(b'keep-alive', b''))
        self._is_in_body = True
        status = self._parser.get_status_code()
        response_id = headers.get(self._request_id_header)
        is_foreign = response_id not in {None, self._request_id}
        self._is_skipping = is_foreign or status < MIN_FINAL_STATUS
        if is_foreign:
            self.is_reusable = False
        if self._is_skipping:
            return
        self._events.put(
            ResponseHead(
                status,
                tuple(self._headers),
                self._length,
                response_id is not None,
            ),
        )

    def on_body(self, body: bytes) -> None:
        """Keep a chunk of the body until the whole read is parsed."""
        if self._is_busy and not self._is_skipping:
            self._size.add_body(len(body))
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Emit the end of the response."""
        if not self._is_busy:
            return
        if self._is_skipping:
            self._is_in_body = False
            self._is_skipping = False
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._complete()

    def send(
        self,
        head: bytes,
        request_id: bytes,
        request_id_header: bytes,
        body: bytes = b'',
    ) -> None:
        """Send a request; responses with another request id are skipped."""
        self._request_id = request_id
        self._request_id_header = request_id_header
        self._is_busy = True
        self._events.close()
        self._events = EventQueue()
        self._buffered_bytes = 0
        self._start_parser()
        if self._transport and not self.is_closed:
            self._unsent = memoryview(body)[SLICE_BYTES:]
            self._transport.write(head + body[:SLICE_BYTES])
            self._write_unsent()
        else:
            self._fail('closed while idle')

    async def next_event(self, timeout_s: float | None = None) -> ResponseEvent:
        """Wait for the next event of the response.

        Raises :exc:`TimeoutError` if none comes in time.
        """
        event = await self._events.get(timeout_s)
        if isinstance(event, ResponseData):
            self._buffered_bytes -= len(event.chunk)
        if self._is_reading_paused and not self._events:
            self._is_reading_paused = False
            if self._transport and not self.is_closed:
                self._transport.resume_reading()
        return event

    def stop_timer(self) -> None:
        """Stop the timer of the last response."""
        self._events.close()

    def is_usable(self, now: float) -> bool:
        """Return whether the target may still keep the idle connection."""
        spare_s = self.idle_timeout_s - IDLE_TIMEOUT_MARGIN_S
        return not self.is_closed and now - self.idle_since < spare_s

    def close(self) -> None:
        """Abort the connection, so that the target cancels its request."""
        self.is_reusable = False
        self._is_busy = False
        self._events.close()
        if self._transport:
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection, and drop what its socket has not delivered.

        After an ordinary close the kernel goes on sending what it holds, so
        that a request may arrive long after its sender has given it up.
        """
        if self._transport and not self.is_closed:
            discard_on_close(self._transport)
        self.close()

    def _start_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._size = ResponseSize()
        self._headers = []
        self._lines_bytes = 0
        self._length = None
        self._is_chunked = False
        self._is_in_body = False
        self._is_skipping = False
        self._chunks: list[bytes] = []  # of the body, not emitted yet

    def _emit_body(self) -> None:
        """Emit the chunks of one read as one event, however small they are."""
        if not self._chunks:
            return
        chunks = self._chunks
        self._chunks = []
        body = chunks[0] if len(chunks) == 1 else b''.join(chunks)
        self._buffered_bytes += len(body)
        self._events.put(ResponseData(body))

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.idle_timeout_s = float(seconds)

    def _check_size(self) -> None:
        if self._is_busy and self._size.is_excessive():
            self._fail(
                'bytes without end that are no answer', is_malformed=True
            )
            self.close()

    def _write_unsent(self) -> None:
        while self._unsent and not self._is_writing_paused and self._transport:
            part = self._unsent[:SLICE_BYTES]
            self._unsent = self._unsent[SLICE_BYTES:]
            self._transport.write(part)

    def _complete(self) -> None:
        self._is_busy = False
        self._emit_body()
        if self._unsent:  # bytes of the next request would take their place
            self.is_reusable = False
        self._events.put(ResponseEnd())

    def _fail(self, detail: str, *, is_malformed: bool = False) -> None:
        self._is_busy = False
        self.is_reusable = False
        self._emit_body()
        self._events.put(ResponseFailed(detail, is_malformed))
