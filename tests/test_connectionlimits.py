"""Tests of the account of what all connections of a process hold."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import pytest
from lovagemast_node.http import (
    FREE_BYTES,
    BodyBudget,
    BodyShare,
    ClosingRank,
    ConnectionTable,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    VmLimits,
)
from lovagemast_node.http import _bodybudget as bodybudget
from lovagemast_node.http._resourcelimits import MIN_BODIES_BYTES
from lovagemast_platform._settings import SettingsFile

from tests.test_platform import SETTINGS

HOST: Final = '127.0.0.1'
MIB: Final = 1_048_576
BODY: Final = 4 * MIB
SMALLEST: Final = VmLimits(160, 1_638)
POST: Final = b'POST /a HTTP/1.1\r\nHost: h\r\n'
GET: Final = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


class Upload:
    """A message that arrives, and whether it was given up."""

    def __init__(self, budget: BodyBudget) -> None:
        self.is_evicted = False
        self.size = 0
        self.share = BodyShare(budget, self._evict)

    def receive(self, count: int) -> bool:
        """Receive some bytes; return whether there was room."""
        self.size += count
        self.share.mark_incomplete(self.size)
        return self.share.try_grow(self.size)

    def _evict(self) -> None:
        self.is_evicted = True
        self.share.release()


class TestBudget:
    def test_what_holds_most_and_moves_least_goes_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Uploads that stopped short would refuse those that go on."""
        now = 100.0
        monkeypatch.setattr(bodybudget, 'now_s', lambda: now)
        budget = BodyBudget(8 * MIB)
        stalled = [Upload(budget) for _upload in range(2)]
        assert all(one.receive(3 * MIB) for one in stalled)
        now = 101.0
        moving = Upload(budget)
        assert moving.receive(MIB)
        assert moving.receive(MIB)
        now = 102.0
        assert moving.receive(MIB)
        assert sum(one.is_evicted for one in stalled) == 1
        assert not moving.is_evicted

    def test_the_worst_one_is_refused_itself(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It would otherwise take the room of messages that move."""
        now = 100.0
        monkeypatch.setattr(bodybudget, 'now_s', lambda: now)
        budget = BodyBudget(2 * MIB)
        own = Upload(budget)
        assert own.receive(MIB)
        now = 105.0
        other = Upload(budget)
        assert other.receive(MIB)
        assert not own.receive(MIB)
        assert not other.is_evicted

    def test_complete_messages_are_not_given_up(self) -> None:
        """They may run already."""
        budget = BodyBudget(2 * MIB)
        complete, own = Upload(budget), Upload(budget)
        assert complete.receive(2 * MIB)
        complete.share.mark_complete()
        assert not own.receive(MIB)
        assert not complete.is_evicted
        complete.share.release()
        assert own.receive(MIB)

    def test_small_messages_have_a_limit_of_their_own(self) -> None:
        """Many heads and small bodies would exhaust the memory too."""
        budget = BodyBudget(MIB, 4 * FREE_BYTES)
        held = [Upload(budget) for _upload in range(4)]
        assert all(one.receive(FREE_BYTES) for one in held)
        assert budget.used_bytes == 0
        for one in held[1:]:
            one.share.mark_complete()
        assert Upload(budget).receive(100)
        assert held[0].is_evicted
        for one in held:
            one.share.release()


class Conn:
    """A connection with a rank."""

    def __init__(self, rank: ClosingRank) -> None:
        self.rank = rank
        self.is_closed = False

    def closing_rank(self) -> ClosingRank:
        """Return the rank."""
        return self.rank

    def close_for_room(self) -> None:
        """Note the close."""
        self.is_closed = True


class TestTable:
    @pytest.mark.parametrize(
        ('ranks', 'closed'),
        [
            ((2, 0, 0), (False, True, False, False)),
            ((2, 1, 3), (False, True, False, False)),
            ((2, 2, 3), (True, False, False, False)),
            ((3, 3, 3), (False, False, False, True)),
        ],
    )
    def test_order(
        self, ranks: tuple[int, ...], closed: tuple[bool, ...]
    ) -> None:
        """A request in progress is never ended for a new connection."""
        table = ConnectionTable(len(ranks))
        conns = [Conn(ClosingRank(rank)) for rank in ranks]
        conns.append(Conn(ClosingRank.UNUSED))
        for conn in conns:
            table.add(conn)
        assert tuple(conn.is_closed for conn in conns) == closed
        assert len(table) == len(ranks)

    def test_no_limit(self) -> None:
        """Without settings, connections are not closed."""
        table = VmLimits().make_connection_table()
        conns = [Conn(ClosingRank.UNUSED) for _conn in range(5_000)]
        for conn in conns:
            table.add(conn)
        assert not any(conn.is_closed for conn in conns)


class TestLimits:
    @pytest.mark.parametrize(
        ('memory_mb', 'expected'),
        [
            (None, 64 * MIB),
            (440, 64 * MIB),
            (300, 64 * MIB),
            (160, 64 * MIB * 100 // 240),
            (70, MIN_BODIES_BYTES),
        ],
    )
    def test_bodies_follow_the_memory(
        self, memory_mb: float | None, expected: int
    ) -> None:
        """One request and one response of the largest sizes always fit."""
        budget = VmLimits(memory_mb).make_budget()
        assert budget._limit_bytes == expected
        assert expected >= BODY + 8 * MIB

    @pytest.mark.parametrize(
        ('limits', 'expected'),
        [
            (None, VmLimits()),
            ({'memoryMb': 160, 'maxFds': 1638}, SMALLEST),
            ({'memoryMb': 'much', 'maxFds': -1}, VmLimits()),
            ({'memoryMb': True}, VmLimits()),
        ],
    )
    def test_settings(
        self, limits: dict[str, Any] | None, expected: VmLimits
    ) -> None:
        """Absent and odd limits leave the defaults."""
        settings = {
            **SETTINGS,
            **({} if limits is None else {'limits': limits}),
        }
        assert SettingsFile(settings).to_entry().limits == expected
        assert SettingsFile(settings).to_control().limits == expected


Use = Callable[[HttpServer, int], Awaitable[None]]


def serve(
    use: Use,
    handler: Callable[[HttpRequest, Responder], Awaitable[None]],
    budget: BodyBudget | None = None,
    table: ConnectionTable | None = None,
    limits: ServerLimits | None = None,
) -> HttpServer:
    """Use a server; return it when all connections have ended."""

    async def run() -> HttpServer:
        server = HttpServer(
            handler, limits or ServerLimits(), lambda: None, budget, table
        )
        await server.listen(HOST, 0)
        assert server._listener
        port = server._listener.sockets[0].getsockname()[1]
        async with asyncio.timeout(10):
            await use(server, port)
            while server.connections:
                await asyncio.sleep(0.01)
        server.stop_listening()
        return server

    return asyncio.run(run())


async def echo_size(req: HttpRequest, responder: Responder) -> None:
    """Respond with the size of the body."""
    await responder.send(200, (), str(len(req.body)).encode())


async def send_large(req: HttpRequest, responder: Responder) -> None:
    """Respond with 16 MiB at one path, with a byte at others."""
    size = 16 * MIB if req.path == '/big' else 1
    await responder.send(200, (), b'x' * size)


async def answer_to(port: int, data: bytes, step: int = 65_536) -> bytes:
    """Send a request in steps; return the response up to the close."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for start in range(0, len(data), step):
        writer.write(data[start : start + step])
        await writer.drain()
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head


class TestServer:
    def test_refusal_after_a_complete_request(self) -> None:
        """Its share of the budget would never be returned."""

        async def use(_server: HttpServer, port: int) -> None:
            size = 100_000
            request = POST + b'Content-Length: %d\r\n\r\n' % size + b'x' * size
            answer = await answer_to(port, request + b'\x00' * 100, 200_000)
            assert answer.startswith((b'HTTP/1.1 400', b'HTTP/1.1 200'))

        for _time in range(20):
            server = serve(use, echo_size)
            assert server.bodies.used_bytes == 0
            assert server.bodies.small_bytes == 0

    @pytest.mark.parametrize(
        ('data', 'step'),
        [
            (POST + b'Content-Length: %d\r\n\r\n' % BODY + b'x' * BODY, 65_536),
            (
                POST
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + b'1\r\nx\r\n' * 100_000
                + b'0\r\nX-Sum: 1\r\n\r\n',
                65_536,
            ),
            (POST + b'X-A: ' + b'a' * 16_000 + b'\r\n\r\n', 1_000),
            (GET, 1),
        ],
    )
    def test_requests_within_the_limits(self, data: bytes, step: int) -> None:
        """Each is served in calm, also with the limits of the smallest VM."""

        async def use(_server: HttpServer, port: int) -> None:
            answer = await answer_to(port, data, step)
            assert answer.startswith(b'HTTP/1.1 200')

        table = SMALLEST.make_connection_table()
        server = serve(use, echo_size, SMALLEST.make_budget(), table)
        assert server.bodies.used_bytes == 0
        assert server.bodies.small_bytes == 0

    def test_many_connections_of_one_address(self) -> None:
        """A load balancer has many, with pipelined requests on each."""

        async def use(server: HttpServer, port: int) -> None:
            conns = [
                await asyncio.open_connection(HOST, port)
                for _conn in range(400)
            ]
            for _reader, writer in conns:
                writer.write(GET * 16)
            for reader, writer in conns:
                for _response in range(16):
                    head = await reader.readuntil(b'\r\n\r\n')
                    assert head.startswith(b'HTTP/1.1 200')
                    await reader.readexactly(1)
                writer.close()
            assert len(server.table) <= 400

        table = SMALLEST.make_connection_table()
        serve(use, echo_size, SMALLEST.make_budget(), table)

    def test_evicted_request_never_runs(self) -> None:
        """The refusal says when to retry, and keeps what 503 promises."""
        ran: list[int] = []

        async def handle(req: HttpRequest, responder: Responder) -> None:
            ran.append(len(req.body))
            await echo_size(req, responder)

        async def use(_server: HttpServer, port: int) -> None:
            stalled = await asyncio.open_connection(HOST, port)
            head = POST + b'Content-Length: %d\r\n\r\n' % (3 * MIB)
            stalled[1].write(head + b'x' * (3 * MIB - 1))
            await stalled[1].drain()
            await asyncio.sleep(1.2)
            other = POST + b'Content-Length: %d\r\n\r\n' % (2 * MIB)
            answer = await answer_to(port, other + b'x' * (2 * MIB))
            assert answer.startswith(b'HTTP/1.1 200')
            refusal = await stalled[0].read()
            assert refusal.startswith(b'HTTP/1.1 503')
            assert b'Retry-After: 1' in refusal
            stalled[1].write(b'x')
            stalled[1].close()

        server = serve(use, handle, BodyBudget(4 * MIB))
        assert ran == [2 * MIB]
        assert server.bodies.used_bytes == 0

    def test_response_that_nobody_reads_ends(self) -> None:
        """It would hold its memory and descriptor for ever."""

        async def flood(_req: HttpRequest, responder: Responder) -> None:
            await responder.send(200, (), b'x' * (64 * MIB))

        async def use(server: HttpServer, port: int) -> None:
            reader, writer = await asyncio.open_connection(
                HOST, port, limit=1_024
            )
            writer.write(GET)
            await reader.readuntil(b'\r\n\r\n')
            started_at = time.monotonic()
            while server.connections:
                await asyncio.sleep(0.02)
            assert time.monotonic() - started_at > 0.2
            writer.close()

        server = serve(use, flood, limits=ServerLimits(idle_timeout_s=0.3))
        assert server.bodies.small_bytes == 0

    def test_unread_pages_of_operators(self) -> None:
        """Operators' pages are kept whole until they are written."""

        async def use(server: HttpServer, port: int) -> None:
            server.counts_responses = True
            conns = []
            for _conn in range(3):
                conns.append(
                    await asyncio.open_connection(HOST, port, limit=1_024)
                )
                conns[-1][1].write(GET.replace(b'/a', b'/big'))
                await conns[-1][0].readuntil(b'\r\n\r\n')
                await asyncio.sleep(0.1)
            assert server.bodies.used_bytes <= 20 * MIB
            assert len(server.connections) == 1
            for _reader, writer in conns:
                writer.transport.abort()

        serve(use, send_large, BodyBudget(20 * MIB))

    def test_many_unread_responses_end_for_others(self) -> None:
        """The memory of responses that nobody reads is limited together."""

        async def use(server: HttpServer, port: int) -> None:
            conns = []
            for _conn in range(8):
                conns.append(
                    await asyncio.open_connection(HOST, port, limit=1_024)
                )
                conns[-1][1].write(GET.replace(b'/a', b'/big'))
                await conns[-1][0].readuntil(b'\r\n\r\n')
            await asyncio.sleep(0.2)
            assert server.bodies.small_bytes <= 4 * FREE_BYTES
            assert (await answer_to(port, GET)).startswith(b'HTTP/1.1 200')
            for _reader, writer in conns:
                writer.transport.abort()

        serve(use, send_large, BodyBudget(MIB, 4 * FREE_BYTES))
