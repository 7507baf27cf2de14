"""Finds out which pools this entry VM reaches, by opening connections."""

import asyncio
import random
import secrets
from typing import Final, Protocol

from lovagemast_core.entry import (
    SAMPLE_TARGETS,
    FleetView,
    KnownTarget,
    PathMonitor,
    TargetHealth,
)

from .._clock import now_s
from ..http import TargetPool
from ._jsonlog import JsonLog
from ._metrics import EntryMetrics

PROBE_TIMEOUT_S: Final = 0.4
SILENCE_PROBE_INTERVAL_S: Final = 0.5  # of one target of a pool in reach
ROUND_INTERVAL_S: Final = 1.0  # of a sample of a pool in reach
LOST_PROBE_INTERVAL_S: Final = 0.3  # of a pool that is out of reach
LOST_PROBE_TARGETS: Final = 3  # probed at a time then
# Of smaller pools, silent requests are not given up: a target that stands still
# for a moment can't be told from a lost path.
MIN_POOL_TARGETS: Final = 2


class ProberState(Protocol):
    """What the prober uses of an entry VM."""

    view: FleetView
    health: TargetHealth
    pool: TargetPool
    log: JsonLog
    metrics: EntryMetrics

    def request_sync(self) -> None:
        """Send the next sync request soon."""

    def notify_update(self) -> None:
        """Wake all requests that wait for an update."""


class PathProber:
    """Probes pools after failures, and as long as they are out of reach.

    A probe opens a connection and sends nothing: a slow target passes it.
    """

    def __init__(self, state: ProberState) -> None:
        self.paths = PathMonitor()
        self._state = state
        # When each pool was probed last, in s.
        self._silence_probed_at: dict[str, float] = {}
        self._round_at: dict[str, float] = {}
        self._rounds: dict[str, asyncio.Task[None]] = {}
        self._rng = random.Random(secrets.randbits(64))

    async def run(self) -> None:
        """Probe the pools that are out of reach until cancelled."""
        while True:
            await asyncio.sleep(LOST_PROBE_INTERVAL_S)
            try:
                await self._probe_lost()
            except Exception as exc:  # later probes are needed all the same
                self._state.log.write('paths', 'failed', cause=repr(exc))

    def on_connect_failed(self, known: KnownTarget) -> None:
        """Find out whether a failed attempt to connect is the only one."""
        pool = known.record.pool
        if not self.paths.is_lost(pool):
            self._start_round(pool)

    async def is_lost(self, known: KnownTarget) -> bool:
        """Return whether the pool of a silent request's target is lost."""
        pool = known.record.pool
        if len(self._targets(pool)) < MIN_POOL_TARGETS:
            return False
        if self.paths.is_lost(pool):
            return True
        probed_at = self._silence_probed_at
        if not _is_due(probed_at, pool, SILENCE_PROBE_INTERVAL_S, now_s()):
            return False
        if await self._probe(known):
            return False
        await asyncio.shield(self._start_round(pool))
        return self.paths.is_lost(pool)

    async def _probe_lost(self) -> None:
        lost = self.paths.lost_pools()
        await asyncio.gather(
            *(self._probe_pool(pool, LOST_PROBE_TARGETS) for pool in lost)
        )

    def _start_round(self, pool: str) -> 'asyncio.Task[None]':
        """Return the round in progress, or one that is started now."""
        task = self._rounds.get(pool)
        if task is None:
            task = asyncio.create_task(self._run_round(pool))
            self._rounds[pool] = task
            task.add_done_callback(lambda _task: self._rounds.pop(pool))
        return task

    async def _run_round(self, pool: str) -> None:
        if _is_due(self._round_at, pool, ROUND_INTERVAL_S, now_s()):
            await self._probe_pool(pool, SAMPLE_TARGETS)

    async def _probe_pool(self, pool: str, count: int) -> None:
        """Probe some targets of a pool, all of a small one."""
        targets = self._targets(pool)
        sample = self._rng.sample(targets, min(count, len(targets)))
        answers = await asyncio.gather(*map(self._probe, sample))
        reached = [
            known.record.target
            for known, answered in zip(sample, answers, strict=True)
            if answered
        ]
        size = len(self._targets(pool))
        if self.paths.record_probes(pool, reached, size, now_s()):
            self._on_change(pool)

    async def _probe(self, known: KnownTarget) -> bool:
        """Return whether a connection to a target could be opened."""
        state = self._state
        record = known.record
        if not await state.pool.probe(record.address, PROBE_TIMEOUT_S, now_s()):
            state.health.record_unreachable(record.target, now_s())
            return False
        state.health.record_reachable(record.target)
        return True

    def _targets(self, pool: str) -> list[KnownTarget]:
        return list(self._state.view.find_targets(pool, '', ''))

    def _on_change(self, pool: str) -> None:
        state = self._state
        message = 'pool out of reach'
        if not self.paths.is_lost(pool):
            message = 'pool reached again'
            for known in self._targets(pool):
                state.health.record_reachable(known.record.target)
        state.log.write('paths', message, pool=pool)
        state.metrics.set_lost_pools(len(self.paths.lost_pools()))
        state.request_sync()
        state.notify_update()


def _is_due(
    last: dict[str, float], pool: str, interval_s: float, now: float
) -> bool:
    """Return whether to probe a pool now; if so, record that."""
    if now - last.get(pool, float('-inf')) < interval_s:
        return False
    last[pool] = now
    return True
