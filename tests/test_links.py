"""Links between control VMs, over real gRPC streams on loopback."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Final

import pytest
from lovagemast_core import PeerMessage, PeerReceived, PutConfig
from lovagemast_core._messages import Propose, RelayHello
from lovagemast_node.fleet import _peers
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._leaderwatch import LeaderlessTime
from lovagemast_node.fleet._peers import (
    PeerLinks,
    PeerService,
    serve_peers,
)

HOST: Final = '127.0.0.1'
PEER_HOST: Final = '127.0.0.2'
WAIT_S: Final = 3.0
POLL_S: Final = 0.01
GOOD: Final = RelayHello(1.0)
ODD: Final = (
    Propose('p', PutConfig(2**70, '{}')),
    Propose('p', PutConfig(1, '\ud800')),
)


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


async def wait_until(check: Callable[[], bool], wait_s: float = WAIT_S) -> bool:
    """Return whether a check holds in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            while not check():
                await asyncio.sleep(POLL_S)
    return check()


async def is_delivered(*messages: PeerMessage) -> bool:
    """Send messages over a link; return whether the last one arrives.

    The last one is repeated, as messages are lost with a stream.
    """
    received: list[PeerReceived] = []
    log = JsonLog('c1')
    port = free_port()
    service = PeerService(received.append, log)
    server = await serve_peers((service,), HOST, port)
    links = PeerLinks('c1', port, log)
    for message in messages:
        links.send(HOST, message)

    def has_arrived() -> bool:
        links.send(HOST, messages[-1])
        return PeerReceived('c1', messages[-1]) in received

    arrived = await wait_until(has_arrived)
    links.close()
    server.close()
    await server.wait_closed()
    return arrived


@pytest.mark.parametrize('odd', ODD)
def test_link_outlives_a_message_it_cannot_encode(odd: PeerMessage) -> None:
    """Without the link, a control VM forwards no later change."""
    assert asyncio.run(is_delivered(odd, GOOD))


@pytest.mark.parametrize(
    ('leaders', 'for_s'),
    [
        (('c1',), None),
        (('',), 0.0),
        (('', ''), 2.0),
        (('', 'c1'), None),
        (('', 'c1', ''), 0.0),
    ],
)
def test_time_without_a_leader(
    leaders: tuple[str, ...], for_s: float | None
) -> None:
    """The log tells for how long nobody has led."""
    leaderless = LeaderlessTime()
    for number, leader in enumerate(leaders):
        last = leaderless.update(leader, 100.0 + 2.0 * number)
    assert last == for_s


class Wire:
    """Passes a VM's connections on; those that are dead swallow all bytes."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._dead: set[int] = set()
        self._connections = 0

    async def open(self) -> asyncio.Server:
        """Listen for the connections of the VM."""
        return await asyncio.start_server(self._pass_on, HOST, self._port)

    def kill(self) -> None:
        """Let no byte through any more on the connections that are open."""
        self._dead.update(range(self._connections))

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._connections
        self._connections += 1
        other = await asyncio.open_connection(PEER_HOST, self._port)
        await asyncio.gather(
            self._pump(reader, other[1], number),
            self._pump(other[0], writer, number),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if number not in self._dead:
                    writer.write(data)
        writer.close()


def test_link_notices_a_connection_that_is_silent() -> None:
    """Few bytes are sent without a leader; nobody would be elected."""
    received: list[PeerReceived] = []

    async def play() -> bool:
        log = JsonLog('c1')
        port = free_port()
        service = PeerService(received.append, log)
        server = await serve_peers((service,), PEER_HOST, port)
        wire = Wire(port)
        listener = await wire.open()
        links = PeerLinks('c1', port, log)
        links.send(HOST, GOOD)
        assert await wait_until(lambda: bool(received))
        wire.kill()
        received.clear()

        def has_arrived() -> bool:
            links.send(HOST, GOOD)
            return bool(received)

        arrived = await wait_until(has_arrived)
        links.close()
        listener.close()
        server.close()
        return arrived

    assert asyncio.run(play())


def test_link_outlives_any_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    """A failure of a kind that nobody foresaw ends the stream only."""
    encode = _peers.encode_envelope
    failures = [KeyError('first')]

    def fail_once(sender: str, message: PeerMessage) -> object:
        if failures:
            raise failures.pop()
        return encode(sender, message)

    monkeypatch.setattr(_peers, 'encode_envelope', fail_once)
    assert asyncio.run(is_delivered(GOOD))
