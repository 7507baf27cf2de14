"""How a count moves towards what is needed: up at once, down slowly.

Load that it handles: demand that halves and stays, as against troughs of
waves and pauses between bursts, after which the same targets are needed again.
"""

import math
from typing import Final

from ..deployment import ScalingSpec
from ._counts import NeededCount, Reason, limited

# Targets kept above the need. A decrease to the need itself would be undone by
# the next wave that is slightly higher than the last two.
MARGIN: Final = 0.1
# A count that is at least this part of the need is not raised, so that random
# variation of demand does not move a count back and forth.
ENOUGH: Final = 0.94
STEP: Final = 0.1  # of a count, for one decrease
MIN_STEP_INTERVAL_S: Final = 4.0  # load moves to the other targets meanwhile
# Ordered targets are expected for so many boot times, at least so many seconds.
COMING_BOOTS: Final = 4.0
MIN_COMING_S: Final = 10.0


def next_count(
    base: int, needed: NeededCount, spec: ScalingSpec, *, may_decrease: bool
) -> NeededCount:
    """Return the count that follows ``base``, which is within the limits."""
    if base < ENOUGH * needed.targets:
        return needed
    lowest = needed.targets
    if needed.reason is not Reason.LIMITS:
        lowest += max(1, math.ceil(MARGIN * lowest))
    if not may_decrease or base <= lowest:
        return NeededCount(base, Reason.ENOUGH)
    step = max(1, int(STEP * base))
    lowered = limited(max(lowest, base - step), spec)
    return NeededCount(lowered, Reason.LOW)


class CountState:
    """The count of one pool in one availability zone, and its changes.

    Until one was committed or decided, the count is that of the present
    targets. An order of it would remove those that are still to appear.
    """

    def __init__(self, committed: int | None, present: int, now: float) -> None:
        self.count = present if committed is None else committed
        self.is_ordered = committed is not None
        self._changed_at = now  # s
        self._increased_at = now  # s
        self._missing_since = now  # s
        self._present_since = now  # s, the same number
        self._present = present

    def is_settled(self, boot_s: float, now: float) -> bool:
        """Return whether no target has appeared or gone for a boot time."""
        return now - self._present_since >= boot_s + MIN_COMING_S

    def may_decrease(self, hold_s: float, boot_s: float, now: float) -> bool:
        """Return whether the last changes are long enough ago."""
        if now - self._increased_at < hold_s:
            return False
        return now - self._changed_at >= max(MIN_STEP_INTERVAL_S, boot_s)

    def set_count(self, count: int, now: float) -> None:
        """Record the count that was decided."""
        if count > self.count:
            self._increased_at = now
            if self._present >= self.count:  # else some have been awaited
                self._missing_since = now
        if count != self.count:
            self._changed_at = now
        self.count = count
        self.is_ordered = True

    def record_present(self, present: int, now: float) -> None:
        """Record how many targets are present, of those ordered."""
        if present >= self.count or present > self._present:
            self._missing_since = now
        if present != self._present:
            self._present_since = now
        if not self.is_ordered:
            self.count = present
        self._present = present

    def is_coming(self, boot_s: float, now: float) -> bool:
        """Return whether targets that are missing may still appear."""
        expected_s = max(MIN_COMING_S, COMING_BOOTS * boot_s)
        return now - self._missing_since < expected_s
