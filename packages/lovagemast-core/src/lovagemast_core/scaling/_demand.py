"""Demand over time: its recent peak, and how it grows.

Load that it handles: waves with periods up to 12 s, bursts of a few seconds,
steps and ramps. A wave must not look like growth: the slope of its rising half,
projected over a boot time of the same order, would order twice the targets that
are needed.
"""

import math
from collections import deque
from typing import Final

# Demand is averaged over this time, in s: counts of the sync arrive in steps
# some tenths of a second apart.
SMOOTHING_S: Final = 1.0
# Two waves, so that the peak does not depend on their phase.
MIN_HOLD_S: Final = 24.0
# A decrease waits for this many boot times of low demand: undoing it takes one.
HOLD_BOOTS: Final = 3.0
HOLD_BUCKETS: Final = 48
# Growth counts if the peak rises over three such periods in a row, together
# longer than a wave: one of them then holds the wave's former crest.
TREND_PERIOD_S: Final = 5.0
# Growth is projected only if demand exceeds the earlier peak by this factor, so
# that waves up to the length of the whole window are not projected either.
NEW_PEAK: Final = 1.02
TREND_PERIODS: Final = 3
# Growth has to go on in the last periods of this length. After a step, the
# longer periods show a rise that is over.
RECENT_PERIOD_S: Final = 1.5
# Of the demand; less growth within a boot time is within the headroom.
MIN_GROWTH: Final = 0.1
TREND_BUCKETS: Final = 24
# Without a measurement for this long, the peak may have been missed.
MAX_GAP_S: Final = 3.0


class Peaks:
    """The highest values of consecutive buckets of time."""

    def __init__(self, length_s: float, buckets: int) -> None:
        self._length_s = length_s
        self._width_s = length_s / buckets
        self._peaks: deque[tuple[float, float]] = deque()  # start, peak

    def record(self, measured: float, now: float) -> None:
        """Record a value of this moment."""
        peaks = self._peaks
        if peaks and now - peaks[-1][0] < self._width_s:
            start, peak = peaks.pop()
            peaks.append((start, max(peak, measured)))
        else:
            peaks.append((now, measured))
        while peaks[0][0] < now - self._length_s - self._width_s:
            peaks.popleft()

    def between(self, since: float, until: float) -> float:
        """Return the peak of the buckets that start in a span, 0 if none."""
        return max(
            (peak for start, peak in self._peaks if since < start <= until),
            default=0.0,
        )

    def clear(self) -> None:
        """Forget all values."""
        self._peaks.clear()


class DemandWindow:
    """The recent demand of a pool, or of one of its availability zones.

    It is given in requests at a time.
    """

    def __init__(self, boot_s: float) -> None:
        self.hold_s = max(MIN_HOLD_S, HOLD_BOOTS * boot_s)
        self._boot_s = boot_s
        self._hold = Peaks(self.hold_s, HOLD_BUCKETS)
        self._trend = Peaks(TREND_PERIOD_S * TREND_PERIODS, TREND_BUCKETS)
        self._smoothed = 0.0
        self._since: float | None = None  # s, of uninterrupted measurement
        self._measured_at = 0.0  # s

    def record(self, demand: float, now: float) -> None:
        """Record the demand of this moment."""
        elapsed_s = now - self._measured_at
        if self._since is None or elapsed_s > MAX_GAP_S:
            self._since = now
            self._smoothed = demand
            self._hold.clear()
            self._trend.clear()
        else:
            weight = 1.0 - math.exp(-max(0.0, elapsed_s) / SMOOTHING_S)
            self._smoothed += weight * (demand - self._smoothed)
        self._measured_at = now
        self._hold.record(self._smoothed, now)
        self._trend.record(self._smoothed, now)

    def may_decrease(self, now: float) -> bool:
        """Return whether demand is known for long enough and not rising."""
        if self._since is None or now - self._since < self.hold_s:
            return False
        return not self._is_new_peak(now)

    def peak(self, now: float) -> float:
        """Return the highest demand of the last ``hold_s``."""
        return self._hold.between(now - self.hold_s, now)

    def projected(self, now: float) -> float:
        """Return the demand to expect once targets ordered now serve."""
        growth = self._growth_per_s(now) * self._boot_s
        if growth < MIN_GROWTH * self._smoothed:
            return self._smoothed
        return self._smoothed + growth

    def _is_new_peak(self, now: float) -> bool:
        """Return whether demand is higher than it was in the window."""
        former = self._hold.between(now - self.hold_s, now - TREND_PERIOD_S)
        return self._smoothed > NEW_PEAK * former

    def _growth_per_s(self, now: float) -> float:
        """Return by how much the peak rises, at least, in each period."""
        known_s = 0.0 if self._since is None else now - self._since
        if known_s < TREND_PERIOD_S * TREND_PERIODS:
            return 0.0
        if not self._is_new_peak(now):
            return 0.0
        rises = (
            self._rise_per_s(now, TREND_PERIOD_S),
            self._rise_per_s(now - TREND_PERIOD_S, TREND_PERIOD_S),
            self._rise_per_s(now, RECENT_PERIOD_S),
        )
        return max(0.0, min(rises))

    def _rise_per_s(self, end: float, period_s: float) -> float:
        """Return the rise of the peak from the period before to the last."""
        start = end - period_s
        last = self._trend.between(start, end)
        return (last - self._trend.between(start - period_s, start)) / period_s
