"""How many requests may run at an engine before all get too slow.

Answers the load of an engine whose batch is so large, or takes in so many
prompts, that its streams pause for longer than their routes promise. Each
stream that ends tells whether it paused too long; the limit falls with each
that did and rises slowly with each that did not.
"""

from typing import Final

from .._types import TargetName

START: Final = 0.75  # of an engine's slots
LOWEST: Final = 0.5
HIGHEST: Final = 1.0
FALL: Final = 0.005  # for a stream that paused too long
RISE: Final = 0.001  # for one that did not: one in six may pause
LATE_FALL: Final = 0.06  # of the limit, for each rank of less urgency


class BatchLimit:
    """The part of each engine's slots that may be in use."""

    def __init__(self) -> None:
        self._limits: dict[TargetName, float] = {}

    def record_stream(self, target: TargetName, *, paused: bool) -> None:
        """Take what a stream that ended showed."""
        limit = self._limits.get(target, START)
        limit += -FALL if paused else RISE
        self._limits[target] = min(HIGHEST, max(LOWEST, limit))

    def limit(self, target: TargetName, priority: int) -> float:
        """Return the part of the slots up to which a request is sent.

        More urgent requests find room when others have to wait.
        """
        limit = self._limits.get(target, START)
        return limit * (1 - LATE_FALL * min(priority, 5))

    def retain(self, present: set[TargetName]) -> None:
        """Drop the limits of targets that are gone."""
        for target in set(self._limits) - present:
            self._limits.pop(target)
