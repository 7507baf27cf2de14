"""Recent failures of targets, and back-off after lost connections."""

import math
from typing import Final

from .._types import TargetName

DECAY_TIME_S: Final = 4.0  # time constant of the counts' exponential decay
MIN_BACKOFF_S: Final = 0.3
MAX_BACKOFF_S: Final = 4.0
# Successes added to each count, so that a single failure weighs little.
PRIOR_SUCCESSES: Final = 2.0


class _TargetStats:
    """Results of one target's requests; the counts decay over time."""

    def __init__(self, now: float) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.decayed_at = now
        self.backoff_step = 0  # exponent of the next back-off
        self.unreachable_until = 0.0
        self.rejecting_until = 0.0
        self.paused_until = 0.0  # by the target's own wish

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.decayed_at) / DECAY_TIME_S)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at = now


class TargetHealth:
    """Tracks from the results of requests which targets may be used."""

    def __init__(self) -> None:
        self._stats: dict[TargetName, _TargetStats] = {}

    def record_success(self, target: TargetName, now: float) -> None:
        """Record a complete response that was no failure."""
        stats = self._decayed_stats(target, now)
        stats.successes += 1
        stats.backoff_step = 0
        stats.unreachable_until = 0.0

    def record_failure(self, target: TargetName, now: float) -> None:
        """Record a response that was a failure or was incomplete."""
        stats = self._decayed_stats(target, now)
        stats.failures += 1

    def record_unreachable(self, target: TargetName, now: float) -> None:
        """Record that a connection could not be opened or was lost.

        Each such event doubles the back-off, up to a maximum, until the next
        success.
        """
        stats = self._decayed_stats(target, now)
        stats.failures += 1
        backoff = MIN_BACKOFF_S * 2.0**stats.backoff_step
        stats.backoff_step = min(stats.backoff_step + 1, 6)
        stats.unreachable_until = now + min(backoff, MAX_BACKOFF_S)

    def record_reachable(self, target: TargetName) -> None:
        """Record that a connection could be opened after all."""
        stats = self._stats.get(target)
        if stats:
            stats.backoff_step = 0
            stats.unreachable_until = 0.0

    def record_rejection(
        self,
        target: TargetName,
        pause_s: float,
        now: float,
    ) -> None:
        """Record that a target rejected a request without running it.

        It gets no further requests for ``pause_s``.
        """
        self._decayed_stats(target, now).rejecting_until = now + pause_s

    def record_pause(
        self, target: TargetName, pause_s: float, now: float
    ) -> None:
        """Record that a target wants no requests from this VM for a time."""
        stats = self._decayed_stats(target, now)
        stats.paused_until = max(stats.paused_until, now + pause_s)

    def paused_until(self, target: TargetName, now: float) -> float | None:
        """Return when a target's pause ends, ``None`` if it wants none."""
        stats = self._stats.get(target)
        if stats is None or stats.paused_until <= now:
            return None
        return stats.paused_until

    def is_available(self, target: TargetName, now: float) -> bool:
        """Return whether a target is not unreachable, rejecting or paused."""
        stats = self._stats.get(target)
        if stats is None:
            return True
        return now >= max(
            stats.unreachable_until,
            stats.rejecting_until,
            stats.paused_until,
        )

    def is_unreachable(self, target: TargetName, now: float) -> bool:
        """Return whether a target is in back-off after a lost connection."""
        stats = self._stats.get(target)
        return stats is not None and now < stats.unreachable_until

    def unreachable_targets(self, now: float) -> tuple[TargetName, ...]:
        """Return the targets that are in back-off, sorted by name."""
        return tuple(
            target
            for target, stats in sorted(self._stats.items())
            if now < stats.unreachable_until
        )

    def failure_rate(self, target: TargetName, now: float) -> float:
        """Return the fraction of recent requests that failed."""
        stats = self._stats.get(target)
        if stats is None:
            return 0.0
        stats.decay(now)
        return stats.failures / (
            stats.successes + stats.failures + PRIOR_SUCCESSES
        )

    def retain(self, present: set[TargetName], now: float) -> None:
        """Drop the records of targets that are not in ``present``.

        One that wants a pause may only have lost its registration.
        """
        for target in set(self._stats) - present:
            if self._stats[target].paused_until <= now:
                self._stats.pop(target)

    def _decayed_stats(self, target: TargetName, now: float) -> _TargetStats:
        stats = self._stats.setdefault(target, _TargetStats(now))
        stats.decay(now)
        return stats
