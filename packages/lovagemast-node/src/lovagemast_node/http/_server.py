"""A server connection: reads whole requests, writes answers in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import httptools

from ._message import Headers, HttpRequest, encode_head, status_line
from ._sockets import BACKLOG, watch_silence

MAX_PIPELINED: Final = 16
WRITE_HIGH_BYTES: Final = 65_536
BAD_REQUEST: Final = 400
TIMED_OUT: Final = 408
TOO_LARGE: Final = 413
HEADERS_TOO_LARGE: Final = 431


class ServerLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Responder:
    """Writes the answer to one request."""

    def __init__(self, conn: 'ServerConnection', *, head_only: bool) -> None:
        self._conn = conn
        self._head_only = head_only
        self._chunked = False
        self.started = False
        self.ended = False

    @property
    def is_gone(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._conn.is_closed

    async def send(
        self,
        status: int,
        headers: Headers = (),
        body: bytes = b'',
    ) -> None:
        """Write a whole answer."""
        self.start(status, headers, len(body))
        await self.write(body)
        self.end()

    def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Write the head; without a length the body goes in chunks."""
        framing: list[tuple[bytes, bytes]] = []
        if length is None:
            self._chunked = True
            framing.append((b'Transfer-Encoding', b'chunked'))
        else:
            framing.append((b'Content-Length', str(length).encode()))
        if self._conn.closes_after_answer():
            framing.append((b'Connection', b'close'))
        self.started = True
        head = encode_head(status_line(status), (*headers, *framing))
        self._conn.write(head)

    async def write(self, chunk: bytes) -> None:
        """Write a part of the body, waiting while the caller is slow."""
        if not chunk or self._head_only:
            return
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._conn.write(chunk)
        await self._conn.drain()

    def end(self) -> None:
        """Finish the answer."""
        if self._chunked and not self._head_only:
            self._conn.write(b'0\r\n\r\n')
        self.ended = True

    def abort(self) -> None:
        """Close the connection, so that the answer is visibly not whole."""
        self.ended = True
        self._conn.abort()


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One caller's connection; requests are handled one after another."""

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[tuple[HttpRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._fault = 0
        self._closing = False
        self.is_closed = False
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        watch_silence(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._server.connections.add(self)
        self._wait_for_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request under way, since nobody waits for it."""
        self.is_closed = True
        self._writable.set()
        self._server.connections.discard(self)
        self._stop_timer()
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._closing:
            return
        if self._message_bytes == 0 and not self._queue and not self._task:
            self._start_timer(self._server.limits.header_timeout_s)
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(self._fault or BAD_REQUEST)
            return
        if not self._headers_done and self._is_head_too_long():
            self._refuse(HEADERS_TOO_LARGE)
            return
        self._next()

    def pause_writing(self) -> None:
        """Hold writers back while the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the framing before the body is read."""
        self._headers_done = True
        self._fault = self._find_fault()
        if self._fault:
            raise ValueError('refused by its head')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > self._server.limits.max_body_bytes:
            self._fault = TOO_LARGE
            raise ValueError('body too large')

    def on_message_complete(self) -> None:
        """Queue the request."""
        req = HttpRequest(
            self._parser.get_method().decode('ascii'),
            self._url.decode('latin-1'),
            tuple(self._headers),
            bytes(self._body),
        )
        self._queue.append((req, self._parser.should_keep_alive()))
        self._message_bytes = 0
        self._stop_timer()

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is gone."""
        if self._transport and not self.is_closed:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def abort(self) -> None:
        """Close at once."""
        self._closing = True
        if self._transport:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close now if no request is under way, else after its answer."""
        if self._task is None and not self._queue and not self._message_bytes:
            self._close()

    def closes_after_answer(self) -> bool:
        """Return whether the answer under way is the connection's last."""
        if self._server.is_draining and not self._queue:
            self._keep_alive = False
        return not self._keep_alive

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._headers_done = False
        self._body = bytearray()
        self._message_bytes = 0
        self._keep_alive = True

    def _find_fault(self) -> int:
        names = [name.lower() for name, _value in self._headers]
        lengths = names.count(b'content-length')
        codings = names.count(b'transfer-encoding')
        if lengths + codings > 1 or names.count(b'host') != 1:
            return BAD_REQUEST
        if not self._url.startswith(b'/'):
            return BAD_REQUEST
        limits = self._server.limits
        if self._header_bytes > limits.max_header_bytes:
            return HEADERS_TOO_LARGE
        for name, value in self._headers:
            lower = name.lower()
            if lower == b'content-length':
                if not value.isdigit():
                    return BAD_REQUEST
                if int(value) > limits.max_body_bytes:
                    return TOO_LARGE
            if lower == b'transfer-encoding' and value.lower() != b'chunked':
                return BAD_REQUEST
        return 0

    def _is_head_too_long(self) -> bool:
        limit = self._server.limits.max_header_bytes
        return self._message_bytes > limit + len(self._url) + 1024

    def _next(self) -> None:
        if self._task is None and self._queue and not self._closing:
            req, keep_alive = self._queue.popleft()
            self._keep_alive = keep_alive
            self._stop_timer()
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._handle(req))
        if self._transport and len(self._queue) > MAX_PIPELINED:
            self._refuse(BAD_REQUEST)

    async def _handle(self, req: HttpRequest) -> None:
        responder = Responder(self, head_only=req.method == 'HEAD')
        try:
            await self._server.handler(req, responder)
        except asyncio.CancelledError:
            if not self.is_closed:
                self.abort()
            return
        except Exception:
            self._server.on_broken()
            self.abort()
            raise
        self._task = None
        if not responder.ended:
            self.abort()
        elif self._keep_alive and not self.closes_after_answer():
            self._wait_for_request()
            self._next()
        else:
            self._close()

    def _refuse(self, status: int) -> None:
        """Answer what cannot be read, and read no further."""
        self._closing = True
        if self._task is None:
            head = ((b'Content-Length', b'0'), (b'Connection', b'close'))
            self.write(encode_head(status_line(status), head))
            self._close()
        else:
            self.abort()

    def _close(self) -> None:
        self._closing = True
        if self._transport:
            self._transport.close()

    def _wait_for_request(self) -> None:
        self._start_timer(self._server.limits.idle_timeout_s)

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if self._task is not None or self._queue:
            return
        if self._message_bytes:
            self._refuse(TIMED_OUT)
        else:
            self._close()


class HttpServer:
    """Listens at an address and hands requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        on_broken: Callable[[], None],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_broken = on_broken
        self.is_draining = False
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Close connections after the answers that are under way."""
        self.is_draining = True
        for conn in list(self.connections):
            conn.close_when_idle()
