"""Directory of all targets: their announcements and owners' summaries."""

from typing import Final

from .._messages import TargetFacts, TargetSummary
from .._types import TargetName, VmName

SUMMARY_VALID_S: Final = 2.0
FACTS_VALID_S: Final = 15.0


class KnownTarget:
    """A target with its announcement and the latest summary of its owner."""

    def __init__(self, facts: TargetFacts, now: float) -> None:
        self.facts = facts
        self.facts_at = now  # s
        self.owner: VmName = ''
        self.summary: TargetSummary | None = None
        self.summary_at = float('-inf')  # s
        self.unreported_requests = 0  # placed here since the summary
        self.adapters: frozenset[str] = frozenset()

    def is_usable(self, now: float) -> bool:
        """Return whether the target has a fresh summary and is ready."""
        if self.summary is None or self.facts.leaving:
            return False
        fresh = now - self.summary_at <= SUMMARY_VALID_S
        return fresh and self.summary.ready


class Directory:
    """The known targets, indexed by name and by pool."""

    def __init__(self) -> None:
        self._targets: dict[TargetName, KnownTarget] = {}
        self._pools: dict[str, dict[TargetName, KnownTarget]] = {}
        self._loads: dict[VmName, tuple[int, float]] = {}

    def get(self, target: TargetName) -> KnownTarget | None:
        """Return a target by name, or ``None``."""
        return self._targets.get(target)

    def in_zone(self, zone: str) -> list[KnownTarget]:
        """Return the targets of a zone."""
        return [
            known
            for known in self._targets.values()
            if known.facts.zone == zone
        ]

    def in_pool(self, pool: str) -> list[KnownTarget]:
        """Return the targets of a pool."""
        return list(self._pools.get(pool, {}).values())

    def targets(self) -> list[KnownTarget]:
        """Return all targets."""
        return list(self._targets.values())

    def update_facts(self, facts: TargetFacts, now: float) -> bool:
        """Store an announcement; return whether it is newer than known."""
        known = self._targets.get(facts.target)
        if known is None:
            known = KnownTarget(facts, now)
            self._targets[facts.target] = known
            self._pools.setdefault(facts.pool, {})[facts.target] = known
            return True
        if facts.seq <= known.facts.seq:
            return False
        if facts.pool != known.facts.pool:
            self._pools[known.facts.pool].pop(facts.target)
            self._pools.setdefault(facts.pool, {})[facts.target] = known
        known.facts = facts
        known.facts_at = now
        return True

    def update_summary(
        self,
        owner: VmName,
        summary: TargetSummary,
        now: float,
    ) -> None:
        """Store an owner's summary unless a newer owner has sent one."""
        known = self._targets.get(summary.target)
        if known is None:
            return
        if known.summary and known.summary.fence > summary.fence:
            return
        if summary.lists_adapters or owner != known.owner:
            known.adapters = frozenset(summary.adapters)
        known.owner = owner
        known.summary = summary
        known.summary_at = now
        known.unreported_requests = 0

    def update_loads(self, vm: VmName, count: int, now: float) -> None:
        """Store the number of adapter loads that a VM has in progress."""
        self._loads[vm] = (count, now)

    def peer_loads(self, own_vm: VmName, now: float) -> int:
        """Return the number of loads that other VMs reported recently."""
        return sum(
            count
            for vm, (count, at) in self._loads.items()
            if vm != own_vm and now - at <= SUMMARY_VALID_S
        )

    def drop_stale(self, now: float) -> list[TargetName]:
        """Drop targets without a recent announcement or summary."""
        stale = [
            name
            for name, known in self._targets.items()
            if now - max(known.facts_at, known.summary_at) > FACTS_VALID_S
        ]
        for name in stale:
            known = self._targets.pop(name)
            self._pools[known.facts.pool].pop(name)
        return stale
