"""Tests of an entry VM that is cut off from all targets, as real processes."""

import asyncio
import secrets
import time
from itertools import product
from pathlib import Path

import aiohttp
import pytest

from soak._callers import OK
from soak._cluster import ENTRIES, HOST, MODEL, SoakCluster
from soak._plan import CUTS, Cut

CONTACT_S = 3.0  # by which the others have to serve the VM's callers
START_TIMEOUT_S = 25.0
CALLS = 24
SERVED_FRACTION = 2 / 3
TIMEOUT_S = 4.0
PAUSE_S = 0.05
BODIES = {'list': b'', 'plain': b'{}', 'lm': b'{}', 'once': b'{}'}


class Play:
    """A cluster with callers that send first attempts to one entry VM."""

    def __init__(self, folder: Path) -> None:
        self.cluster = SoakCluster(folder, engines=3)

    async def start(self) -> None:
        """Start all processes and wait until they serve."""
        await self.cluster.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._put_config():
                await asyncio.sleep(0.5)
            for vm, route in product(ENTRIES, BODIES):
                await self._wait_served(vm, route)

    async def call(self, vm: str, route: str) -> int:
        """Send one request; return the status, 0 unless it ends whole."""
        request_id = secrets.token_hex(8)
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'Authorization': 'Bearer k1',
            'X-Deadline-Ms': str(int(TIMEOUT_S * 1_000)),
        }
        if route in {'lm', 'once'}:
            headers['X-Model'] = f'{MODEL}/a1'
            headers['X-Token-Count'] = '10,10'
        method = 'GET' if route == 'list' else 'POST'
        port = self.cluster.ports.front
        url = f'http://{vm}:{port}/{route}/{request_id}'
        timeout = aiohttp.ClientTimeout(TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, headers=headers, data=BODIES[route]
                ) as answer,
            ):
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def served(self, vm: str, route: str) -> int:
        """Return how many of ``CALLS`` requests are served."""
        calls = []
        for _number in range(CALLS):
            calls.append(asyncio.create_task(self.call(vm, route)))
            await asyncio.sleep(PAUSE_S)
        return (await asyncio.gather(*calls)).count(OK)

    def runs(self) -> list[str]:
        """Return the paths of all runs at all workers."""
        workers = self.cluster.all_workers()
        return [run.path for one in workers for run in one.request_log]

    async def _wait_served(self, vm: str, route: str) -> None:
        while await self.call(vm, route) != OK:
            await asyncio.sleep(0.2)

    def _put_config(self) -> bool:
        version = int(time.monotonic() * 1_000)
        return self.cluster.put_config('127.0.0.11', version, ('k1',)) == OK


@pytest.mark.parametrize('cut', CUTS)
def test_callers_of_a_cut_entry_vm_are_served(tmp_path: Path, cut: Cut) -> None:
    """Its callers are served as often as those of others, on all routes."""

    async def play() -> tuple[dict[str, int], dict[str, int], list[str]]:
        one = Play(tmp_path)
        try:
            await one.start()
            one.cluster.cut(ENTRIES[0], cut)
            warm_up = [one.served(ENTRIES[0], route) for route in BODIES]
            await asyncio.gather(asyncio.sleep(CONTACT_S), *warm_up)
            during = {
                route: await one.served(ENTRIES[0], route) for route in BODIES
            }
            one.cluster.cut(ENTRIES[0], Cut.NONE)
            await asyncio.sleep(CONTACT_S)
            after = {
                route: await one.served(ENTRIES[0], route) for route in BODIES
            }
            return during, after, one.runs()
        finally:
            one.cluster.stop()

    during, after, runs = asyncio.run(play())
    assert min(during.values()) >= SERVED_FRACTION * CALLS, during
    assert min(after.values()) >= SERVED_FRACTION * CALLS, after
    once = [path for path in runs if path.startswith(('/plain/', '/once/'))]
    assert len(once) == len(set(once))
