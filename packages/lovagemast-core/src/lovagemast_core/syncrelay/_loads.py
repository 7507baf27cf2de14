"""A relay's copy of the loads of engines, with stamps of their changes."""

from typing import Final

from .._types import TargetName
from ..targets import TargetLoad

# Smaller changes are not passed on. With many entry VMs each sees few of the
# requests at an engine, so this is the error that all of them share.
MIN_CHANGE: Final = 2  # requests


class RelayedLoads:
    """Keeps the loads that the leader last sent."""

    def __init__(self) -> None:
        self.stamp = 0
        self._loads: dict[TargetName, tuple[int, TargetLoad]] = {}

    def update(self, loads: tuple[TargetLoad, ...]) -> None:
        """Stamp the loads that differ from those passed on before."""
        for load in loads:
            known = self._loads.get(load.target)
            if known is None or _has_changed(known[1], load):
                self.stamp += 1
                self._loads[load.target] = (self.stamp, load)

    def remove(self, present: set[TargetName]) -> None:
        """Forget all targets but those that are present."""
        for target in set(self._loads) - present:
            self._loads.pop(target)

    def changed_since(self, stamp: int) -> tuple[TargetLoad, ...]:
        """Return the loads that are newer than a stamp."""
        if stamp >= self.stamp:
            return ()
        return tuple(
            load
            for changed_at, load in self._loads.values()
            if changed_at > stamp
        )


def _has_changed(known: TargetLoad, load: TargetLoad) -> bool:
    if load.requests == known.requests:
        return False
    is_idle = load.requests == 0
    return is_idle or abs(load.requests - known.requests) >= MIN_CHANGE
