"""Remembers which prompt parts were answered recently."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from .._types import PromptPart

# Older answers don't prove that a part is harmless: the adapter, or the
# program of the targets, may have changed since.
RETENTION_S: Final = 60.0
MAX_PARTS: Final = 4_096


class AnsweredParts:
    """The parts of requests that targets have begun to answer."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[PromptPart, float] = OrderedDict()

    def record(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record that a request with these parts was answered."""
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)

    def contains(self, part: PromptPart, now: float) -> bool:
        """Return whether a part was answered recently."""
        answered_at = self._answered_at.get(part)
        return answered_at is not None and now - answered_at <= RETENTION_S
