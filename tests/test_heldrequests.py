"""Tests of orders and calls that are given up before they have arrived.

A connection that is closed in the ordinary way leaves its bytes to the kernel,
which delivers them once a broken link is back. An order then took effect
seconds after the holder of its engine had changed.
"""

import asyncio
import socket

import pytest
from lovagemast_core.adapters import Order
from lovagemast_core.duties import CallResult
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._engines import EngineClient
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.http import ConnectFailed, TargetPool
from lovagemast_platform._control import PlatformControlCodec

from tests.test_infrastructure import USAGE, client_of

HOST = '127.0.0.1'
RECEIVE_BUFFER_BYTES = 4_096
REQUEST_BYTES = 4_194_304  # more than the buffers of both sides hold
READ_BYTES = 65_536


class SilentServer:
    """Accepts one connection, never answers, and reads only when told to."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self._conn: socket.socket | None = None

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self._listener.getsockname()[1])

    async def accept(self) -> None:
        """Accept the connection."""
        loop = asyncio.get_running_loop()
        self._conn, _address = await loop.sock_accept(self._listener)

    async def read_to_end(self) -> bool:
        """Read all that arrives; return whether a reset ended it."""
        assert self._conn
        loop = asyncio.get_running_loop()
        received = b'-'
        while received:
            try:
                received = await loop.sock_recv(self._conn, READ_BYTES)
            except ConnectionResetError:
                return True
        return False

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        if self._conn:
            self._conn.close()


@pytest.mark.parametrize('resets', [True, False])
def test_reset_drops_what_was_not_delivered(resets: bool) -> None:
    """The rest of a held-up request arrives after a close only, not a reset."""

    async def run() -> bool:
        server = SilentServer()
        conn = await TargetPool().acquire(
            f'{HOST}:{server.port}', fresh=True, timeout_s=5.0, now=now_s()
        )
        assert not isinstance(conn, ConnectFailed)
        await server.accept()
        conn.send(b'', b'', b'', bytes(REQUEST_BYTES))
        if resets:
            conn.reset()
        else:
            conn.close()
        await asyncio.sleep(0)  # the loop closes the socket
        was_reset = await server.read_to_end()
        server.close()
        return was_reset

    assert asyncio.run(run()) is resets


def test_order_without_answer_is_reset() -> None:
    """An order that its holder gave up must not arrive later."""

    async def run() -> bool:
        server = SilentServer()
        client = EngineClient(
            'c1', PlatformControlCodec(), JsonLog('c1'), TargetPool()
        )
        order = Order('t1', f'{HOST}:{server.port}', True, 'm', 'a', 1, 0, 0)
        sending = asyncio.create_task(client.send(order))
        await server.accept()
        await sending
        was_reset = await server.read_to_end()
        server.close()
        return was_reset

    assert asyncio.run(run())


def test_call_without_answer_is_reset() -> None:
    """A call with a former holder's token must not arrive later."""

    async def run() -> bool:
        server = SilentServer()
        client = client_of(server.port)
        sending = asyncio.create_task(client.send(USAGE, now_s() + 5.0))
        await server.accept()
        done = await sending
        assert done.result is CallResult.SILENT
        was_reset = await server.read_to_end()
        server.close()
        return was_reset

    assert asyncio.run(run())
