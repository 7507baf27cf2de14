"""How many calls a target can bear, found out from completed work."""

from typing import Final

FIRST_LIMIT: Final = 1
SLOW_FACTOR: Final = 4.0  # a first chunk this much later means overload
SMOOTHING: Final = 0.1
SLOW_EXTRA_S: Final = 0.15  # shorter waits come from the VM's own load
SLOW_TO_RESET: Final = 2
MIN_SAMPLES: Final = 20


class ConcurrencyLimit:
    """Grows from one call to a target's maximum while calls succeed.

    Each round of successful calls doubles the limit. A first chunk that
    takes several times the usual delay halves it, two in a row reset it:
    the target has fallen back into cold start.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.delay_s = 0.0  # smoothed delay of first chunks
        self._samples = 0
        self._slow_in_a_row = 0
        self.reset()

    def reset(self) -> None:
        """Start again from one call, as after a restart of the target."""
        self._limit = float(FIRST_LIMIT)
        self._since_cut = 0

    def start_from(self, limit: int) -> None:
        """Go on from the limit that the last owner had reached."""
        self._limit = float(max(FIRST_LIMIT, min(self.maximum, limit)))

    @property
    def value(self) -> int:
        """Return how many calls may run at once."""
        return max(FIRST_LIMIT, min(self.maximum, int(self._limit)))

    def is_warm(self) -> bool:
        """Return whether the limit has reached the target's maximum."""
        return self.value >= self.maximum

    def succeeded(self, first_chunk_s: float, *, saturated: bool) -> bool:
        """Count a whole answer; return whether the limit was cut.

        Only a ``saturated`` limit grows: unused room proves nothing.
        """
        self._since_cut += 1
        if self._is_slow(first_chunk_s):
            self._slow_in_a_row += 1
            if self._slow_in_a_row >= SLOW_TO_RESET:
                self.reset()
                return True
            return self._cut()
        self._slow_in_a_row = 0
        self._learn(first_chunk_s)
        if saturated and self._limit < self.maximum:
            self._limit += 1
        return False

    def failed(self) -> None:
        """Count a call that the target did not answer whole."""
        self._cut()

    def _is_slow(self, first_chunk_s: float) -> bool:
        if self._samples < MIN_SAMPLES:
            return False
        extra_s = first_chunk_s - self.delay_s
        slow_s = SLOW_FACTOR * self.delay_s
        return first_chunk_s > slow_s and extra_s > SLOW_EXTRA_S

    def _cut(self) -> bool:
        if self._since_cut < self._limit:
            return False
        self._limit = max(float(FIRST_LIMIT), self._limit / 2)
        self._since_cut = 0
        return True

    def _learn(self, first_chunk_s: float) -> None:
        self._samples += 1
        weight = max(SMOOTHING, 1 / self._samples)
        self.delay_s += weight * (first_chunk_s - self.delay_s)
