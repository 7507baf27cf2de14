"""How often models may be loaded from the weight store."""

from collections import deque
from typing import Final

from ..deployment import EngineSpec

WINDOW_S: Final = 5.0  # over which the store's rate is counted
LOADS_IN_FLIGHT: Final = 2  # the store serves few at full speed


class StoreRate:
    """Bounds the loads of models that begin, over all engines.

    Answers the load of many engines that restart empty at once, as after a
    zone's return. One load in each window is always allowed.
    """

    def __init__(self) -> None:
        self._begun: deque[float] = deque()

    def room(self, spec: EngineSpec, in_flight: int, now: float) -> int:
        """Return how many loads may begin now."""
        while self._begun and now - self._begun[0] > WINDOW_S:
            self._begun.popleft()
        allowed = max(1, int(spec.loads_per_s * WINDOW_S))
        room = min(LOADS_IN_FLIGHT - in_flight, allowed - len(self._begun))
        return max(0, room)

    def note(self, now: float) -> None:
        """Count a load that begins."""
        self._begun.append(now)
