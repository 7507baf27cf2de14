"""A queue for one reader that waits for a limited time.

A stream has tens of events per second, and a timer for each would mostly be
cancelled. One timer covers many waits: when it runs out, it checks the deadline
of the current one.
"""

import asyncio
from collections import deque
from typing import Generic, TypeVar

from ._turnshare import TurnShare

Item = TypeVar('Item')


class EventQueue(Generic[Item]):
    """Items in the order in which they were put."""

    def __init__(self) -> None:
        self._items: deque[Item] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._turn = TurnShare()
        self._deadline = 0.0  # s, by the loop's clock, of the current wait

    def __len__(self) -> int:
        """Return the number of items that were not taken."""
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add an item, and wake the reader."""
        self._items.append(item)
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self, timeout_s: float | None = None) -> Item:
        """Wait for an item and remove it.

        Items that are there already are taken a few in a turn of the loop.

        Raises :exc:`TimeoutError` if none comes in time.
        """
        if self._items:
            await self._turn.take()
        else:
            await self._wait(timeout_s)
            self._turn.restart()
        return self._items.popleft()

    def close(self) -> None:
        """Stop the timer, which would keep the reader's objects alive."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    async def _wait(self, timeout_s: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._deadline = float('inf')
        if timeout_s is not None:
            self._deadline = loop.time() + timeout_s
            if self._timer and self._timer.when() > self._deadline:
                self.close()
            if self._timer is None:
                self._timer = loop.call_at(self._deadline, self._on_timer)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return  # the next wait starts another timer
        loop = asyncio.get_running_loop()
        if loop.time() >= self._deadline:
            self._waiter.set_exception(TimeoutError())
        elif self._deadline < float('inf'):
            self._timer = loop.call_at(self._deadline, self._on_timer)
