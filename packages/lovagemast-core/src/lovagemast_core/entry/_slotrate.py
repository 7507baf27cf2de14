"""The rate at which a pool's targets take work while requests wait for them.

While nothing waits, the rate of sends is that of the arrivals and says nothing
of what the targets could take, so only the time in which requests wait counts.
"""

import math
from typing import Final

RATE_TIME_CONSTANT_S: Final = 2.0  # over which the rate is averaged
# With less waiting time on record the rate is not known yet: at a few sends
# per second it would be that of one or two requests.
MIN_EVIDENCE_S: Final = 0.5


class SlotRate:
    """Work per second that targets take, measured while requests wait."""

    def __init__(self) -> None:
        self._work = 0.0
        self._busy_s = 0.0
        self._is_busy = False
        self._updated_at = 0.0

    def set_busy(self, now: float, *, is_busy: bool) -> None:
        """Record whether requests wait from now on."""
        self._advance(now)
        self._is_busy = is_busy

    def record_send(self, work: float, now: float) -> None:
        """Count the work of a request that a target takes."""
        self._advance(now)
        if self._is_busy:
            self._work += work

    def per_s(self, now: float) -> float | None:
        """Return the rate, ``None`` if too little is known."""
        self._advance(now)
        if self._busy_s < MIN_EVIDENCE_S:
            return None
        return self._work / self._busy_s

    def _advance(self, now: float) -> None:
        passed_s = max(0.0, now - self._updated_at)
        factor = math.exp(-passed_s / RATE_TIME_CONSTANT_S)
        self._work *= factor
        self._busy_s *= factor
        if self._is_busy:
            # The integral of the decay over the time that has passed.
            self._busy_s += RATE_TIME_CONSTANT_S * (1 - factor)
        self._updated_at = now
