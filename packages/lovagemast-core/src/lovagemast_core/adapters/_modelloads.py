"""Rate limit on loads of base models from the weight store."""

from collections import deque
from typing import Final

from ..deployment import EngineSpec

MODEL_LOAD_WINDOW_S: Final = 5.0  # over which loads are counted
MAX_LOADS_IN_FLIGHT: Final = 2  # more would slow each other down


class ModelLoadLimiter:
    """Limits how many model loads start, over all engines.

    Many engines may restart empty at once, for example when a zone comes
    back. One load per window is always allowed.
    """

    def __init__(self) -> None:
        self._started: deque[float] = deque()

    def loads_allowed(
        self,
        spec: EngineSpec,
        in_flight: int,
        now: float,
    ) -> int:
        """Return how many loads may start now.

        ``in_flight`` is the number of loads that are under way.
        """
        while self._started and now - self._started[0] > MODEL_LOAD_WINDOW_S:
            self._started.popleft()
        allowed = max(1, int(spec.loads_per_s * MODEL_LOAD_WINDOW_S))
        free = min(
            MAX_LOADS_IN_FLIGHT - in_flight,
            allowed - len(self._started),
        )
        return max(0, free)

    def record_load(self, now: float) -> None:
        """Count a load that starts."""
        self._started.append(now)
