"""Tells whether this process has just stood still.

A call that is read after a stall may have waited in its socket all the while,
and its caller may have gone on to another VM.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from .._clock import now_s
from ._jsonlog import JsonLog

TICK_INTERVAL_S: Final = 0.1
# Operators wait for a second before they go on to another VM.
STALL_S: Final = 0.5
# After a stall, until all calls that waited during it have been read.
RECOVERY_S: Final = 1.0


class StallDetector:
    """Notices that regular ticks were missed.

    Times are arguments, in s; they count the time of a suspension.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._stalled_until = float('-inf')

    def tick(self, now: float) -> float:
        """Record a tick; return how late it is, in s, at least 0."""
        late_s = max(0.0, now - self._ticked_at - TICK_INTERVAL_S)
        self._ticked_at = now
        if late_s >= STALL_S:
            self._stalled_until = now + RECOVERY_S
        return late_s

    def is_stalled(self, now: float) -> bool:
        """Return whether calls that are read now may have waited for long."""
        if now < self._stalled_until:
            return True
        return now - self._ticked_at - TICK_INTERVAL_S >= STALL_S


async def watch_stalls(
    stalls: StallDetector,
    log: JsonLog,
    part: str,
    record: Callable[[float], None],
) -> None:
    """Tick until cancelled; record how late each tick is, and log stalls."""
    while True:
        late_s = stalls.tick(now_s())
        record(late_s)
        if late_s >= STALL_S:
            log.write(part, 'stalled', late_s=round(late_s, 3))
        await asyncio.sleep(TICK_INTERVAL_S)
