"""Connections to targets, one request at a time on each.

A connection is used again only if its last answer was whole and nothing
else arrived on it.
"""

import asyncio
from collections import defaultdict, deque
from typing import Final, NamedTuple

import httptools

from ._message import Headers
from ._sockets import split_address, watch_silence

IDLE_MARGIN_S: Final = 0.5  # before the target's own idle timeout
DEFAULT_IDLE_S: Final = 4.0
READ_HIGH_EVENTS: Final = 64
FINAL_STATUS: Final = 200  # lower ones are interim answers


class ResponseHead(NamedTuple):
    """The status and headers of an answer."""

    status: int
    headers: Headers
    length: int | None


class ResponseData(NamedTuple):
    """A part of an answer's body."""

    chunk: bytes


class ResponseEnd(NamedTuple):
    """The answer is whole."""


class ResponseFailed(NamedTuple):
    """The connection ended, or sent what is no answer."""

    detail: str


class ConnectFailed(NamedTuple):
    """No connection could be opened; nothing was sent."""

    detail: str


ResponseEvent = ResponseHead | ResponseData | ResponseEnd | ResponseFailed


class TargetConnection(asyncio.Protocol):
    """A connection to a target."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_closed = False
        self.is_reusable = True
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._events: asyncio.Queue[ResponseEvent] = asyncio.Queue()
        self._request_id = b''
        self._id_header = b''
        self._busy = False
        self._reading_paused = False
        self._length: int | None = None
        self._start_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        watch_silence(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end to whoever waits for an answer."""
        self.is_closed = True
        self.is_reusable = False
        if not self._busy:
            return
        ends_with_channel = (
            exc is None
            and self._in_body
            and self._length is None
            and not self._is_chunked
            and not self._skipping
        )
        if ends_with_channel:
            self._finish()
        else:
            self._broken(repr(exc) if exc else 'closed before the end')

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; nothing may arrive while no request is open."""
        if not self._busy:
            self.is_reusable = False
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._busy:
                self._broken(f'not an answer: {exc}')
            self.is_reusable = False
            self.close()
        if self._events.qsize() > READ_HIGH_EVENTS and self._transport:
            self._reading_paused = True
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Start an answer, which must have been asked for."""
        if not self._busy:
            self.is_reusable = False
        self._headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on, unless it answers another request."""
        if not self._busy:
            return
        headers = {name.lower(): value for name, value in self._headers}
        length = headers.get(b'content-length', b'')
        self._length = int(length) if length.isdigit() else None
        self._is_chunked = b'transfer-encoding' in headers
        self._note_keep_alive(headers.get(b'keep-alive', b''))
        self._in_body = True
        status = self._parser.get_status_code()
        answered = headers.get(self._id_header, self._request_id)
        foreign = answered != self._request_id
        self._skipping = foreign or status < FINAL_STATUS
        if foreign:
            self.is_reusable = False
        if self._skipping:
            return
        self._events.put_nowait(
            ResponseHead(status, tuple(self._headers), self._length),
        )

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if self._busy and not self._skipping:
            self._events.put_nowait(ResponseData(body))

    def on_message_complete(self) -> None:
        """Pass the end on."""
        if not self._busy:
            return
        if self._skipping:
            self._in_body = False
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._finish()

    def send(self, data: bytes, request_id: bytes, id_header: bytes) -> None:
        """Send a request; answers with another id are skipped."""
        self._request_id = request_id
        self._id_header = id_header
        self._busy = True
        self._events = asyncio.Queue()
        self._start_parser()
        if self._transport and not self.is_closed:
            self._transport.write(data)
        else:
            self._broken('closed while idle')

    async def next_event(self) -> ResponseEvent:
        """Return the next part of the answer."""
        answer_event = await self._events.get()
        if self._reading_paused and self._events.empty():
            self._reading_paused = False
            if self._transport and not self.is_closed:
                self._transport.resume_reading()
        return answer_event

    def close(self) -> None:
        """Close at once; the target drops what it still runs."""
        self.is_reusable = False
        self._busy = False
        if self._transport:
            self._transport.abort()

    def _start_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._length = None
        self._is_chunked = False
        self._in_body = False
        self._skipping = False

    def _note_keep_alive(self, value: bytes) -> None:
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name == b'timeout' and seconds.isdigit():
                self.idle_s = float(seconds)

    def _finish(self) -> None:
        self._busy = False
        self._events.put_nowait(ResponseEnd())

    def _broken(self, detail: str) -> None:
        self._busy = False
        self.is_reusable = False
        self._events.put_nowait(ResponseFailed(detail))


class TargetPool:
    """Keeps idle connections to targets."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[TargetConnection]] = defaultdict(deque)

    async def acquire(
        self,
        address: str,
        *,
        fresh: bool,
        timeout_s: float,
        now: float,
    ) -> TargetConnection | ConnectFailed:
        """Return an idle connection or open one."""
        idle = self._idle[address]
        while idle and not fresh:
            conn = idle.pop()
            spare_s = conn.idle_s - IDLE_MARGIN_S
            if not conn.is_closed and now - conn.idle_since < spare_s:
                return conn
            conn.close()
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _transport, conn = await loop.create_connection(
                    lambda: TargetConnection(address),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as exc:
            return ConnectFailed(repr(exc))
        return conn

    def release(self, conn: TargetConnection, now: float) -> None:
        """Keep a connection for later, or close it."""
        if conn.is_reusable and not conn.is_closed:
            conn.idle_since = now
            self._idle[conn.address].append(conn)
        else:
            conn.close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()
