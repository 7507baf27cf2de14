"""Which pools an entry VM reaches over its own connections.

A target that this VM can't reach may be well for others. Heartbeats, which
come through control VMs, tell that it runs; attempts to connect tell whether
there is a path to it from here.
"""

from collections.abc import Collection
from typing import Final

from .._types import TargetName

# Of a large pool, so many targets drawn at random stand for all.
SAMPLE_TARGETS: Final = 16
# So many have to be reached before a pool counts as reached again.
RETURN_TARGETS: Final = 2

PoolName = str


class _LostPool:
    """A pool of which no target was reached."""

    def __init__(self, now: float) -> None:
        self.lost_at = now  # s
        self.reached: set[TargetName] = set()  # since no probe was answered


class PathMonitor:
    """Tells the pools that are in reach from those that are not.

    Only attempts to open a connection count: one that is open may live on
    though no new one can be opened.
    """

    def __init__(self) -> None:
        self._lost: dict[PoolName, _LostPool] = {}

    def record_probes(
        self,
        pool: PoolName,
        reached: Collection[TargetName],
        size: int,
        now: float,
    ) -> bool:
        """Record probes of a pool's sample; return if that is a change.

        ``reached`` are the targets that took a connection. The pool is lost
        if none did, and in reach again once several have. ``size`` is the
        number of its targets that are known to run.
        """
        lost = self._lost.get(pool)
        if lost is None:
            if reached or not size:
                return False
            self._lost[pool] = _LostPool(now)
            return True
        if not reached:
            lost.reached.clear()
        lost.reached.update(reached)
        if len(lost.reached) < min(size, RETURN_TARGETS):
            return False
        self._lost.pop(pool)
        return True

    def is_lost(self, pool: PoolName) -> bool:
        """Return whether this VM reaches no target of a pool."""
        return pool in self._lost

    def lost_at(self, pool: PoolName) -> float | None:
        """Return when a pool was lost, in s, ``None`` if it is in reach."""
        lost = self._lost.get(pool)
        return lost.lost_at if lost else None

    def lost_pools(self) -> tuple[PoolName, ...]:
        """Return the pools of which this VM reaches no target, sorted."""
        return tuple(sorted(self._lost))
