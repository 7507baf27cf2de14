"""Tests that no connection of a library holds up the others."""

import asyncio
import contextlib

import pytest
from aiohttp import ClientSession, client_proto, web, web_protocol
from grpclib.protocol import H2Protocol
from lovagemast_node._boundedloop import BoundedReadsLoop
from lovagemast_node.fleet._connectionlimits import ConnectionLimits
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import serve_peers
from lovagemast_node.http import (
    VmLimits,
)
from prometheus_client import CollectorRegistry

from tests.conftest import free_port
from tests.h2floods import H2_FLOODS
from tests.test_calls import HOST, ScriptedTarget
from tests.test_endless import Endless
from tests.turncounter import (
    BODY_BYTES,
    MAX_TURN_BYTES,
    MAX_TURN_FRAMES_BYTES,
    STREAM_HEAD,
    TurnCounter,
    chunked,
    play,
)


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
