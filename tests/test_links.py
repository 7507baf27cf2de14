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
from lovagemast_node.fleet._peers import (
    PeerLinks,
    PeerService,
    serve_peers,
)

HOST: Final = '127.0.0.1'
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


async def wait_until(check: Callable[[], bool]) -> bool:
    """Return whether a check holds in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_S):
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
