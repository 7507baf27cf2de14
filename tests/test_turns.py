"""Tests that no connection holds up the others, whatever it sends."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    EventStreamBuffer,
    ForwardEvent,
    ForwardHead,
)
from lovagemast_node.fleet._forwardservice import (
    MAX_QUEUED_EVENTS,
    EventResponder,
)
from lovagemast_node.fleet._peerattempt import PeerAttempt
from lovagemast_node.http import (
    BodyBudget,
    HttpRequest,
    HttpServer,
    Responder,
    ResponseHead,
    ServerLimits,
    TargetConnection,
)
from lovagemast_node.http._eventqueue import EventQueue
from lovagemast_node.http._reader import RequestReader
from lovagemast_wire import to_wire

from tests.test_calls import HOST, ScriptedTarget, response_of
from tests.test_endless import Endless
from tests.turncounter import (
    BODY_BYTES,
    MAX_TURN_BYTES,
    MAX_TURN_PARTS,
    PIECES,
    STREAM_HEAD,
    TurnCounter,
    chunked,
    play,
    receive,
)


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
