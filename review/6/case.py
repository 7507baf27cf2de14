"""A worker in trouble sends bytes without end, in the pieces of a stream."""

import asyncio
import contextlib
import sys
import time
from typing import Final

from review.harness2.cluster import Cluster
from review.harness2.deployment import (
    STREAM_PATH,
    STREAM_TIMEOUT_S,
    WorkerSpec,
    request_headers,
    start_workers,
    wait_until_serving,
)
from review.harness2.http1 import Channel
from review.harness2.ordinary import OrdinaryClients
from review.harness2.record import (
    BROKEN,
    HELD,
    NOT_RUN,
    Record,
    has_trouble,
)
from review.harness2.runner import run_case
from review.harness2.worker import MODEL

DURATION_S: Final = 15.0
STREAMS: Final = 20
STREAM_INTERVAL_S: Final = 0.5
# Clients abandon a stream after two seconds, four times the objective or
# eight times the allowed pause without an event, whichever is longest.
GAP_S: Final = 2.4


class StreamClients:
    """Clients of the route ``lm``, each with a channel of its own."""

    def __init__(self, front: str, record: Record) -> None:
        self._front = front
        self._record = record

    async def run(self) -> None:
        """Send streams one after the other, without waiting for their end."""
        tasks = []
        for _index in range(STREAMS):
            tasks.append(asyncio.create_task(self._stream()))
            await asyncio.sleep(STREAM_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _stream(self) -> None:
        headers = request_headers(
            X_Model=MODEL,
            X_Token_Count='60,40',
            X_Prompt_Prefix='5c1e07a2:40,91bd3f06:20',
            X_Deadline_Ms=str(int(STREAM_TIMEOUT_S * 1000)),
        )
        request_id = headers['X-Request-Id']
        started_at = time.monotonic()
        end = 'abandoned'
        errors = (OSError, TimeoutError, asyncio.IncompleteReadError)
        channel = await Channel.open(self._front)
        with contextlib.suppress(*errors):
            async with asyncio.timeout(GAP_S):
                channel.send('POST', f'{STREAM_PATH}s', headers, b'{}')
                head = await channel.read_head()
            events = 0
            if 'content-length' not in head.headers:
                events = await self._read_events(channel)
            end = f'status {head.status}, {events} events'
        channel.close()
        took_s = time.monotonic() - started_at
        self._record.write(f'stream {request_id} {end} after {took_s:.3f} s')

    async def _read_events(self, channel: Channel) -> int:
        events = 0
        while True:
            async with asyncio.timeout(GAP_S):
                chunk = await channel.read_chunk()
            if not chunk:
                return events
            events += chunk.count(b'\n\n')


async def play(cluster: Cluster, record: Record) -> int:
    """Play the case and return the exit status."""
    trouble = 'endless' if has_trouble() else ''
    cluster.start()
    specs = [
        WorkerSpec('lm-1', 's-lm'),
        WorkerSpec('lm-2', 's-lm', trouble),
        WorkerSpec('app-1', 's-app'),
        WorkerSpec('app-2', 's-app'),
    ]
    start_workers(cluster, specs)
    if not await wait_until_serving(cluster):
        record.write('not run: the deployment did not start')
        return NOT_RUN
    front = f'{cluster.entries[0]}:{cluster.front_port}'
    ordinary = OrdinaryClients(front, record)
    await ordinary.open()
    await asyncio.sleep(1.0)
    record.write(f'begins, lm-2 in trouble: {trouble or "no"}')
    streams = StreamClients(front, record)
    await asyncio.gather(ordinary.run(DURATION_S), streams.run())
    for spec in specs:
        runs = cluster.log_of(spec.name).count('"run"')
        record.write(f'{spec.name} ran {runs} requests')
    is_broken = ordinary.breaks_rule()
    record.write('CONFIG broken' if is_broken else 'CONFIG held')
    return BROKEN if is_broken else HELD


if __name__ == '__main__':
    sys.exit(run_case(__file__, play))
