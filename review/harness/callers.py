"""Callers that send requests to the entry machines at a steady pace."""

import asyncio
import itertools
from typing import Final

from . import http1
from .record import Record

TIMEOUT_S: Final = 3.0
HOST: Final = 'app.example'
KEY: Final = 'key-of-the-only-tenant'


class Callers:
    """Sends a request to each entry machine in turn, until stopped."""

    def __init__(
        self, fronts: list[str], path: str, interval_s: float, record: Record
    ) -> None:
        self.statuses: dict[str, int] = {}  # by request id, 0 without one
        self.fronts: dict[str, str] = {}  # that each was sent to
        self._fronts = fronts
        self._interval_s = interval_s
        self._path = path
        self._record = record
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> None:
        """Send requests for some seconds, and wait for the responses."""
        ends_at = self._record.now() + duration_s
        while self._record.now() < ends_at:
            task = asyncio.create_task(self.send(next(self._numbers)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)
        await asyncio.gather(*self._tasks)

    async def send(self, number: int) -> int:
        """Send one request and return its status, 0 without a response."""
        request_id = f'r{number:05}'
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(int(TIMEOUT_S * 1000)),
            'Authorization': f'Bearer {KEY}',
        }
        front = self._fronts[number % len(self._fronts)]
        self.fronts[request_id] = front
        response = await http1.call(
            front, 'GET', self._path, headers, timeout_s=TIMEOUT_S
        )
        status = response.status if response else 0
        self.statuses[request_id] = status
        self._record.write(f'{front} answers {status} to {request_id}')
        return status
