"""Tests of callers that send or read a byte at a time."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

import pytest
from lovagemast_node.fleet._connectionlimits import ConnectionLimits
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    RefusalStatus,
    Responder,
    ServerLimits,
    VmLimits,
)
from prometheus_client import CollectorRegistry

HOST: Final = '127.0.0.1'
LIMITS: Final = ServerLimits(header_timeout_s=0.3, idle_timeout_s=0.5)
STEP_S: Final = 0.01
POST: Final = b'POST /a HTTP/1.1\r\nHost: h\r\n'
MIB: Final = 1_048_576
SLOW: Final = {
    'head': (b'', POST + b'X-A: ' + b'a' * 5_000),
    'body': (POST + b'Content-Length: 5000\r\n\r\n', b'x' * 5_000),
    'chunks': (
        POST + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 1_000,
    ),
    'trailers': (
        POST + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-T: t\r\n' * 1_000,
    ),
}


def held_by(server: HttpServer) -> int:
    """Return the bytes that are held for messages of a server."""
    return server.bodies.used_bytes + server.bodies.small_bytes


def serve(
    use: Callable[[HttpServer, int], Awaitable[bytes]], size: int = 0
) -> tuple[bytes, int]:
    """Return what ``use`` read, and the number of requests that ran."""
    ran: list[HttpRequest] = []

    async def handle(req: HttpRequest, responder: Responder) -> None:
        ran.append(req)
        await responder.send(200, (), b'x' * size)

    async def run() -> bytes:
        server = HttpServer(handle, LIMITS, lambda: None)
        await server.listen(HOST, 0)
        assert server._listener
        port = server._listener.sockets[0].getsockname()[1]
        async with asyncio.timeout(10):
            answer = await use(server, port)
            # A request that is cancelled ends some steps of the loop after its
            # connection, and returns its memory then.
            while server.connections or held_by(server):
                await asyncio.sleep(STEP_S)
        return answer

    return asyncio.run(run()), len(ran)


async def send_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send a byte at a time."""
    for number in data:
        writer.write(bytes((number,)))
        await asyncio.sleep(STEP_S)


@pytest.mark.parametrize('kind', SLOW)
def test_slow_requests_time_out(kind: str) -> None:
    """They would hold their memory and descriptors for as long as they like."""

    async def use(_server: HttpServer, port: int) -> bytes:
        first, slow = SLOW[kind]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(first)
        sender = asyncio.create_task(send_slowly(writer, slow))
        answer = await reader.read()
        sender.cancel()
        writer.close()
        return answer

    answer, ran = serve(use)
    assert answer.startswith(b'HTTP/1.1 408')
    assert ran == 0


def test_slow_reader_is_cut_off() -> None:
    """A response read a byte at a time would never end."""

    async def use(server: HttpServer, port: int) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, port, limit=16)
        writer.write(POST + b'Content-Length: 0\r\n\r\n')
        await reader.readexactly(1)
        while server.connections:
            await reader.read(1)
            await asyncio.sleep(STEP_S)
        writer.close()
        return b''

    _answer, ran = serve(use, 64 * MIB)
    assert ran == 1


def test_idle_connection_is_closed() -> None:
    """A connection without a request would keep its descriptor."""

    async def use(_server: HttpServer, port: int) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, port)
        answer = await reader.read()
        writer.close()
        return answer

    assert serve(use) == (b'', 0)


def test_refusals_are_counted_and_logged_once(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """A line for each refusal would displace the lines of requests."""
    registry = CollectorRegistry()
    limits = ConnectionLimits(VmLimits(160, 1_638), JsonLog('vm'), registry)
    for _refusal in range(1_000):
        limits.on_unread(RefusalStatus.NO_MEMORY)
    limits.record('CONNECTIONS', 7)
    lines: list[dict[str, Any]] = [
        json.loads(line) for line in capfd.readouterr().out.splitlines()
    ]
    assert [line['reason'] for line in lines] == ['NO_MEMORY', 'CONNECTIONS']
    assert lines[0]['status'] == 503
    name = 'lovagemast_connection_limits_total'
    assert registry.get_sample_value(name, {'limit': 'NO_MEMORY'}) == 1_000
    assert registry.get_sample_value(name, {'limit': 'CONNECTIONS'}) == 7
