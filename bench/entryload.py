"""Processor time of an entry VM's request path: requests and stream events.

The request path runs in this process. Stand-in targets and callers run in
another one, on loopback, so that their time does not count.
"""

import asyncio
import contextlib
import multiprocessing
import socket
import time
from collections import Counter
from typing import Final, NamedTuple

from lovagemast_core.deployment import (
    CallKind,
    Deployment,
    DeploymentIndex,
    PoolSpec,
    RouteSpec,
    Split,
)
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.targets import SyncReply, TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import EntrySettings
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._requesthandler import RequestHandler
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)
from lovagemast_platform._entry import PlatformEntryCodec

HOST: Final = '127.0.0.1'
POOL: Final = 'pool'
EVENT: Final = b'id: 7\ndata: {"token":"a few words of an answer"}\n\n'
TARGETS: Final = 6
QUARTER: Final = 4


class EntryShape(NamedTuple):
    """The load: concurrent callers, and what each of their streams is."""

    callers: int = 12
    events: int = 40
    event_s: float = 0.02
    seconds: float = 6.0


class EntryCosts(NamedTuple):
    """Processor time in us; what a request takes includes its events."""

    request_us: float
    requests: int


async def _serve_target(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    shape: EntryShape,
) -> None:
    """Answer the requests of one connection, each with an event stream."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:-2]
            )
            await reader.readexactly(int(fields.get(b'content-length', 0)))
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                b'X-Request-Id: %b\r\nX-Server-Stamp: 1\r\n'
                b'X-Server-Load: 3,0,12\r\nTransfer-Encoding: chunked\r\n\r\n'
                % fields[b'x-request-id']
            )
            for _ in range(shape.events):
                await asyncio.sleep(shape.event_s)
                writer.write(b'%x\r\n%b\r\n' % (len(EVENT), EVENT))
            writer.write(b'0\r\n\r\n')


async def _call(port: int, number: int) -> None:
    """Send one request after the other over one connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for count in range(1_000_000):
        body = b'{"prompt":"hello"}'
        writer.write(
            b'POST /lm/x HTTP/1.1\r\nHost: shop.example\r\n'
            b'Authorization: Bearer k\r\nX-Deadline-Ms: 12000\r\n'
            b'X-Token-Count: 100,200\r\nContent-Type: application/json\r\n'
            b'X-Request-Id: r%d-%d\r\nContent-Length: %d\r\n\r\n%b'
            % (number, count, len(body), body)
        )
        answer = await reader.readuntil(b'0\r\n\r\n')
        if b' 200 ' not in answer[:16]:
            raise AssertionError(answer)


async def _run_others(ports: list[int], front: int, shape: EntryShape) -> None:
    for port in ports:
        await asyncio.start_server(
            lambda reader, writer: _serve_target(reader, writer, shape),
            HOST,
            port,
        )
    await asyncio.gather(
        *(_call(front, number) for number in range(shape.callers))
    )


def _run_process(ports: list[int], front: int, shape: EntryShape) -> None:
    asyncio.run(_run_others(ports, front, shape))


def make_state(ports: list[int]) -> EntryState:
    """Return the state of an entry VM that knows the stand-in targets."""
    quota = QuotaBounds(0.1, 8.0, 17_000.0)
    cfg = EntrySettings(
        'entry', 'z', '', '', '', (), 0, None, 8.0, 0.2, 50.0, 10.0, quota
    )
    state = EntryState(
        cfg, PlatformEntryCodec(), JsonLog('bench'), lambda: None
    )
    route = RouteSpec(
        'lm',
        'shop.example',
        '/lm/',
        CallKind.STREAM,
        (Split(POOL, 1.0),),
        12.0,
        0.5,
        0.3,
        1,
        2,
        open=True,
        resumable=True,
    )
    pool = PoolSpec(POOL, '/health', 10, 0.0, 0.0, None)
    deployment = Deployment(1, pools=(pool,), routes=(route,))
    state.view.index = DeploymentIndex(deployment)
    records = tuple(
        TargetRecord(f't{port}', POOL, f'{HOST}:{port}', 'z', 1, 12, False, 0.0)
        for port in ports
    )
    reply = SyncReply(
        1, True, 'c', 1, 0.0, epoch=1, stamp=1, targets=records, led_s=60.0
    )
    state.view.apply(reply, now_s(), now_s())
    return state


async def run_entry(shape: EntryShape) -> EntryCosts:
    """Serve the load and return what it costs."""
    ports = [_free_port() for _target in range(TARGETS)]
    front = _free_port()
    state = make_state(ports)
    served: Counter[str] = Counter()

    async def handle(req: HttpRequest, responder: Responder) -> None:
        await RequestHandler(state, req, responder).run()
        served[POOL] += 1

    server = HttpServer(handle, ServerLimits(), lambda: None)
    await server.listen(HOST, front)
    context = multiprocessing.get_context('spawn')
    others = context.Process(target=_run_process, args=(ports, front, shape))
    others.start()
    try:
        while served[POOL] < shape.callers * QUARTER:
            await asyncio.sleep(0.1)
        started = (time.process_time(), served[POOL])
        await asyncio.sleep(shape.seconds)
        spent_s = time.process_time() - started[0]
    finally:
        others.kill()
        others.join()
    requests = served[POOL] - started[1]
    return EntryCosts(spent_s / requests * 1e6, requests)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])
