"""Tests of the status that clients get when targets fail or refuse."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.deployment import (
    AccountSpec,
    CallKind,
    Deployment,
    DeploymentIndex,
    PoolSpec,
    RouteSpec,
    Split,
)
from lovagemast_core.entry import FleetView, RetryBudget
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.targets import SyncReply, TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import EntrySettings
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._requesthandler import RequestHandler
from lovagemast_node.http import (
    ConnectFailed,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    TargetConnection,
    TargetPool,
)
from lovagemast_platform._entry import PlatformEntryCodec

HOST = '127.0.0.1'
CFG = EntrySettings(
    vm='e1',
    zone='z1',
    front='',
    ready='',
    metrics='',
    seeds=(),
    peer_port=0,
    key_age_s=4.3,
    drain_grace_s=8.0,
    retry_ratio=0.2,
    retry_slack=50.0,
    retry_window_s=10.0,
    quota=QuotaBounds(0.0, 1.0, 0.0),
)

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_index(kind: CallKind, *, resumable: bool = False) -> DeploymentIndex:
    """Return a deployment with one route and one account."""
    route = RouteSpec(
        'r1',
        'h',
        '/x/',
        kind,
        (Split('p', 1.0),),
        timeout_s=2.0,
        objective_s=0.2,
        gap_s=0.3,
        priority=0,
        max_attempts=2,
        open=False,
        resumable=resumable,
    )
    account = AccountSpec('acme', ('k1',), None, 0.0, 0.0, False, 1.0)
    pool = PoolSpec('p', '/health', 100, 0.0, 0.0)
    return DeploymentIndex(
        Deployment(3, (route,), (pool,), (account,)),
    )


class ScriptedTarget:
    """A target that runs the same script for each request."""

    def __init__(self, script: Script) -> None:
        self.connections = 0
        self.requests = 0
        self._script = script

    async def serve(self) -> int:
        """Listen and return the port."""
        server = await asyncio.start_server(self._on_connection, HOST, 0)
        return int(server.sockets[0].getsockname()[1])

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return
        self.requests += 1
        await self._script(reader, writer)
        await writer.drain()
        writer.close()


class DeadTarget(ScriptedTarget):
    """A target whose address takes no connections."""

    def __init__(self) -> None:
        super().__init__(break_off)

    async def serve(self) -> int:
        """Return a port on which nothing listens."""
        server = await asyncio.start_server(self._on_connection, HOST, 0)
        port = int(server.sockets[0].getsockname()[1])
        server.close()
        await server.wait_closed()
        return port


def answer(head: bytes) -> Script:
    """Return a script that responds with a head and no body."""

    async def play(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b'HTTP/1.1 ' + head + b'\r\nContent-Length: 0\r\n\r\n')

    return play


async def break_off(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Close the connection without a response."""


FULL = answer(b'503 Full\r\nX-Request-Id: r\r\nX-Not-Executed: 1')
FAILED = answer(b'500 Failed\r\nX-Server-Stamp: s')
FORGED = answer(b'200 OK')
GOOD = answer(b'200 OK\r\nX-Server-Stamp: s')


async def status_of(
    kind: CallKind, targets: list[ScriptedTarget], **options: Any
) -> int:
    """Return the status that a client gets from an entry VM.

    The options are those of ``response_of``.
    """
    response = await response_of(kind, targets, **options)
    return int(response.split()[1])


async def response_of(
    kind: CallKind,
    targets: list[ScriptedTarget],
    *,
    key: bytes = b'k1',
    path: str = '/x/a',
    age_s: float = 0.0,
    resumable: bool = False,
    prepare: Callable[[EntryState], None] = lambda _state: None,
) -> bytes:
    """Return all bytes that a client gets from an entry VM.

    The VM knows the targets; the leader confirmed its view ``age_s`` ago.
    ``prepare`` may change the VM's state before the request.
    """
    state = EntryState(CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None)
    prepare(state)
    records = [
        TargetRecord(
            f't{number}',
            'p',
            f'{HOST}:{await target.serve()}',
            'z1',
            1,
            8,
            leaving=False,
            cold_s=0.0,
        )
        for number, target in enumerate(targets)
    ]
    reply = SyncReply(1, True, 'c', 1, 0.0, PublishedState(1, 3))
    reply = reply._replace(targets=tuple(records))
    state.view.apply(reply, now_s() - age_s, now_s())
    state.view.index = make_index(kind, resumable=resumable)

    async def handle(req: HttpRequest, responder: Responder) -> None:
        await RequestHandler(state, req, responder).run()

    server = HttpServer(handle, ServerLimits(), lambda: None)
    await server.listen(HOST, 0)
    assert server._listener
    port = server._listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        b'GET %b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n'
        b'X-Deadline-Ms: 2000\r\nConnection: close\r\n'
        b'Authorization: Bearer %b\r\n\r\n' % (path.encode(), key),
    )
    response = bytearray()
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(65_536):
            response += chunk
    writer.close()
    return bytes(response)


class SlowPool(TargetPool):
    """Connections that take until the view has changed.

    The target at the address of the first one changes as ``change`` says, or
    is removed without it.
    """

    def __init__(self, view: FleetView, change: dict[str, Any]) -> None:
        super().__init__()
        self._view = view
        self._change = change
        self._is_changed = False

    async def acquire(
        self,
        address: str,
        *,
        fresh: bool,
        timeout_s: float,
        now: float,
    ) -> TargetConnection | ConnectFailed:
        """Open a connection, and change the view meanwhile."""
        conn = await super().acquire(
            address, fresh=fresh, timeout_s=timeout_s, now=now
        )
        if not self._is_changed:
            self._is_changed = True
            self._change_target(address)
        return conn

    def _change_target(self, address: str) -> None:
        record = next(
            known.record
            for known in self._view.targets.values()
            if known.record.address == address
        )
        reply = SyncReply(2, True, 'c', 1, 0.0)
        if self._change:
            changed = record._replace(**self._change)
            reply = reply._replace(targets=(changed,))
        else:
            reply = reply._replace(removed=(record.target,))
        self._view.apply(reply, now_s(), now_s())


class TestChosenTarget:
    @pytest.mark.parametrize(
        'change', [{'leaving': True}, {'incarnation': 2}, {}]
    )
    def test_target_leaves_while_it_is_connected(
        self, change: dict[str, Any]
    ) -> None:
        """A request is not sent to a target that left after it was chosen."""

        def prepare(state: EntryState) -> None:
            state.pool = SlowPool(state.view, change)

        targets = [ScriptedTarget(GOOD), ScriptedTarget(GOOD)]
        status = asyncio.run(
            status_of(CallKind.UNSAFE, targets, prepare=prepare)
        )
        assert status == 200
        assert sorted(target.requests for target in targets) == [0, 1]
        assert targets[0].connections == targets[1].connections == 1


class TestEnds:
    @pytest.mark.parametrize(
        ('kind', 'script', 'status', 'max_sends'),
        [
            (CallKind.SAFE, GOOD, 200, 1),
            (CallKind.UNSAFE, GOOD, 200, 1),
            (CallKind.SAFE, FULL, 503, 5),
            (CallKind.UNSAFE, FULL, 503, 5),
            (CallKind.SAFE, break_off, 502, 2),
            (CallKind.UNSAFE, break_off, 502, 1),
            (CallKind.SAFE, FAILED, 500, 2),
            (CallKind.UNSAFE, FAILED, 500, 1),
            (CallKind.UNSAFE, FORGED, 502, 1),
            (CallKind.STREAM, break_off, 502, 1),
        ],
    )
    def test_status_and_sends(
        self,
        kind: CallKind,
        script: Script,
        status: int,
        max_sends: int,
    ) -> None:
        """503 is sent only if no target ran the request, and sends are limited.

        A request that a target may have run gets 502 and is sent again only
        if it is idempotent.
        """
        targets = [ScriptedTarget(script), ScriptedTarget(script)]
        assert asyncio.run(status_of(kind, targets)) == status
        assert sum(target.requests for target in targets) <= max_sends

    def test_nothing_listens(self) -> None:
        """Without targets, the request is refused with 503."""
        assert asyncio.run(status_of(CallKind.UNSAFE, [])) == 503

    def test_failed_then_served(self) -> None:
        """An idempotent request that failed is served by another target."""
        targets = [ScriptedTarget(break_off), ScriptedTarget(GOOD)]
        assert asyncio.run(status_of(CallKind.SAFE, targets)) == 200


class TestDeadTargets:
    """Targets that have crashed refuse connections until they are back."""

    @pytest.mark.parametrize('kind', [CallKind.SAFE, CallKind.UNSAFE])
    @pytest.mark.parametrize('dead', [1, 8])
    def test_refused_connections_use_up_no_retries(
        self, kind: CallKind, dead: int
    ) -> None:
        """A request that no target has received is no retry elsewhere."""

        def prepare(state: EntryState) -> None:
            state.retries = RetryBudget(0.0, 0.0, 10.0)

        good = ScriptedTarget(GOOD)
        targets = [DeadTarget() for _one in range(dead)]
        status = asyncio.run(status_of(kind, [*targets, good], prepare=prepare))
        assert status == 200
        assert good.requests == 1

    def test_all_dead(self) -> None:
        """Without a target that is alive, the request is refused in time."""
        targets: list[ScriptedTarget] = [DeadTarget(), DeadTarget()]
        assert asyncio.run(status_of(CallKind.SAFE, targets)) == 503


class TestDenials:
    @pytest.mark.parametrize(
        ('key', 'path', 'age_s', 'status'),
        [
            (b'wrong', '/x/a', 0.0, 401),
            (b'k1', '/y/a', 0.0, 404),
            (b'wrong', '/x/a', 2.0, 503),
            (b'k1', '/y/a', 2.0, 503),
            (b'k1', '/x/a', 2.0, 200),
            (b'k1', '/x/a', 4.4, 503),
        ],
    )
    def test_denied_only_in_touch(
        self,
        key: bytes,
        path: str,
        age_s: float,
        status: int,
    ) -> None:
        """A VM with a stale view answers 503 instead of 401 or 404.

        Keys that it knows are accepted until ``key_age_s`` has passed.
        """
        status_task = status_of(
            CallKind.SAFE,
            [ScriptedTarget(GOOD)],
            key=key,
            path=path,
            age_s=age_s,
        )
        assert asyncio.run(status_task) == status
