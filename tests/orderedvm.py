"""An entry VM with one pool that is served in order, on real sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from lovagemast_core import PublishedState
from lovagemast_core.deployment import (
    AccountSpec,
    CallKind,
    Deployment,
    DeploymentIndex,
    PoolSpec,
)
from lovagemast_core.targets import (
    ResidentAdapter,
    SyncReply,
    TargetRecord,
)
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._poolqueue import PoolQueue
from lovagemast_node.fleet._requesthandler import RequestHandler
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)
from lovagemast_platform._entry import PlatformEntryCodec

from tests.test_calls import (
    CFG,
    HOST,
    make_index,
)

POOL = 'p'
SLOTS = 2  # at the target, the least that an entry VM uses


class Answer(NamedTuple):
    """What a caller gets."""

    status: int
    reason: str
    retry_after_s: float


class GatedTarget:
    """A target that answers a request each time that it is told to."""

    def __init__(self) -> None:
        self.paths: list[str] = []  # of the requests, as they came
        self.head = b'200 OK\r\nX-Server-Stamp: s'
        self._gates: list[asyncio.Event] = []

    async def serve(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self._on_connection, HOST, 0)
        return f'{HOST}:{server.sockets[0].getsockname()[1]}'

    async def finish(self, count: int = 1) -> None:
        """Answer the oldest requests, and let what follows happen."""
        for _request in range(count):
            self._gates.pop(0).set()
            await asyncio.sleep(0.03)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            self.paths.append(head.split()[1].decode().rpartition('/')[2])
            gate = asyncio.Event()
            self._gates.append(gate)
            await gate.wait()
            writer.write(
                b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % self.head
            )
            await writer.drain()
        writer.close()


class OrderedVm:
    """An entry VM with one pool that is served in order, of two slots."""

    def __init__(self) -> None:
        self.state = EntryState(
            CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None
        )
        self.target = GatedTarget()
        self._port = 0

    @property
    def queue(self) -> PoolQueue:
        """Return the queue of the pool."""
        queue = self.state.queues.queue_of(POOL)
        assert queue is not None
        return queue

    async def start(self) -> None:
        """Listen, with the target in the view."""
        record = TargetRecord(
            't0',
            POOL,
            await self.target.serve(),
            'z1',
            1,
            8,
            leaving=False,
            cold_s=0.0,
        )
        reply = SyncReply(1, True, 'c', 1, 0.0, PublishedState(1, 3))
        reply = reply._replace(targets=(record,))
        self.state.view.apply(reply, now_s(), now_s())
        self.state.view.index = make_small_index()
        self.state.queues.serve_in_order(POOL)
        server = HttpServer(self._handle, ServerLimits(), lambda: None)
        await server.listen(HOST, 0)
        assert server._listener
        self._port = server._listener.sockets[0].getsockname()[1]

    def hold_adapter(self, label: str) -> None:
        """Let the target hold a model and an adapter."""
        known = self.state.view.targets['t0'].record
        model = label.partition('/')[0]
        record = known._replace(
            models=(model,), adapters=(ResidentAdapter(label, 0.0),)
        )
        reply = SyncReply(2, True, 'c', 1, 0.0, targets=(record,))
        self.state.view.apply(reply, now_s(), now_s())

    async def call(
        self, name: str, key: str = 'k1', headers: bytes = b''
    ) -> Answer:
        """Send a request and return what the caller gets."""
        reader, writer = await asyncio.open_connection(HOST, self._port)
        try:
            writer.write(
                b'GET /x/%b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n'
                b'X-Deadline-Ms: 4000\r\nAuthorization: Bearer %b\r\n%b\r\n'
                % (name.encode(), key.encode(), headers)
            )
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        finally:
            writer.close()
        reason = head.partition('X-Refusal-Reason: ')[2].partition('\r')[0]
        retry = head.partition('Retry-After: ')[2].partition('\r')[0]
        return Answer(int(head.split()[1]), reason, float(retry or 0))

    async def begin(
        self, name: str, key: str = 'k1', headers: bytes = b''
    ) -> 'asyncio.Task[Answer]':
        """Send a request, and let it come to where it waits."""
        task = asyncio.create_task(self.call(name, key, headers))
        await asyncio.sleep(0.02)
        return task

    async def fill(self) -> list['asyncio.Task[Answer]']:
        """Let requests take all slots."""
        return [await self.begin(f'first{number}') for number in range(SLOTS)]

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        await RequestHandler(self.state, req, responder).run()


def make_small_index() -> DeploymentIndex:
    """Return a deployment with two slots at each target and two accounts."""
    deployment = make_index(CallKind.UNSAFE).deployment
    route = deployment.routes[0]._replace(objective_s=0.8, timeout_s=4.0)
    accounts = tuple(
        AccountSpec(name, (key,), None, 0.0, 0.0, False, 1.0)
        for name, key in (('acme', 'k1'), ('modest', 'k2'))
    )
    pool = PoolSpec(POOL, '/health', SLOTS, 0.0, 0.0)
    return DeploymentIndex(Deployment(3, (route,), (pool,), accounts))


@contextlib.asynccontextmanager
async def running_vm() -> AsyncIterator[OrderedVm]:
    """Run an entry VM, and check that nothing waits in the end."""
    vm = OrderedVm()
    await vm.start()
    yield vm
    await asyncio.sleep(0.02)
    assert not vm.queue
    assert vm.queue._timer is None
    assert not vm.state.load.running_at('t0')
    registry = vm.state.metrics.registry
    labels = {'pool': POOL, 'priority': '0'}
    waiting = registry.get_sample_value('lovagemast_waiting_requests', labels)
    assert not waiting


def play(scenario: Callable[[OrderedVm], Awaitable[None]]) -> None:
    """Run a scenario with an entry VM."""

    async def run() -> None:
        async with running_vm() as vm:
            await scenario(vm)

    asyncio.run(run())
