"""Counts what is done for one connection in a turn of the event loop.

How long that takes depends on the machine.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import pytest
from lovagemast_node.http import (
    ResponseData,
    ResponseFailed,
    TargetConnection,
)

# Chunks of one byte in so many bytes are parsed within some ms.
MAX_TURN_BYTES: Final = 16_384
# A frame of some bytes takes some tens of µs.
MAX_TURN_FRAMES_BYTES: Final = 2_048
# Of 16 KiB at most each.
MAX_TURN_PARTS: Final = 16
STREAM_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
BODY_BYTES: Final = 200_000


def chunked(piece: bytes) -> bytes:
    """Return a piece as a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


PIECES: Final = {
    'one byte': b'x',
    'event of 60 bytes': b'x' * 60,
    'comment': b':\n\n',
    'whole event': b'data: x\n\n',
    'line end': b'\r',
    'large': b'x' * 65_536,
}


class TurnCounter:
    """Sums what is done in each turn of the event loop."""

    def __init__(self) -> None:
        self.turn = 0
        self.done: Counter[int] = Counter()

    def add(self, count: int) -> None:
        """Count work that is done in the current turn."""
        self.done[self.turn] += count

    @property
    def most(self) -> int:
        """Return the most that was done in one turn."""
        return max(self.done.values(), default=0)

    @contextlib.asynccontextmanager
    async def counting(self) -> AsyncIterator[None]:
        """Count the turns meanwhile."""
        task = asyncio.create_task(self._count_turns())
        try:
            yield
        finally:
            task.cancel()

    def watch(
        self,
        monkeypatch: pytest.MonkeyPatch,
        owner: type,
        method: str,
        weigh: Callable[[Any], int],
    ) -> None:
        """Count the first argument of a method, as ``weigh`` says."""
        original = getattr(owner, method)

        def counted(instance: Any, data: Any, *args: Any) -> Any:
            self.add(weigh(data))
            return original(instance, data, *args)

        monkeypatch.setattr(owner, method, counted)

    async def _count_turns(self) -> None:
        while True:
            self.turn += 1
            await asyncio.sleep(0)


async def receive(conn: TargetConnection, size: int) -> None:
    """Take a part of a body, or less if its framing is over a bound."""
    received = 0
    while received < size:
        event = await conn.next_event(5.0)
        if isinstance(event, ResponseFailed):
            return
        if isinstance(event, ResponseData):
            received += len(event.chunk)


def play(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in an event loop, for some seconds at most."""

    async def run() -> None:
        async with asyncio.timeout(20.0):
            await test()

    asyncio.run(run())
