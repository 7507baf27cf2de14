"""Tests that no connection holds up the others, whatever it sends.

They count what is done for one connection in a turn of the event loop; how
long that takes depends on the machine.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace
from typing import Any, Final

import pytest
from aiohttp import ClientSession, client_proto, web, web_protocol
from grpclib.protocol import H2Protocol
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    EventStreamBuffer,
    ForwardEvent,
    ForwardHead,
)
from lovagemast_node._boundedloop import BoundedReadsLoop
from lovagemast_node.fleet._connectionlimits import ConnectionLimits
from lovagemast_node.fleet._forwardservice import (
    MAX_QUEUED_EVENTS,
    EventResponder,
)
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peerattempt import PeerAttempt
from lovagemast_node.fleet._peers import serve_peers
from lovagemast_node.http import (
    BodyBudget,
    HttpRequest,
    HttpServer,
    Responder,
    ResponseData,
    ResponseFailed,
    ResponseHead,
    ServerLimits,
    TargetConnection,
    VmLimits,
)
from lovagemast_node.http._eventqueue import EventQueue
from lovagemast_node.http._reader import RequestReader
from lovagemast_wire import to_wire
from prometheus_client import CollectorRegistry

from tests.conftest import free_port
from tests.h2floods import H2_FLOODS
from tests.test_calls import HOST, ScriptedTarget, response_of
from tests.test_endless import Endless

# Chunks of one byte in so many bytes are parsed within some ms.
MAX_TURN_BYTES: Final = 16_384
# A frame of some bytes takes some tens of µs.
MAX_TURN_FRAMES_BYTES: Final = 2_048
# Of 16 KiB at most each.
MAX_TURN_PARTS: Final = 16
STREAM_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
BODY_BYTES: Final = 200_000


def chunked(piece: bytes) -> bytes:
    """Return a piece as a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


PIECES: Final = {
    'one byte': b'x',
    'event of 60 bytes': b'x' * 60,
    'comment': b':\n\n',
    'whole event': b'data: x\n\n',
    'line end': b'\r',
    'large': b'x' * 65_536,
}


class TurnCounter:
    """Sums what is done in each turn of the event loop."""

    def __init__(self) -> None:
        self.turn = 0
        self.done: Counter[int] = Counter()

    def add(self, count: int) -> None:
        """Count work that is done in the current turn."""
        self.done[self.turn] += count

    @property
    def most(self) -> int:
        """Return the most that was done in one turn."""
        return max(self.done.values(), default=0)

    @contextlib.asynccontextmanager
    async def counting(self) -> AsyncIterator[None]:
        """Count the turns meanwhile."""
        task = asyncio.create_task(self._count_turns())
        try:
            yield
        finally:
            task.cancel()

    def watch(
        self,
        monkeypatch: pytest.MonkeyPatch,
        owner: type,
        method: str,
        weigh: Callable[[Any], int],
    ) -> None:
        """Count the first argument of a method, as ``weigh`` says."""
        original = getattr(owner, method)

        def counted(instance: Any, data: Any, *args: Any) -> Any:
            self.add(weigh(data))
            return original(instance, data, *args)

        monkeypatch.setattr(owner, method, counted)

    async def _count_turns(self) -> None:
        while True:
            self.turn += 1
            await asyncio.sleep(0)


async def receive(conn: TargetConnection, size: int) -> None:
    """Take a part of a body, or less if its framing is over a bound."""
    received = 0
    while received < size:
        event = await conn.next_event(5.0)
        if isinstance(event, ResponseFailed):
            return
        if isinstance(event, ResponseData):
            received += len(event.chunk)


def play(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, for some seconds at most."""

    async def run() -> None:
        async with asyncio.timeout(20.0):
            await test()

    asyncio.run(run())


class TestTargetConnection:
    """A target's answer takes a bounded share of each turn.

    Guards against a target that sends without end and holds up the requests
    of all others (review/6): all that one read brought was parsed and relayed
    before anything else had a turn.
    """

    @pytest.mark.parametrize('name', PIECES)
    def test_bytes_of_a_turn(
        self, monkeypatch: pytest.MonkeyPatch, name: str
    ) -> None:
        """No turn parses more than a bounded number of bytes."""
        turns = TurnCounter()
        turns.watch(monkeypatch, TargetConnection, 'data_received', len)

        async def read_all() -> None:
            target = ScriptedTarget(Endless(STREAM_HEAD, chunked(PIECES[name])))
            conn = TargetConnection(f'{HOST}:{await target.serve()}')
            host, _, port = conn.address.partition(':')
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: conn, host, int(port))
            async with turns.counting():
                conn.send(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n', b'r', b'x-id')
                await receive(conn, BODY_BYTES)
            conn.close()

        play(read_all)
        assert 0 < turns.most <= MAX_TURN_BYTES

    @pytest.mark.parametrize('name', PIECES)
    def test_parts_of_a_turn(
        self, monkeypatch: pytest.MonkeyPatch, name: str
    ) -> None:
        """No turn relays more than a bounded number of a stream's parts."""
        turns = TurnCounter()
        turns.watch(monkeypatch, EventStreamBuffer, 'feed', lambda _data: 1)

        async def stream() -> None:
            piece = chunked(PIECES[name])
            count = BODY_BYTES // len(piece)

            async def send(
                _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                with contextlib.suppress(ConnectionError):
                    writer.write(STREAM_HEAD + piece * count + b'0\r\n\r\n')
                    await writer.drain()

            async with turns.counting():
                await response_of(CallKind.STREAM, [ScriptedTarget(send)])

        play(stream)
        assert 0 < turns.most <= MAX_TURN_PARTS

    def test_items_of_a_turn(self) -> None:
        """A reader whose queue is full gives others their turns."""
        turns = TurnCounter()

        async def take_all() -> None:
            queue: EventQueue[int] = EventQueue()
            for number in range(1_000):
                queue.put(number)
            async with turns.counting():
                for _item in range(1_000):
                    await queue.get(5.0)
                    turns.add(1)

        play(take_all)
        assert turns.most <= MAX_TURN_PARTS


class CountingRelay:
    """Stands in for the relay of a stream, and counts its parts."""

    def __init__(self, turns: TurnCounter) -> None:
        self.started = False
        self._turns = turns

    def begin_stream(self) -> None:
        """Begin."""

    async def relay_events(self, _head: ResponseHead, _chunk: bytes) -> bool:
        """Count a part."""
        self._turns.add(1)
        return False


class TestPeers:
    """A stream that comes over a peer takes a bounded share as well."""

    def test_messages_of_a_peer(self) -> None:
        """The VM that asked relays a few messages in a turn."""
        turns = TurnCounter()
        events = [ForwardEvent(ForwardHead(200, ()))]
        events += [ForwardEvent(chunk=b'x')] * 1_000

        async def messages() -> AsyncIterator[Any]:
            for event in events:
                yield to_wire(event)

        async def relay() -> None:
            state: Any = SimpleNamespace(
                pool=SimpleNamespace(bodies=BodyBudget())
            )
            admitted: Any = SimpleNamespace(
                route=SimpleNamespace(kind=CallKind.STREAM)
            )
            counting: Any = CountingRelay(turns)
            stream: Any = messages()
            nothing: Any = None
            attempt = PeerAttempt(state, admitted, nothing, counting, nothing)
            async with turns.counting():
                await attempt._relay_events(stream)

        play(relay)
        assert 0 < turns.most <= MAX_TURN_PARTS

    def test_messages_to_a_peer(self) -> None:
        """The VM that was asked sends a few messages in a turn."""
        turns = TurnCounter()

        async def send() -> None:
            responder = EventResponder()
            responder.start(200, (), None)
            for _part in range(MAX_QUEUED_EVENTS - 2):
                await responder.write(b'x')
            responder.close()
            async with turns.counting():
                async for _event in responder.events():
                    turns.add(1)

        play(send)
        assert 0 < turns.most <= MAX_TURN_PARTS


class TestCallerConnection:
    """A caller's request takes a bounded share of each turn."""

    @pytest.mark.parametrize('name', PIECES)
    def test_bytes_of_a_turn(
        self, monkeypatch: pytest.MonkeyPatch, name: str
    ) -> None:
        """No turn parses more of a chunked body than is bounded."""
        turns = TurnCounter()
        turns.watch(monkeypatch, RequestReader, 'feed', len)

        async def upload() -> None:
            async def answer(_req: HttpRequest, responder: Responder) -> None:
                await responder.send(200)

            server = HttpServer(answer, ServerLimits(), lambda: None)
            await server.listen(HOST, 0)
            assert server._listener
            port = server._listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(HOST, port)
            piece = chunked(PIECES[name])
            async with turns.counting():
                writer.write(
                    b'POST / HTTP/1.1\r\nHost: h\r\n'
                    b'Transfer-Encoding: chunked\r\n\r\n'
                )
                writer.write(piece * (BODY_BYTES // len(piece)))
                writer.write(b'0\r\n\r\n')
                status = await reader.readline()
            writer.close()
            assert status.split()[1] in {b'200', b'400'}

        play(upload)
        assert 0 < turns.most <= MAX_TURN_BYTES


class TestPeerConnection:
    """Frames of other VMs, or of whoever reaches the port between them."""

    @pytest.mark.parametrize('name', H2_FLOODS)
    def test_bytes_of_a_turn(
        self, monkeypatch: pytest.MonkeyPatch, name: str
    ) -> None:
        """No turn parses more than some hundred of the shortest frames."""
        turns = TurnCounter()
        turns.watch(monkeypatch, H2Protocol, 'data_received', len)
        flood = H2_FLOODS[name]

        async def send() -> None:
            server = await serve_peers(
                (),
                HOST,
                free_port(),
                ConnectionLimits(
                    VmLimits(), JsonLog('vm'), CollectorRegistry()
                ),
            )
            assert isinstance(server._server, asyncio.Server)
            port = server._server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(HOST, port)
            async with turns.counting():
                writer.write(flood.first + flood.repeated * 500)
                with contextlib.suppress(TimeoutError, ConnectionError):
                    await asyncio.wait_for(reader.read(), 0.5)
            writer.transport.abort()
            server.close()

        play(send)
        assert 0 < turns.most <= MAX_TURN_FRAMES_BYTES


class TestLibraryConnections:
    """Connections of libraries, in the event loop of ``lovagemastd``."""

    def test_bytes_of_a_turn(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A caller's chunks of one byte have a bounded share of each turn."""
        turns = TurnCounter()
        turns.watch(
            monkeypatch, web_protocol.RequestHandler, 'data_received', len
        )

        async def upload() -> None:
            async def answer(req: web.BaseRequest) -> web.Response:
                await req.read()
                return web.Response()

            runner = web.ServerRunner(web.Server(answer))
            await runner.setup()
            await web.TCPSite(runner, HOST, 0).start()
            host, port = runner.addresses[0]
            reader, writer = await asyncio.open_connection(host, port)
            async with turns.counting():
                writer.write(
                    b'POST / HTTP/1.1\r\nHost: h\r\n'
                    b'Transfer-Encoding: chunked\r\n\r\n'
                )
                writer.write(chunked(b'x') * (BODY_BYTES // 6))
                writer.write(b'0\r\n\r\n')
                status = await reader.readline()
            assert status.split()[1] == b'200'
            writer.close()
            await runner.cleanup()

        with asyncio.Runner(loop_factory=BoundedReadsLoop) as runner:
            runner.run(upload())
        assert 0 < turns.most <= MAX_TURN_BYTES

    def test_answers_of_targets(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """So has what a target sends without end."""
        turns = TurnCounter()
        turns.watch(
            monkeypatch, client_proto.ResponseHandler, 'data_received', len
        )

        async def download() -> None:
            target = ScriptedTarget(Endless(STREAM_HEAD, chunked(b'x')))
            url = f'http://{HOST}:{await target.serve()}/'
            async with (
                turns.counting(),
                ClientSession() as session,
                session.get(url) as response,
            ):
                await response.content.readexactly(BODY_BYTES // 6)

        with asyncio.Runner(loop_factory=BoundedReadsLoop) as runner:
            runner.run(download())
        assert 0 < turns.most <= MAX_TURN_BYTES
