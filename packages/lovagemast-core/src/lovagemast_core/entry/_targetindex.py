"""Finds the targets of a pool and the holders of an adapter.

Each waiting request looks for a target whenever something changes. With many
targets and many waiting requests, visiting all targets each time would take
most of an entry VM's processor time.
"""

from collections import defaultdict

from .._types import TargetName
from ..adapters import name_of_label
from ..targets import TargetRecord

Name = tuple[str, str]


class TargetIndex:
    """Names of targets by pool, and by the adapters that they hold."""

    def __init__(self) -> None:
        self._pools: dict[str, dict[TargetName, None]] = defaultdict(dict)
        self._holders: dict[Name, dict[TargetName, None]] = {}
        self._entries: dict[TargetName, tuple[str, frozenset[Name]]] = {}

    def put(self, record: TargetRecord) -> None:
        """Add a target, or replace what is known of it."""
        names = frozenset(name_of_label(one.label) for one in record.adapters)
        entry = (record.pool, names)
        if self._entries.get(record.target) == entry:
            return
        self.remove(record.target)
        self._entries[record.target] = entry
        self._pools[record.pool][record.target] = None
        for name in names:
            self._holders.setdefault(name, {})[record.target] = None

    def remove(self, target: TargetName) -> None:
        """Remove a target."""
        pool, names = self._entries.pop(target, ('', frozenset()))
        self._pools[pool].pop(target, None)
        for name in names:
            self._holders[name].pop(target)
            if not self._holders[name]:
                self._holders.pop(name)

    def in_pool(self, pool: str) -> tuple[TargetName, ...]:
        """Return the targets of a pool."""
        return tuple(self._pools.get(pool, ()))

    def holders(self, model: str, adapter: str) -> tuple[TargetName, ...]:
        """Return the targets that hold any version of an adapter."""
        return tuple(self._holders.get((model, adapter), ()))
