"""The stand-in infrastructure of a soak, and the checks of its calls."""

import asyncio
import time
from random import Random
from typing import Final

from standins.infrastructure import Mood, StandInInfrastructure

from ._oracle import LEASE_S, Execution

HOST: Final = '127.0.0.31'
WINDOW_S: Final = 5.0
DUE_S: Final = 10.0  # after a window's end
MOODS: Final = (Mood.BUSY, Mood.FAILED, Mood.SILENT, Mood.LOST, Mood.REFUSED)
MOOD_SECONDS: Final = (1.0, 4.0)  # shortest and longest
# Of the requests that workers ran in the reported windows. Those whose
# response was lost, or that a killed VM had not reported, are not counted.
MIN_COUNTED: Final = 0.5


class SoakCloud:
    """Takes calls, and misbehaves at times."""

    def __init__(self, seed: int, former_build: str) -> None:
        self._rng = Random(f'infrastructure {seed}')
        self._cloud = StandInInfrastructure()
        self.address = ''
        # Entry VMs of an earlier build may not count.
        self._min_counted = 0.0 if former_build else MIN_COUNTED

    async def start(self) -> None:
        """Listen."""
        self.address = f'{HOST}:{await self._cloud.start(HOST)}'

    def stop(self) -> None:
        """Close the listener."""
        self._cloud.stop()

    async def misbehave(self, seconds: float) -> None:
        """Answer badly in one part of each quarter of a time."""
        quarter_s = seconds / 4
        await asyncio.gather(
            *(self._disturb(quarter_s, number) for number in range(4))
        )

    def find_violations(
        self, executions: list[Execution], ended_at: float
    ) -> list[str]:
        """Return a description of each violation.

        ``ended_at`` is when the VMs were stopped, by the monotonic clock.
        """
        found = self._cloud.violations(LEASE_S)
        reports = self._cloud.reports()
        if not reports:
            return [*found, 'no usage was reported']
        wall_offset_s = time.time() - time.monotonic()
        last = int((ended_at + wall_offset_s - DUE_S) // WINDOW_S) - 1
        first = min(reports)
        missing = [
            window for window in range(first, last) if window not in reports
        ]
        if missing:
            found.append(f'windows that were never reported: {missing}')
        run = sum(
            first <= int((one.at + wall_offset_s) // WINDOW_S) <= max(reports)
            for one in executions
        )
        counted = sum(sum(counts.values()) for counts in reports.values())
        if not self._min_counted * run <= counted <= len(executions):
            found.append(f'{counted} requests reported, {run} have run')
        return found

    async def _disturb(self, quarter_s: float, number: int) -> None:
        bad_s = min(self._rng.uniform(*MOOD_SECONDS), quarter_s / 2)
        mood = self._rng.choice(MOODS)
        await asyncio.sleep(quarter_s * (number + 1) - bad_s)
        self._cloud.mood = mood
        await asyncio.sleep(bad_s)
        self._cloud.mood = Mood.OK
