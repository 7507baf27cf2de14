"""Benchmark of concurrent streams: processor time and time between chunks.

Starts a daemon, an engine that sends a chunk every 35 ms on each stream and
client processes, all on loopback, and prints one JSON object.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import sys
import time
from itertools import pairwise
from multiprocessing.pool import AsyncResult
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp

from standins.fleet import CALLER_KEY, MODEL, TARGET_OFFSET, Fleet, Layout

PORT: Final = 18_080
STEP_S: Final = 0.035
IDLE_MEASUREMENT_S: Final = 5.0
PROXY: Final = 'proxy'
PROXY_START_S: Final = 2.0
CLIENT_PROCESSES: Final = 3
WARM_UP_S: Final = 16.0
WARM_UP_TOKENS: Final = 30
RAMP_UP_S: Final = 2.0  # over which the streams of a run start
WARM_UP_CALLERS: Final = 700
P95: Final = 0.95
CLOCK_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')


class StreamTimes(NamedTuple):
    """What a client observed on one stream."""

    first_s: float
    gaps_s: list[float]
    complete: bool


class Usage(NamedTuple):
    """A process's processor time and resident memory."""

    processor_s: float
    resident_bytes: int

    @classmethod
    def from_pid(cls, pid: int) -> 'Usage':
        """Read the usage of a process."""
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        words = fields.split()
        ticks = int(words[11]) + int(words[12])
        pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
        return cls(ticks / CLOCK_TICKS_PER_S, pages * PAGE_BYTES)


def p95(values: list[float]) -> float:
    """Return the 95th percentile."""
    ranked = sorted(values)
    return ranked[int(P95 * (len(ranked) - 1))]


async def read_stream(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    tokens: int,
) -> StreamTimes:
    """Read one stream and check that it is complete and in order."""
    document = {
        'model': model,
        'prompt': 'x',
        'max_tokens': tokens,
        'stream': True,
    }
    sent_at = time.perf_counter()
    times: list[float] = []
    received = bytearray()
    async with session.post(url, json=document) as reply:
        async for chunk in reply.content.iter_any():
            times.append(time.perf_counter())
            received += chunk
    events = bytes(received).split(b'\n\n')[:-1]
    texts = [json.loads(event[6:]) for event in events[:-1]]
    words = [text['choices'][0]['text'].strip() for text in texts]
    in_order = words[1:] == [f'w{number}' for number in range(1, tokens)]
    complete = in_order and events[-1] == b'data: [DONE]'
    gaps = [later - earlier for earlier, later in pairwise(times)]
    return StreamTimes(times[0] - sent_at, gaps, complete)


async def read_streams(
    url: str,
    model: str,
    count: int,
    tokens: int,
    ramp_up_s: float = RAMP_UP_S,
) -> list[StreamTimes]:
    """Read concurrent streams, which start one after the other."""
    connector = aiohttp.TCPConnector(limit=0)
    headers = {'Authorization': f'Bearer {CALLER_KEY}'}
    async with aiohttp.ClientSession(
        connector=connector,
        headers=headers,
    ) as session:
        tasks = []
        for _ in range(count):
            reading = read_stream(session, url, model, tokens)
            tasks.append(asyncio.create_task(reading))
            await asyncio.sleep(ramp_up_s / count)
        return await asyncio.gather(*tasks)


def run_client(
    url: str,
    model: str,
    count: int,
    tokens: int,
) -> list[StreamTimes]:
    """Read streams; runs in a client process."""
    return asyncio.run(read_streams(url, model, count, tokens))


def warm_up(url: str) -> None:
    """Send short requests until the VM has raised the engine's limit."""
    deadline = time.monotonic() + WARM_UP_S
    while time.monotonic() < deadline:
        asyncio.run(
            read_streams(url, MODEL, WARM_UP_CALLERS, WARM_UP_TOKENS, 0),
        )


class StreamBench:
    """Measures a daemon or a proxy in front of one engine."""

    def __init__(self, fleet: Fleet, name: str = 'vm1') -> None:
        self._pid = fleet.processes[name].pid
        port = fleet.layout.port
        self.model = MODEL
        self.url = f'http://127.0.0.1:{port}/v1/completions'
        if name == PROXY:
            self.model = MODEL.partition(':')[2]
            self.url = f'http://127.0.0.1:{port + 1}/v1/completions'
        engine_port = port + TARGET_OFFSET + 1
        self._direct_url = f'http://127.0.0.1:{engine_port}/v1/completions'

    def measure(self, streams: int, tokens: int) -> dict[str, Any]:
        """Run streams through the VM, then directly to the engine."""
        before = Usage.from_pid(self._pid)
        via_vm = self._run(self.url, self.model, streams, tokens)
        after = Usage.from_pid(self._pid)
        label = MODEL.partition(':')[2]
        direct = self._run(self._direct_url, label, streams, tokens)
        chunks = streams * (tokens + 1)
        processor_s = after.processor_s - before.processor_s
        return {
            'streams': streams,
            'whole': sum(1 for one in via_vm if one.complete),
            'gap_p95_ms': _ms(p95(_gaps(via_vm))),
            'gap_p95_direct_ms': _ms(p95(_gaps(direct))),
            'first_p95_ms': _ms(p95([one.first_s for one in via_vm])),
            'first_p95_direct_ms': _ms(p95([one.first_s for one in direct])),
            'processor_us_per_chunk': round(processor_s / chunks * 1e6, 1),
            'resident_mb': round(after.resident_bytes / 1e6, 1),
        }

    def idle(self, seconds: float) -> dict[str, Any]:
        """Return the processor time and memory of an idle daemon."""
        before = Usage.from_pid(self._pid)
        time.sleep(seconds)
        after = Usage.from_pid(self._pid)
        spent = after.processor_s - before.processor_s
        return {
            'idle_core_percent': round(spent / seconds * 100, 2),
            'idle_resident_mb': round(after.resident_bytes / 1e6, 1),
        }

    def _run(
        self,
        url: str,
        model: str,
        streams: int,
        tokens: int,
    ) -> list[StreamTimes]:
        clients = min(CLIENT_PROCESSES, streams)
        context = multiprocessing.get_context('spawn')
        with context.Pool(clients) as pool:
            started: list[AsyncResult[list[StreamTimes]]] = [
                pool.apply_async(
                    run_client,
                    (url, model, share, tokens),
                )
                for share in _shares(streams, clients)
            ]
            return [one for client in started for one in client.get()]


def _shares(streams: int, clients: int) -> list[int]:
    bounds = [streams * number // clients for number in range(clients + 1)]
    return [end - start for start, end in pairwise(bounds)]


def _gaps(times: list[StreamTimes]) -> list[float]:
    return [gap for one in times for gap in one.gaps_s]


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 2)


def run_bench(sizes: list[int], tokens: int) -> dict[str, Any]:
    """Measure an idle daemon and runs with different numbers of streams."""
    layout = Layout(
        PORT,
        engines=1,
        step_s=STEP_S,
        step_growth=0,
        max_in_flight=1000,
        rate=2_000_000,
    )
    fleet = Fleet(layout)
    try:
        return _measure_fleet(fleet, sizes, tokens)
    finally:
        fleet.stop()


def _measure_fleet(
    fleet: Fleet,
    sizes: list[int],
    tokens: int,
) -> dict[str, Any]:
    fleet.start()
    fleet.wait_for_vms()
    fleet.apply_template()
    fleet.wait_for_targets()
    bench = StreamBench(fleet)
    measured: dict[str, Any] = bench.idle(IDLE_MEASUREMENT_S)
    warm_up(bench.url)
    measured['sizes'] = [bench.measure(size, tokens) for size in sizes]
    fleet.start_program(
        PROXY,
        'bench.thread_proxy',
        *('--port', str(PORT + 1)),
        *('--engine', f'127.0.0.1:{PORT + TARGET_OFFSET + 1}'),
    )
    time.sleep(PROXY_START_S)
    proxy = StreamBench(fleet, PROXY)
    measured['threads'] = [proxy.measure(size, tokens) for size in sizes]
    return measured


def main() -> int:
    """Run the benchmark and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='100,300,600')
    parser.add_argument('--tokens', type=int, default=200)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(',')]
    json.dump(run_bench(sizes, options.tokens), sys.stdout, indent=2)
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
