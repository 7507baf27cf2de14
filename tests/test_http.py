"""Tests of the HTTP server and client with raw bytes."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from lovagemast_node.http import (
    BodyBudget,
    ConnectFailed,
    HttpRequest,
    HttpServer,
    Responder,
    ResponseData,
    ResponseEnd,
    ResponseFailed,
    ResponseHead,
    ServerLimits,
    TargetConnection,
    TargetPool,
)
from lovagemast_node.http._reader import (
    ReaderLimits,
    RefusalStatus,
    RequestReader,
)
from lovagemast_node.http._targetpool import MAX_IDLE_PER_ADDRESS

HOST = '127.0.0.1'
NO_LINGER = struct.pack('ii', 1, 0)  # closing resets the connection
DEFAULT_LIMITS = ServerLimits()
READER_LIMITS = ReaderLimits(header_bytes=400, body_bytes=100)
POST = b'POST /a HTTP/1.1\r\nHost: h\r\n'
GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


def read(data: bytes, step: int) -> list[HttpRequest] | RefusalStatus:
    """Read requests from data that arrives in steps of some bytes."""
    reader = RequestReader(READER_LIMITS, BodyBudget())
    found: list[HttpRequest] = []
    for start in range(0, len(data), step):
        done = reader.feed(data[start : start + step])
        if isinstance(done, RefusalStatus):
            return done
        found.extend(one.req for one in done)
    return found


class TestReader:
    @pytest.mark.parametrize('step', [1, 7, 10_000])
    @pytest.mark.parametrize(
        ('data', 'bodies'),
        [
            (GET, [b'']),
            (GET * 3, [b'', b'', b'']),
            (
                b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz',
                [b'xyz'],
            ),
            (
                b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked'
                b'\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n',
                [b'xyz'],
            ),
        ],
    )
    def test_complete_requests(
        self,
        data: bytes,
        bodies: list[bytes],
        step: int,
    ) -> None:
        """Requests are read completely, however their bytes are split."""
        done = read(data, step)
        assert not isinstance(done, RefusalStatus)
        assert [req.body for req in done] == bodies

    @pytest.mark.parametrize('step', [1, 10_000])
    @pytest.mark.parametrize(
        ('head', 'status'),
        [
            (b'Content-Length: 3\r\nTransfer-Encoding: chunked', 400),
            (b'Content-Length: 3\r\nContent-Length: 3', 400),
            (b'Content-Length: 3\r\nContent-Length: 4', 400),
            (b'Content-Length: +3', 400),
            (b'Content-Length: 0x3', 400),
            (b'Content-Length: 3, 3', 400),
            (b'Transfer-Encoding: chunked, identity', 400),
            (b'Transfer-Encoding: xchunked', 400),
            (b'Transfer-Encoding : chunked', 400),
            (b'Host: other', 400),
            (b'Content-Length: 101', 413),
            (b'X-Long: ' + b'x' * 500, 431),
        ],
    )
    def test_refused_heads(self, head: bytes, status: int, step: int) -> None:
        """Heads that two parsers could frame differently are refused."""
        data = b'POST /a HTTP/1.1\r\nHost: h\r\n' + head + b'\r\n\r\nxyz'
        assert read(data, step) == RefusalStatus(status)

    @pytest.mark.parametrize(
        'data',
        [
            b'GET /a HTTP/1.1\r\n\r\n',
            b'GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n',
            b'GET /a HTTP/1.1\nHost: h\n\n',
            b'GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n',
            b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
        ],
    )
    def test_not_requests(self, data: bytes) -> None:
        """Other protocols, missing hosts and malformed lines are refused."""
        assert read(data, 10_000) == RefusalStatus.BAD_REQUEST

    def test_chunked_body_is_bounded(self) -> None:
        """A chunked body above the size limit is refused."""
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
        chunk = b'40\r\n' + b'x' * 64 + b'\r\n'
        assert read(head + b'\r\n' + chunk * 2, 10_000) == RefusalStatus(413)


TargetScript = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
RESPONSE = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok'
FOREIGN_RESPONSE = RESPONSE.replace(b'X-Id: 1', b'X-Id: 0').replace(
    b'ok', b'no'
)


async def call_target(
    *parts: bytes,
    reset: bool = False,
    close: bool = False,
) -> tuple[list[object], TargetConnection]:
    """Return the events of a response that a target writes in parts."""

    async def run_target(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
        elif close:
            writer.close()
        else:
            await asyncio.sleep(0.2)
            writer.close()

    server = await asyncio.start_server(run_target, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    conn = await TargetPool().acquire(
        f'{HOST}:{port}',
        fresh=False,
        timeout_s=1.0,
        now=0.0,
    )
    assert isinstance(conn, TargetConnection)
    conn.send(GET, b'1', b'x-id')
    events: list[object] = []
    async with asyncio.timeout(2):
        while not events or not isinstance(
            events[-1], (ResponseEnd, ResponseFailed)
        ):
            events.append(await conn.next_event())
    await asyncio.sleep(0.05)
    server.close()
    return events, conn


def _is_over(events: list[object]) -> bool:
    return bool(events) and isinstance(
        events[-1], (ResponseEnd, ResponseFailed)
    )


def body_of(events: list[object]) -> bytes:
    """Return the body in the events of a response."""
    return b''.join(
        one.chunk for one in events if isinstance(one, ResponseData)
    )


class TestTargetConnection:
    @pytest.mark.parametrize(
        ('parts', 'reusable'),
        [
            ((RESPONSE,), True),
            ((RESPONSE[:30], RESPONSE[30:]), True),
            ((RESPONSE + RESPONSE,), False),
            ((RESPONSE, FOREIGN_RESPONSE), False),
            ((RESPONSE + b'garbage',), False),
            ((FOREIGN_RESPONSE + RESPONSE,), False),
            ((FOREIGN_RESPONSE, RESPONSE), False),
            ((b'HTTP/1.1 100 Continue\r\n\r\n' + RESPONSE,), True),
            ((RESPONSE.replace(b'X-Id', b'Connection: close\r\nX-Id'),), False),
        ],
    )
    def test_own_response_is_found(
        self,
        parts: tuple[bytes, ...],
        reusable: bool,
    ) -> None:
        """Responses to other requests are skipped and rule out reuse.

        Surplus bytes after the response rule out reuse as well.
        """
        events, conn = asyncio.run(call_target(*parts))
        assert isinstance(events[0], ResponseHead)
        assert events[-1] == ResponseEnd()
        assert body_of(events) == b'ok'
        assert conn.is_reusable is reusable

    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize(
        'part',
        [
            b'',
            RESPONSE[:20],
            RESPONSE[:-1],
            FOREIGN_RESPONSE,
            RESPONSE.replace(
                b'Content-Length: 2\r\n\r\nok',
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
            ),
        ],
    )
    def test_truncated_response_fails(self, part: bytes, reset: bool) -> None:
        """A truncated response fails and rules out reuse."""
        call = call_target(part, reset=reset, close=not reset)
        events, conn = asyncio.run(call)
        assert isinstance(events[-1], ResponseFailed)
        assert not conn.is_reusable

    @pytest.mark.parametrize(
        ('reset', 'complete'), [(False, True), (True, False)]
    )
    def test_response_without_a_length(
        self, reset: bool, complete: bool
    ) -> None:
        """It is complete if the connection closes, not if it is reset."""
        part = RESPONSE.replace(b'Content-Length: 2\r\n', b'')
        call = call_target(part, reset=reset, close=not reset)
        events, conn = asyncio.run(call)
        assert (events[-1] == ResponseEnd()) is complete
        assert not conn.is_reusable

    @pytest.mark.parametrize('part', [b'no answer\r\n\r\n', b'\x00' * 40])
    def test_invalid_response_fails(self, part: bytes) -> None:
        """Bytes that are not an HTTP response make the call fail."""
        events, _conn = asyncio.run(call_target(part))
        assert isinstance(events[-1], ResponseFailed)

    def test_refused_connection(self) -> None:
        """A refused connection is reported as such, not as a failed call."""

        async def connect() -> object:
            return await TargetPool().acquire(
                f'{HOST}:1',
                fresh=False,
                timeout_s=1.0,
                now=0.0,
            )

        assert isinstance(asyncio.run(connect()), ConnectFailed)


async def with_server(
    handler: Callable[[HttpRequest, Responder], Awaitable[None]],
    use: Callable[[HttpServer, int], Awaitable[bytes]],
    limits: ServerLimits = DEFAULT_LIMITS,
) -> bytes:
    """Return what ``use`` reads from a server with a handler."""
    server = HttpServer(handler, limits, lambda: None)
    await server.listen(HOST, 0)
    assert server._listener
    port = server._listener.sockets[0].getsockname()[1]
    return await use(server, port)


async def echo(req: HttpRequest, responder: Responder) -> None:
    """Respond with the request's path."""
    await responder.send(200, (), req.path.encode())


class TestPool:
    @pytest.mark.parametrize('fresh', [True, False])
    def test_fresh_connections_do_not_pile_up(self, *, fresh: bool) -> None:
        """Requests that may run once leave connections that none takes."""

        async def use(_server: HttpServer, port: int) -> bytes:
            pool = TargetPool()
            address = f'{HOST}:{port}'
            for number in range(60):
                conn = await pool.acquire(
                    address, fresh=fresh, timeout_s=1.0, now=float(number)
                )
                assert isinstance(conn, TargetConnection)
                conn.idle_timeout_s = 60.0
                pool.release(conn, float(number))
            kept = pool.idle_connections
            assert kept <= MAX_IDLE_PER_ADDRESS
            await self._leave_one_to(pool, port)
            assert pool.idle_connections == 1
            return b''

        asyncio.run(with_server(echo, use))

    async def _leave_one_to(self, pool: TargetPool, port: int) -> None:
        """Leave a connection much later, when the others have expired."""
        conn = await pool.acquire(
            f'{HOST}:{port}', fresh=True, timeout_s=1.0, now=999.0
        )
        assert isinstance(conn, TargetConnection)
        pool.release(conn, 999.0)


class TestServer:
    def test_responses_in_order(self) -> None:
        """Pipelined requests get their responses in order."""

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET + GET.replace(b'/a', b'/b'))
            first = await reader.readuntil(b'/a')
            return first + await reader.readuntil(b'/b')

        responses = asyncio.run(with_server(echo, use))
        assert responses.index(b'/a') < responses.index(b'/b')

    def test_slow_head_times_out(self) -> None:
        """An incomplete head gets status 408 after the time-out."""

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET[:10])
            return await reader.read()

        limits = ServerLimits(header_timeout_s=0.1)
        response = asyncio.run(with_server(echo, use, limits))
        assert response.startswith(b'HTTP/1.1 408')

    def test_stops_listening(self) -> None:
        """New connections are refused; the response in progress completes."""

        async def slow(req: HttpRequest, responder: Responder) -> None:
            await asyncio.sleep(0.1)
            await echo(req, responder)

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET)
            await asyncio.sleep(0.03)
            server.drain()
            server.stop_listening()
            with pytest.raises(OSError, match='Connect call failed'):
                await asyncio.open_connection(HOST, port)
            return await reader.read()

        response = asyncio.run(with_server(slow, use))
        assert response.startswith(b'HTTP/1.1 200')
        assert response.endswith(b'/a')

    def test_draining_closes_after_the_response(self) -> None:
        """The response in progress completes and announces the close."""

        async def slow(req: HttpRequest, responder: Responder) -> None:
            await asyncio.sleep(0.1)
            await echo(req, responder)

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET)
            await asyncio.sleep(0.03)
            server.drain()
            return await reader.read()

        response = asyncio.run(with_server(slow, use))
        assert b'Connection: close' in response
        assert response.endswith(b'/a')

    def test_new_connection_is_read_while_draining(self) -> None:
        """A caller that was let in has time to send its request."""

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            await asyncio.sleep(0.03)
            server.drain()
            await asyncio.sleep(0.03)
            writer.write(GET)
            return await reader.read()

        response = asyncio.run(with_server(echo, use))
        assert response.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in response

    def test_caller_disconnect_cancels_handler(self) -> None:
        """The handler is cancelled when its caller disconnects."""
        ended = []

        async def wait(req: HttpRequest, responder: Responder) -> None:
            try:
                await asyncio.sleep(5)
            finally:
                ended.append(req.path)

        async def use(server: HttpServer, port: int) -> bytes:
            _reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            return b''

        asyncio.run(with_server(wait, use))
        assert ended == ['/a']

    def test_aborted_response_is_truncated(self) -> None:
        """An aborted chunked response has no terminating chunk."""

        async def abort_response(
            req: HttpRequest, responder: Responder
        ) -> None:
            responder.start(200, (), None)
            await responder.write(b'part')
            responder.abort()

        async def use(server: HttpServer, port: int) -> bytes:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(GET)
            try:
                return await reader.read()
            except ConnectionResetError:
                return b''

        response = asyncio.run(with_server(abort_response, use))
        assert not response.endswith(b'0\r\n\r\n')
