"""Tests of requests that an entry VM sends over a peer, on real sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import pytest
from grpclib.server import Server
from lovagemast_core import PublishedState
from lovagemast_core.deployment import CallKind
from lovagemast_core.targets import (
    EntryPeer,
    SyncReply,
    TargetRecord,
    TokenLot,
)
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import _forwardservice
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._forwardservice import ForwardService
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import serve_peers
from lovagemast_node.fleet._requesthandler import RequestHandler
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)
from lovagemast_platform._entry import PlatformEntryCodec

from tests.conftest import free_port
from tests.test_calls import CFG, HOST, make_index

POOL = 'p'
ORIGIN = '127.0.0.41'
PEERS = ('127.0.0.42', '127.0.0.43')
BODY = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok'
ERROR = b'HTTP/1.1 500 No\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n'
FULL = (
    b'HTTP/1.1 503 Full\r\nX-Request-Id: r\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENTS = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
KINDS = (CallKind.SAFE, CallKind.UNSAFE, CallKind.STREAM)

Script = Callable[[asyncio.StreamWriter], Awaitable[None]]


class Target:
    """A target that follows a script and records what it was sent."""

    def __init__(self, script: Script) -> None:
        self.received: list[bytes] = []
        self.closed = asyncio.Event()  # by the entry VM, before the end
        self._script = script

    async def serve(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        return f'{HOST}:{server.sockets[0].getsockname()[1]}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return
            self.received.append(head)
            await self._play(reader, writer)

    async def _play(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        run = asyncio.create_task(self._script(writer))
        watch = asyncio.create_task(_read_all(reader))
        await asyncio.wait((run, watch), return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            self.closed.set()
        run.cancel()
        watch.cancel()


async def _read_all(reader: asyncio.StreamReader) -> None:
    while await reader.read(1_024):
        """Skip the body."""


def answers(data: bytes) -> Script:
    """Return a script that sends a response."""

    async def play(writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()

    return play


async def stay_silent(writer: asyncio.StreamWriter) -> None:
    """Send nothing."""
    await asyncio.sleep(30)


async def stream_slowly(writer: asyncio.StreamWriter) -> None:
    """Send an event, and another one much later."""
    for number, event in enumerate(EVENTS):
        head = b'' if number else STREAM_HEAD
        writer.write(head + b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.6)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


class Vm:
    """An entry VM; one without a target reaches none."""

    def __init__(self, host: str, port: int) -> None:
        cfg = CFG._replace(vm=host, peer_port=port, front=f'{host}:0')
        codec = PlatformEntryCodec()
        self.state = EntryState(cfg, codec, JsonLog(host), lambda: None)
        self.service = ForwardService(self.state)
        self.server: Server | None = None
        self._host = host
        self._front_port = 0

    async def start(self, kind: CallKind, address: str) -> None:
        """Listen for clients and peers."""
        record = TargetRecord(
            't1', POOL, address, 'z1', 1, 8, leaving=False, cold_s=0.0
        )
        reply = SyncReply(1, True, 'c', 1, 0.0, PublishedState(1, 3))
        reply = reply._replace(targets=(record,))
        self.state.view.apply(reply, now_s(), now_s())
        self.state.view.index = make_index(kind)
        self.server = await serve_peers(
            (self.service,), self._host, self.state.cfg.peer_port
        )
        front = HttpServer(self._handle, ServerLimits(), lambda: None)
        await front.listen(self._host, 0)
        assert front._listener
        self._front_port = front._listener.sockets[0].getsockname()[1]

    def break_connections(self) -> None:
        """Reset the connections from other entry VMs, as a kill does."""
        assert self.server
        for handler in self.server._handlers:
            for stream in handler._tasks:
                stream._transport.abort()

    def lose_paths(self) -> None:
        """Let no target of the pool be in reach."""
        self.state.paths.record_probes(POOL, (), 1, now_s())

    async def request(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request; return the connection."""
        reader, writer = await asyncio.open_connection(
            self._host, self._front_port
        )
        writer.write(
            b'POST /x/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n'
            b'X-Deadline-Ms: 1900\r\nAuthorization: Bearer k1\r\n'
            b'Content-Length: 2\r\n\r\n{}'
        )
        return reader, writer

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        await RequestHandler(self.state, req, responder).run()


class Play(NamedTuple):
    """An entry VM that reaches no target, its peers and their targets."""

    origin: Vm
    peers: list[Vm]
    targets: list[Target]

    def received(self) -> list[bytes]:
        """Return what all targets were sent."""
        return [one for target in self.targets for one in target.received]

    async def status(self) -> int:
        """Return the status that a client of the cut VM gets."""
        reader, writer = await self.origin.request()
        head = await reader.readuntil(b'\r\n')
        writer.close()
        return int(head.split()[1])


@contextlib.asynccontextmanager
async def start(kind: CallKind, *scripts: Script) -> AsyncIterator[Play]:
    """Start an entry VM and a peer with a target for each script."""
    port = free_port()
    origin = Vm(ORIGIN, port)
    play = Play(origin, [], [])
    await origin.start(kind, f'{HOST}:1')
    origin.lose_paths()
    for host, script in zip(PEERS, scripts, strict=False):
        vm = Vm(host, port)
        target = Target(script)
        await vm.start(kind, await target.serve())
        play.peers.append(vm)
        play.targets.append(target)
    offers = [
        EntryPeer(vm.state.cfg.vm, 'z1', vm.state.cfg.vm) for vm in play.peers
    ]
    origin.state.peers.directory.update(offers, now_s())
    try:
        yield play
    finally:
        origin.state.peers.close()
        for vm in (origin, *play.peers):
            assert vm.server
            vm.server.close()


@pytest.mark.parametrize('kind', KINDS)
def test_request_is_served_over_one_peer(kind: CallKind) -> None:
    """One target runs it; the key never leaves the first VM."""
    data = BODY
    if kind is CallKind.STREAM:
        data = STREAM_HEAD + b'f\r\n%b\r\n0\r\n\r\n' % EVENTS[0]

    async def play() -> tuple[int, list[bytes]]:
        async with start(kind, answers(data), answers(data)) as one:
            return await one.status(), one.received()

    status, received = asyncio.run(play())
    assert status == 200
    assert len(received) == 1
    assert b'k1' not in received[0]
    assert b'X-Tenant: acme' in received[0]


@pytest.mark.parametrize(
    ('kind', 'script', 'status', 'sends'),
    [
        (CallKind.SAFE, answers(b''), 502, 2),
        (CallKind.UNSAFE, answers(b''), 502, 1),
        (CallKind.STREAM, answers(b''), 502, 1),
        (CallKind.SAFE, answers(ERROR), 500, 2),
        (CallKind.UNSAFE, answers(ERROR), 500, 1),
        (CallKind.SAFE, answers(FULL), 503, 4),
        (CallKind.UNSAFE, answers(FULL), 503, 4),
    ],
)
def test_failures_beyond_the_peer(
    kind: CallKind, script: Script, status: int, sends: int
) -> None:
    """Attempts count as at targets; 503 is said only if none has run it."""

    async def play() -> tuple[int, int]:
        async with start(kind, script, script) as one:
            return await one.status(), len(one.received())

    assert asyncio.run(play()) == (status, sends)


def test_no_second_hop() -> None:
    """A peer that reaches no target either says so, and sends it nowhere."""

    async def play() -> tuple[int, list[bytes]]:
        async with start(CallKind.SAFE, answers(BODY)) as one:
            peer = one.peers[0]
            peer.lose_paths()
            offer = EntryPeer(PEERS[1], 'z1', PEERS[1])
            peer.state.peers.directory.update((offer,), now_s())
            return await one.status(), one.received()

    assert asyncio.run(play()) == (503, [])


@pytest.mark.parametrize('kind', [CallKind.SAFE, CallKind.UNSAFE])
def test_full_peer_is_passed_over(
    kind: CallKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What a peer refuses at once goes to another peer."""
    monkeypatch.setattr(_forwardservice, 'MAX_FORWARDED', 1)

    async def play() -> tuple[int, int]:
        scripts = (answers(BODY), answers(BODY))
        async with start(kind, *scripts) as one:
            one.peers[0].service.running = 1
            statuses = [await one.status() for _request in range(3)]
            return statuses.count(200), len(one.targets[1].received)

    assert asyncio.run(play()) == (3, 3)


@pytest.mark.parametrize(
    ('kind', 'status', 'runs'),
    [(CallKind.SAFE, 200, 2), (CallKind.UNSAFE, 502, 1)],
)
def test_peer_that_goes_away(kind: CallKind, status: int, runs: int) -> None:
    """Only an idempotent request is sent again over another peer."""

    async def play() -> tuple[int, int]:
        async with start(kind, stay_silent, stay_silent) as one:
            call = asyncio.create_task(one.status())
            while not one.received():
                await asyncio.sleep(0.01)
            for vm, target in zip(one.peers, one.targets, strict=True):
                if target.received:
                    vm.break_connections()
                else:
                    target._script = answers(BODY)
            return await call, len(one.received())

    assert asyncio.run(play()) == (status, runs)


def test_failed_request_breaks_no_other_at_the_peer() -> None:
    """They share a connection, which one that fails does not close."""

    async def play() -> tuple[int, bytes]:
        async with start(CallKind.STREAM, stream_slowly) as one:
            reader, writer = await one.origin.request()
            await reader.readuntil(b'data: a')
            one.targets[0]._script = answers(b'')
            status = await one.status()
            rest = await reader.readuntil(b'data: b')
            writer.close()
            return status, rest

    status, rest = asyncio.run(play())
    assert status == 502
    assert rest.endswith(b'data: b')


def test_client_that_leaves_cancels_at_the_target() -> None:
    """The connection to the target closes soon after the client's."""

    async def play() -> None:
        async with start(CallKind.SAFE, stay_silent) as one:
            _reader, writer = await one.origin.request()
            while not one.received():
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(0.4):
                await one.targets[0].closed.wait()

    asyncio.run(play())


def test_events_come_as_they_are_made() -> None:
    """The first event of a stream does not wait for the second."""

    async def play() -> float:
        async with start(CallKind.STREAM, stream_slowly) as one:
            started_at = now_s()
            reader, writer = await one.origin.request()
            await reader.readuntil(b'data: a')
            took_s = now_s() - started_at
            await reader.readuntil(b'data: b')
            writer.close()
            return took_s

    assert asyncio.run(play()) < 0.4


def test_no_peer_is_refused_soon() -> None:
    """Without an offer, a request does not wait for its deadline."""

    async def play() -> tuple[int, float]:
        async with start(CallKind.SAFE) as one:
            started_at = now_s()
            return await one.status(), now_s() - started_at

    status, took_s = asyncio.run(play())
    assert status == 503
    assert took_s < 0.8


def test_request_is_charged_once() -> None:
    """The first VM spends the account's tokens, its peer none."""

    async def play() -> tuple[int, float, float]:
        async with start(CallKind.SAFE, answers(BODY)) as one:
            vms = (one.origin, one.peers[0])
            for vm in vms:
                index = make_index(CallKind.SAFE)
                account = index.accounts['acme']
                account = account._replace(rate=10.0, burst=10.0)
                index.accounts['acme'] = account
                index._by_key = dict.fromkeys(index._by_key, account)
                vm.state.view.index = index
                vm.state.tokens.add(TokenLot('acme', 5.0), now_s())
            status = await one.status()
            held = [
                vm.state.tokens._account('acme', now_s()).held() for vm in vms
            ]
            return status, held[0], held[1]

    assert asyncio.run(play()) == (200, 4.0, 5.0)
