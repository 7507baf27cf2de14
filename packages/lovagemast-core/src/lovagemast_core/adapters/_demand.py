"""How often adapters are asked for, with decay."""

import math
from typing import Final

WINDOW_S: Final = 10.0
DECAY_STEP_S: Final = 0.1
LEAST_RATE: Final = 0.01  # requests a second; below, an adapter is forgotten


class DemandMeter:
    """Requests a second by adapter, averaged over a moving window."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}
        self._decayed_at = 0.0

    def note(self, name: tuple[str, str], requests: float, now: float) -> None:
        """Count requests for an adapter."""
        self._decay(now)
        rate = self._rates.get(name, 0.0)
        self._rates[name] = rate + requests / WINDOW_S

    def rate(self, name: tuple[str, str], now: float) -> float:
        """Return the requests a second for an adapter."""
        self._decay(now)
        return self._rates.get(name, 0.0)

    def total(self, now: float) -> float:
        """Return the requests a second for all adapters."""
        self._decay(now)
        return sum(self._rates.values())

    def top(self, count: int, now: float) -> list[tuple[str, str]]:
        """Return the adapters asked for most often."""
        self._decay(now)
        ranked = sorted(self._rates, key=self._rates.__getitem__, reverse=True)
        return ranked[:count]

    def _decay(self, now: float) -> None:
        age = now - self._decayed_at
        if age <= DECAY_STEP_S:
            return
        factor = math.exp(-age / WINDOW_S)
        self._rates = {
            name: rate * factor
            for name, rate in self._rates.items()
            if rate * factor > LEAST_RATE
        }
        self._decayed_at = now
