"""Exponentially decayed request rates of adapters."""

import math
from typing import Final

RATE_TIME_CONSTANT_S: Final = 10.0  # time constant of the decay
DECAY_STEP_S: Final = 0.1  # between updates of all rates
MIN_TRACKED_RATE: Final = 0.01  # requests/s; adapters below it are dropped


class DemandMeter:
    """Requests per second for each adapter, as exponential moving averages.

    Adapters are named by their model and adapter name.
    """

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}
        self._decayed_at = 0.0
        self._recorded: set[tuple[str, str]] = set()  # since the last decay
        self._has_decayed = True  # since the changes were taken

    def record(
        self,
        name: tuple[str, str],
        requests: float,
        now: float,
    ) -> None:
        """Count requests for an adapter."""
        self._decay(now)
        rate = self._rates.get(name, 0.0)
        self._rates[name] = rate + requests / RATE_TIME_CONSTANT_S
        self._recorded.add(name)

    def take_changes(self, now: float) -> set[tuple[str, str]] | None:
        """Return the adapters whose rates have changed since the last call.

        It is ``None`` if all have decayed.
        """
        self._decay(now)
        changes = None if self._has_decayed else self._recorded
        self._has_decayed = False
        self._recorded = set()
        return changes

    def rate(self, name: tuple[str, str], now: float) -> float:
        """Return the requests per second for an adapter."""
        self._decay(now)
        return self._rates.get(name, 0.0)

    def total(self, now: float) -> float:
        """Return the requests per second for all adapters."""
        self._decay(now)
        return sum(self._rates.values())

    def most_requested(
        self, count: int, min_rate: float, now: float
    ) -> list[tuple[str, str]]:
        """Return up to ``count`` adapters, the most requested first.

        Those with a lower rate than ``min_rate`` are left out.
        """
        self._decay(now)
        rates = self._rates
        names = [name for name, rate in rates.items() if rate >= min_rate]
        names.sort(key=rates.__getitem__, reverse=True)
        return names[:count]

    def _decay(self, now: float) -> None:
        age = now - self._decayed_at
        if age <= DECAY_STEP_S:
            return
        factor = math.exp(-age / RATE_TIME_CONSTANT_S)
        self._rates = {
            name: rate * factor
            for name, rate in self._rates.items()
            if rate * factor > MIN_TRACKED_RATE
        }
        self._decayed_at = now
        self._has_decayed = True
        self._recorded.clear()
