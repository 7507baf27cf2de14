"""Adaptive limit on the requests that run at one engine at a time.

A batch that is too large, or that takes in too many prompts, makes an engine
pause its streams for longer than their routes allow. Each stream that ends
reports whether it paused too long: the limit falls with each stream that did
and rises slowly with each that did not.
"""

from typing import Final

from .._types import TargetName

INITIAL_FRACTION: Final = 0.75  # of an engine's slots
MIN_FRACTION: Final = 0.5
MAX_FRACTION: Final = 1.0
DECREASE: Final = 0.005  # for a stream that paused too long
# For one that did not. With this ratio to DECREASE, the limit settles where
# one stream in six pauses too long.
INCREASE: Final = 0.001
PRIORITY_STEP: Final = 0.06  # of the limit, withheld per priority level


class BatchLimit:
    """The fraction of each engine's slots that may be in use."""

    def __init__(self) -> None:
        self._limits: dict[TargetName, float] = {}

    def record_stream(self, target: TargetName, *, paused: bool) -> None:
        """Adjust a target's limit after one of its streams has ended.

        ``paused`` tells whether the stream paused for too long.
        """
        limit = self._limits.get(target, INITIAL_FRACTION)
        limit += -DECREASE if paused else INCREASE
        self._limits[target] = min(MAX_FRACTION, max(MIN_FRACTION, limit))

    def limit(self, target: TargetName, priority: int) -> float:
        """Return the fraction of slots up to which a request may be sent.

        It is lower for less urgent requests (a higher ``priority``), so that
        urgent ones still find a slot when the others have to wait.
        """
        limit = self._limits.get(target, INITIAL_FRACTION)
        return limit * (1 - PRIORITY_STEP * min(priority, 5))

    def retain(self, present: set[TargetName]) -> None:
        """Drop the limits of all targets that are not in ``present``."""
        for target in set(self._limits) - present:
            self._limits.pop(target)
