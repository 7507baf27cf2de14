"""Removed targets, by the change stamp of their removal."""

from typing import Final

from .._types import TargetName

MAX_REMEMBERED: Final = 256


class RemovalLog:
    """Remembers removals, so that they can be sent as changes.

    Receivers whose stamp is older than ``horizon`` need all records instead:
    removals up to it have been forgotten.
    """

    def __init__(self) -> None:
        self.horizon = 0
        self._removed: dict[TargetName, int] = {}  # oldest first

    def reset(self, stamp: int) -> None:
        """Forget everything up to a stamp."""
        self.horizon = stamp
        self._removed.clear()

    def record(self, target: TargetName, stamp: int) -> None:
        """Record that a target was removed."""
        self._removed.pop(target, None)
        self._removed[target] = stamp
        if len(self._removed) > MAX_REMEMBERED:
            oldest = next(iter(self._removed))
            self.horizon = self._removed.pop(oldest)

    def forget(self, target: TargetName) -> None:
        """Forget the removal of a target that is back."""
        self._removed.pop(target, None)

    def since(self, stamp: int) -> tuple[TargetName, ...]:
        """Return the targets removed after a stamp."""
        return tuple(
            target
            for target, removed_at in self._removed.items()
            if removed_at > stamp
        )
