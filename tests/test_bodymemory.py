"""Tests that the bodies of many messages together stay within bounds."""

import asyncio
import tracemalloc
from typing import Final

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_node.http import (
    BodyBudget,
    BodyShare,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    TargetConnection,
)
from lovagemast_node.http._bodybudget import FREE_BYTES

from tests.test_calls import HOST, ScriptedTarget, make_index
from tests.test_endless import ENDLESS
from tests.test_promptcheck import EntryVm

MIB: Final = 1_048_576
LIMIT_BYTES: Final = 4 * MIB
CALLERS: Final = 24
BODY_BYTES: Final = MIB
REQUEST: Final = (
    b'POST /x/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\n'
    b'X-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\n'
    b'Content-Length: %d\r\n\r\n'
)


@pytest.mark.parametrize(
    ('sizes', 'used'),
    [
        ((FREE_BYTES,), 0),
        ((FREE_BYTES + 5,), 5),
        ((FREE_BYTES + 5, FREE_BYTES + 9), 9),
        ((FREE_BYTES + 9, 3), 9),
    ],
)
def test_share_of_a_body(sizes: tuple[int, ...], used: int) -> None:
    """A body counts by its largest size, beyond what is free."""
    budget = BodyBudget(100)
    share = BodyShare(budget)
    assert all(share.try_grow(size) for size in sizes)
    assert budget.used_bytes == used
    assert not BodyShare(budget).try_grow(FREE_BYTES + 101 - used)
    share.release()
    assert budget.used_bytes == 0


async def status_from(port: int, number: int, size: int) -> int:
    """Send a request with a body; return the status, 0 without one."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(REQUEST % (number, size))
    try:
        writer.write(b'x' * size)
        head = await reader.readuntil(b'\r\n\r\n')
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()
    return int(head.split()[1])


def test_large_requests_beyond_the_budget() -> None:
    """Many bodies within the limit of each would exhaust the memory."""
    peaks: list[int] = []
    running: list[int] = []

    async def handle(req: HttpRequest, responder: Responder) -> None:
        running.append(len(req.body))
        peaks.append(sum(running))
        await asyncio.sleep(0.2)
        running.remove(len(req.body))
        await responder.send(200)

    async def play() -> tuple[list[int], int, int]:
        bodies = BodyBudget(LIMIT_BYTES)
        server = HttpServer(handle, ServerLimits(), lambda: None, bodies)
        await server.listen(HOST, 0)
        assert server._listener
        port = server._listener.sockets[0].getsockname()[1]
        large = await asyncio.gather(
            *(status_from(port, one, BODY_BYTES) for one in range(CALLERS)),
            status_from(port, CALLERS, 100),
        )
        await asyncio.sleep(0.1)
        again = await status_from(port, CALLERS, BODY_BYTES)
        return large, again, bodies.used_bytes

    statuses, again, used = asyncio.run(play())
    assert statuses[-1] == 200  # small ones pass
    assert statuses.count(200) == LIMIT_BYTES // BODY_BYTES + 1
    assert set(statuses) <= {200, 503, 0}
    assert max(peaks) <= LIMIT_BYTES + CALLERS * FREE_BYTES
    assert again == 200
    assert used == 0


def test_endless_bodies_together_stay_within_bounds() -> None:
    """Each is bounded by itself, but many targets may send them at a time."""

    async def play() -> int:
        vm = EntryVm()
        vm.state.pool.bodies._limit_bytes = LIMIT_BYTES
        await vm.serve(ScriptedTarget(ENDLESS['body']))
        vm.state.view.index = make_index(CallKind.UNSAFE)
        tracemalloc.start()
        calls = (vm.send(REQUEST % (one, 0)) for one in range(CALLERS))
        statuses = await asyncio.gather(*calls)
        assert set(statuses) <= {502, 503}
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert vm.state.pool.bodies.used_bytes == 0
        return peak

    # Beside the budget: what is free and buffered for each caller, and what
    # the target of the test has written.
    assert asyncio.run(play()) < LIMIT_BYTES + CALLERS * MIB


class SlowReader:
    """A target that answers before it has read a long body."""

    def __init__(self) -> None:
        self.received = 0

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer at once, and read all after a moment."""
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await asyncio.sleep(0.2)
        while data := await reader.read(MIB):
            self.received += len(data)


def test_connection_with_unsent_bytes_is_not_reused() -> None:
    """The next request would take the place of the rest of the body."""

    async def play() -> bool:
        port = await ScriptedTarget(SlowReader()).serve()
        loop = asyncio.get_running_loop()
        _transport, conn = await loop.create_connection(
            lambda: TargetConnection(f'{HOST}:{port}'), HOST, port
        )
        head = REQUEST % (1, 16 * MIB)
        conn.send(head, b'1', b'x-request-id', b'x' * (16 * MIB))
        await conn.next_event()
        await conn.next_event()
        is_reusable = conn.is_reusable
        conn.close()
        return is_reusable

    assert not asyncio.run(play())


def test_long_body_arrives_whole() -> None:
    """It is written in slices, as the target takes them."""
    target = SlowReader()

    async def play() -> None:
        port = await ScriptedTarget(target).serve()
        loop = asyncio.get_running_loop()
        _transport, conn = await loop.create_connection(
            lambda: TargetConnection(f'{HOST}:{port}'), HOST, port
        )
        head = REQUEST % (1, 9 * MIB)
        conn.send(head, b'1', b'x-request-id', b'x' * (9 * MIB))
        async with asyncio.timeout(3):
            while target.received < 9 * MIB:
                await asyncio.sleep(0.01)
        conn.close()

    asyncio.run(play())
    assert target.received == 9 * MIB
