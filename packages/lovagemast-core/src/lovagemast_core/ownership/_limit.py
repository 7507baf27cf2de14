"""Adaptive concurrency limit of a target, based on completed calls."""

from typing import Final

INITIAL_LIMIT: Final = 1
SLOW_FACTOR: Final = 4.0  # times the usual delay; indicates overload
SMOOTHING: Final = 0.1
MIN_SLOW_EXTRA_S: Final = 0.15  # less can be due to the VM's own load
SLOW_CALLS_TO_RESET: Final = 2
MIN_SAMPLES: Final = 20


class ConcurrencyLimit:
    """Concurrency limit that grows to a target's maximum on success.

    Each round of successful calls doubles the limit. A first chunk that
    takes several times the usual delay halves it; two in a row reset it,
    because the target is then in its cold-start state again.
    """

    def __init__(self, maximum: int) -> None:
        self.maximum = maximum
        self.delay_s = 0.0  # smoothed delay of first chunks
        self._samples = 0
        self._slow_in_a_row = 0
        self.reset()

    def reset(self) -> None:
        """Reset to one call, for example after a target restart."""
        self._limit = float(INITIAL_LIMIT)
        self._completed_since_cut = 0

    def resume_from(self, limit: int) -> None:
        """Continue from the limit that the previous owner had reached."""
        self._limit = float(max(INITIAL_LIMIT, min(self.maximum, limit)))

    @property
    def value(self) -> int:
        """Return the number of calls that may run concurrently."""
        return max(INITIAL_LIMIT, min(self.maximum, int(self._limit)))

    def is_at_maximum(self) -> bool:
        """Return whether the limit has reached the target's maximum."""
        return self.value >= self.maximum

    def record_success(self, first_chunk_s: float, *, saturated: bool) -> bool:
        """Record a complete response; return whether the limit was reduced.

        The limit grows only if it was ``saturated``: calls below the limit
        do not show that the target can run more.
        """
        self._completed_since_cut += 1
        if self._is_slow(first_chunk_s):
            self._slow_in_a_row += 1
            if self._slow_in_a_row >= SLOW_CALLS_TO_RESET:
                self.reset()
                return True
            return self._halve()
        self._slow_in_a_row = 0
        self._update_delay(first_chunk_s)
        if saturated and self._limit < self.maximum:
            self._limit += 1
        return False

    def record_failure(self) -> None:
        """Record a call without a complete response."""
        self._halve()

    def _is_slow(self, first_chunk_s: float) -> bool:
        if self._samples < MIN_SAMPLES:
            return False
        extra_s = first_chunk_s - self.delay_s
        slow_s = SLOW_FACTOR * self.delay_s
        return first_chunk_s > slow_s and extra_s > MIN_SLOW_EXTRA_S

    def _halve(self) -> bool:
        if self._completed_since_cut < self._limit:
            return False
        self._limit = max(float(INITIAL_LIMIT), self._limit / 2)
        self._completed_since_cut = 0
        return True

    def _update_delay(self, first_chunk_s: float) -> None:
        self._samples += 1
        weight = max(SMOOTHING, 1 / self._samples)
        self.delay_s += weight * (first_chunk_s - self.delay_s)
