"""Tests of what a process tells of turns of its event loop that last long."""

import asyncio
import time
from typing import Any

import pytest
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._metrics import ControlMetrics, EntryMetrics
from lovagemast_node.fleet._stalls import (
    STALL_S,
    TICK_INTERVAL_S,
    StallDetector,
    watch_stalls,
)
from prometheus_client import generate_latest

NOW = 100.0


class Lines:
    """Keeps the lines that are logged."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, prefix: str, msg: str, **_fields: object) -> None:
        """Keep a line."""
        self.lines.append(f'{prefix}: {msg}')


def _bucket(page: str, bound: str) -> float:
    """Return how many ticks were late by a bound at most."""
    name = f'lovagemast_loop_lateness_seconds_bucket{{le="{bound}"}} '
    lines = [line for line in page.splitlines() if line.startswith(name)]
    return float(lines[0].rpartition(' ')[2])


@pytest.mark.parametrize(
    ('elapsed_s', 'late_s'),
    [(0.05, 0.0), (TICK_INTERVAL_S, 0.0), (0.3, 0.2), (2.1, 2.0)],
)
def test_lateness_of_a_tick(elapsed_s: float, late_s: float) -> None:
    """A tick that is early is not late by less than nothing."""
    stalls = StallDetector(NOW)
    assert stalls.tick(NOW + elapsed_s) == pytest.approx(late_s)


@pytest.mark.parametrize('metrics', [EntryMetrics, ControlMetrics])
@pytest.mark.parametrize('part', ['entry', 'control'])
def test_long_turn_is_logged_and_counted(metrics: Any, part: str) -> None:
    """An operator sees which process stood still, and for how long."""
    log: Any = Lines()
    recorded = metrics()

    async def stall() -> None:
        ticks = asyncio.create_task(
            watch_stalls(
                StallDetector(now_s()),
                log,
                part,
                recorded.record_lateness,
            )
        )
        await asyncio.sleep(0)
        time.sleep(STALL_S + 2 * TICK_INTERVAL_S)
        await asyncio.sleep(2 * TICK_INTERVAL_S)
        ticks.cancel()

    asyncio.run(stall())
    assert log.lines[:1] == [f'{part}: stalled']
    page = generate_latest(recorded.registry).decode()
    # One tick at least was later than the largest bound below a stall.
    on_time = _bucket(page, '0.2')
    assert _bucket(page, '+Inf') > on_time
