"""Sums by key that decay exponentially over time."""

import math
from collections.abc import Hashable, Iterator
from typing import Final, Generic, TypeVar

# The sums are stored scaled up by the growth since a reference time, so that
# time passing costs nothing; beyond this exponent they are scaled again.
MAX_EXPONENT: Final = 30.0
NEGLIGIBLE: Final = 1e-6  # smaller sums are dropped then

_Key = TypeVar('_Key', bound=Hashable)


class DecayingSums(Generic[_Key]):
    """Sums by key; each falls to 1/e within the time constant."""

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._reference_s = 0.0
        self._scaled: dict[_Key, float] = {}
        self._scaled_total = 0.0

    def __iter__(self) -> Iterator[_Key]:
        """Return the keys that have a sum."""
        return iter(self._scaled)

    def __contains__(self, key: object) -> bool:
        """Return whether a key has a sum."""
        return key in self._scaled

    def add(self, key: _Key, amount: float, now: float) -> None:
        """Add to the sum of a key."""
        if self._exponent(now) > MAX_EXPONENT:
            self._rescale(now)
        scaled = amount * math.exp(self._exponent(now))
        self._scaled[key] = self._scaled.get(key, 0.0) + scaled
        self._scaled_total += scaled

    def get(self, key: _Key, now: float) -> float:
        """Return the sum of a key."""
        return self._scaled.get(key, 0.0) * math.exp(-self._exponent(now))

    def total(self, now: float) -> float:
        """Return the sum over all keys."""
        return self._scaled_total * math.exp(-self._exponent(now))

    def _exponent(self, now: float) -> float:
        return (now - self._reference_s) / self._time_constant_s

    def _rescale(self, now: float) -> None:
        factor = math.exp(-self._exponent(now))
        scaled = {key: old * factor for key, old in self._scaled.items()}
        self._scaled = {
            key: new for key, new in scaled.items() if new > NEGLIGIBLE
        }
        self._scaled_total = sum(self._scaled.values())
        self._reference_s = now
