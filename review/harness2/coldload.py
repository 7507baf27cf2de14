"""Clients of streams, and the rule on what a cold worker may get.

FAILBACK: "A cold worker gets more requests in one second than ``coldPerS`` x
``coldOverage`` + ``coldSlack``, summed over all machines, in touch or not.
Counted are requests that were sent and arrived inside that second."
"""

import asyncio
import contextlib
import json
import time
from collections import Counter
from typing import Final

from .deployment import (
    COLD_PER_S,
    STREAM_PATH,
    STREAM_TIMEOUT_S,
    request_headers,
)
from .http1 import Channel
from .record import Record
from .worker import MODEL

COLD_OVERAGE: Final = 1.5
COLD_SLACK: Final = 5
MAX_PER_S: Final = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
WINDOW_S: Final = 1.0


class StreamClients:
    """Clients that ask for streams at a steady rate."""

    def __init__(self, fronts: list[str], per_s: float, record: Record) -> None:
        self._record = record
        self._fronts = fronts
        self._per_s = per_s
        self.sent_at: dict[str, float] = {}  # by the request's id
        self.statuses: Counter[int] = Counter()

    async def run(self, duration_s: float) -> None:
        """Send to the entry VMs in turn, each on a new channel."""
        tasks = []
        started_at = time.monotonic()
        for index in range(int(self._per_s * duration_s)):
            front = self._fronts[index % len(self._fronts)]
            tasks.append(asyncio.create_task(self._send(front)))
            due_at = started_at + (index + 1) / self._per_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        await asyncio.gather(*tasks)

    async def _send(self, front: str) -> None:
        headers = request_headers(
            X_Model=MODEL,
            X_Token_Count='60,40',
            X_Prompt_Prefix='5c1e07a2:40,91bd3f06:20',
            X_Deadline_Ms=str(int(STREAM_TIMEOUT_S * 1000)),
        )
        status = 0
        errors = (OSError, TimeoutError, asyncio.IncompleteReadError)
        with contextlib.suppress(*errors):
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                status = await self._exchange(front, headers)
        self.statuses[status] += 1
        self._record.write(f'{headers["X-Request-Id"]} status {status}')

    async def _exchange(self, front: str, headers: dict[str, str]) -> int:
        channel = await Channel.open(front)
        self.sent_at[headers['X-Request-Id']] = time.time()
        try:
            channel.send('POST', f'{STREAM_PATH}s', headers, b'{}')
            head = await channel.read_head()
            await channel.read_body(head)
        finally:
            channel.close()
        return head.status


class Arrivals:
    """What one worker got, from the lines that it wrote."""

    def __init__(self, log: str, sent_at: dict[str, float]) -> None:
        lines = (json.loads(line) for line in log.splitlines())
        self._both = sorted(
            (line['at'], sent_at.get(line['run'], 0.0))
            for line in lines
            if 'run' in line
        )

    def __len__(self) -> int:
        """Return the number of all requests."""
        return len(self._both)

    def most_in_a_second(self, begin: float, end: float) -> int:
        """Return the most that were sent and arrived inside one second.

        The second lies between two moments, by the time of day.
        """
        most = 0
        for since, _sent in self._both:
            # The window ends with the last arrival, and begins before all
            # that were sent in it.
            until = since
            begins = max(begin, until - WINDOW_S)
            if not begin <= until <= end:
                continue
            count = sum(
                begins <= at <= until and sent >= begins
                for at, sent in self._both
            )
            most = max(most, count)
        return most
