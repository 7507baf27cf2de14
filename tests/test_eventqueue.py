"""The queue of a response's events, whose waits share a timer."""

import asyncio
import functools
import gc
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from lovagemast_node.http._eventqueue import EventQueue

SHORT_S = 0.02
LONG_S = 5.0


def in_loop(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run a test in an event loop of its own."""

    @functools.wraps(test)
    def run(*args: Any) -> None:
        async def run_test() -> None:
            await test(*args)

        asyncio.run(run_test())

    return run


class TestEventQueue:
    """A reader gets each item at once, and learns of silence in time."""

    @in_loop
    async def test_order(self) -> None:
        """Events that came together must not overtake one another."""
        queue: EventQueue[int] = EventQueue()
        for number in range(3):
            queue.put(number)
        assert len(queue) == 3
        assert [await queue.get(SHORT_S) for _ in range(3)] == [0, 1, 2]

    @in_loop
    async def test_item_wakes(self) -> None:
        """An event must be forwarded as it arrives, not at the next timer."""
        queue: EventQueue[int] = EventQueue()
        loop = asyncio.get_running_loop()
        loop.call_later(SHORT_S, queue.put, 7)
        started = loop.time()
        assert await queue.get(LONG_S) == 7
        assert loop.time() - started < LONG_S / 2

    @in_loop
    async def test_silence_after_events(self) -> None:
        """The timer of an earlier wait must not end a later one early."""
        queue: EventQueue[int] = EventQueue()
        loop = asyncio.get_running_loop()
        loop.call_later(0.06, queue.put, 1)
        await queue.get(0.1)
        started = loop.time()
        with pytest.raises(TimeoutError):
            await queue.get(0.1)
        assert loop.time() - started >= 0.099

    @in_loop
    async def test_shorter_wait(self) -> None:
        """A wait must end in time although a later timer is running."""
        queue: EventQueue[int] = EventQueue()
        loop = asyncio.get_running_loop()
        loop.call_later(SHORT_S, queue.put, 1)
        await queue.get(LONG_S)
        started = loop.time()
        with pytest.raises(TimeoutError):
            await queue.get(SHORT_S)
        assert loop.time() - started < LONG_S / 2

    @in_loop
    async def test_cancelled_reader(self) -> None:
        """An item that arrives as its reader is cancelled is not lost."""
        queue: EventQueue[int] = EventQueue()
        reader = asyncio.create_task(queue.get(LONG_S))
        await asyncio.sleep(0)
        queue.put(3)
        reader.cancel()
        with pytest.raises(asyncio.CancelledError):
            await reader
        assert await queue.get(SHORT_S) == 3

    @in_loop
    async def test_close_frees(self) -> None:
        """A timer that goes on would keep each connection for its time."""
        queue: EventQueue[int] = EventQueue()
        asyncio.get_running_loop().call_soon(queue.put, 1)
        await queue.get(LONG_S)
        queue.close()
        known = weakref.ref(queue)
        queue = EventQueue()
        gc.collect()
        assert known() is None
