"""All engines: who holds what, and where an adapter fits best."""

from collections.abc import Iterator
from typing import Final

from .._types import TargetName, ZoneName
from ..deployment import PoolSpec
from ..targets import AdapterUse, TargetHeartbeat
from ._demand import DemandMeter
from ._engine import MAX_COMING, EngineState
from ._label import AdapterLabel

CROWDED: Final = 0.3  # of an engine's slots taken; then copies help
MUCH_LESS: Final = 0.6  # of the load of those that hold an adapter
RUNNING_BURDEN: Final = 0.5  # for each request that runs, in requests/s
# What a load from the store counts: an engine that held the adapter before
# loads it at once, and the store is shared by all engines.
STORE_BURDEN: Final = 8.0  # requests/s
SILENT_S: Final = 2.7  # two heartbeats that did not come
COMING_BURDEN: Final = 0.5  # for each adapter on its way, in requests/s

Name = tuple[str, str]


class EngineTable:
    """The engines that the leader gives orders to."""

    def __init__(self, demand: DemandMeter) -> None:
        self.by_target: dict[TargetName, EngineState] = {}
        self.newest_versions: dict[Name, int] = {}
        self.blocked: frozenset[TargetName] = frozenset()
        self.zones_out: frozenset[ZoneName] = frozenset()
        self._demand = demand
        self._holders: dict[Name, list[EngineState]] = {}
        self._burdens: dict[TargetName, float] = {}
        self._now = 0.0  # s, of the plan under way

    def __iter__(self) -> Iterator[EngineState]:
        """Iterate over the engines."""
        return iter(self.by_target.values())

    def follow(
        self,
        beat: TargetHeartbeat,
        pool: PoolSpec | None,
        heard_at: float,
    ) -> None:
        """Take an engine's newest heartbeat."""
        known = self.by_target.get(beat.target)
        if pool is None or pool.engine is None:
            self.by_target.pop(beat.target, None)
        elif known is None or known.heartbeat.incarnation != beat.incarnation:
            self.by_target[beat.target] = EngineState(beat, pool.engine)
        else:
            known.heartbeat = beat
            known.spec = pool.engine
        if beat.target in self.by_target:
            self.by_target[beat.target].heard_at = heard_at

    def refresh(self, uses: list[AdapterUse], now: float) -> None:
        """Note what runs where and who holds what, for one plan."""
        self._now = now
        self._sum_uses(uses)
        self._holders = {}
        for engine in self:
            for label in engine.ready_at:
                self._holders.setdefault(label.name, []).append(engine)
        self._burdens = {
            engine.target: sum(
                self.demand_here(label, now) for label in engine.ready_at
            )
            for engine in self
        }

    def in_flight(self, now: float) -> int:
        """Return how many adapters are on their way to engines."""
        return sum(engine.coming(now) for engine in self)

    def is_current(self, label: AdapterLabel) -> bool:
        """Return whether no newer version was named."""
        return label.version >= self.newest_versions.get(label.name, 0)

    def is_held(self, name: Name) -> bool:
        """Return whether a current version is held where it can be used."""
        return any(
            self.holds_current(engine, name)
            for engine in self.holders(name)
            if self.is_usable(engine)
        )

    def is_usable(self, engine: EngineState) -> bool:
        """Return whether entry VMs send requests to an engine."""
        if engine.heartbeat.leaving or engine.heartbeat.zone in self.zones_out:
            return False
        silent = self._now - engine.heard_at > SILENT_S
        return not silent and engine.shut_until <= self._now

    def holders(self, name: Name) -> list[EngineState]:
        """Return the engines that hold an adapter in any version."""
        return self._holders.get(name, [])

    def is_outdated(self, name: Name) -> bool:
        """Return whether only versions before the newest are held."""
        return bool(self.holders(name)) and not self.is_held(name)

    def holds_current(self, engine: EngineState, name: Name) -> bool:
        """Return whether an engine holds a current version."""
        return any(
            label.name == name and self.is_current(label)
            for label in engine.ready_at
        )

    def is_crowded(self, name: Name) -> bool:
        """Return whether a copy of an adapter would spread its load."""
        holders = self.holders(name)
        least = min((_crowding(one) for one in holders), default=0)
        if least <= CROWDED:
            return False
        others = [
            _crowding(engine)
            for engine in self
            if engine not in holders and self.is_usable(engine)
        ]
        return bool(others) and min(others) < MUCH_LESS * least

    def demand_here(self, label: AdapterLabel, now: float) -> float:
        """Return the demand that falls to each engine with an adapter."""
        copies = max(1, len(self.holders(label.name)))
        return self._demand.rate(label.name, now) / copies

    def usable_for(self, model: str, now: float) -> list[EngineState]:
        """Return the engines that may be ordered to load an adapter."""
        return [
            engine
            for engine in self
            if model in engine.models
            and self.may_order(engine, now)
            and self.is_usable(engine)
            and engine.coming(now) < MAX_COMING
        ]

    def may_order(self, engine: EngineState, now: float) -> bool:
        """Return whether an engine can take an order at this moment."""
        return engine.is_free(now) and engine.target not in self.blocked

    def burden(self, engine: EngineState, name: Name, now: float) -> float:
        """Return what speaks against an engine, in requests a second."""
        burden = COMING_BURDEN * engine.coming(now)
        if not engine.held_lately(name):
            burden += STORE_BURDEN
        burden += RUNNING_BURDEN * sum(engine.running.values())
        return burden + self._burdens.get(engine.target, 0)

    def _sum_uses(self, uses: list[AdapterUse]) -> None:
        for engine in self:
            engine.running.clear()
        for use in uses:
            known = self.by_target.get(use.target)
            if known and use.running:
                name = AdapterLabel.from_text(use.label).name
                before = known.running.get(name, 0)
                known.running[name] = before + use.running


def _crowding(engine: EngineState) -> float:
    """Return the part of an engine's slots that entry VMs use."""
    return sum(engine.running.values()) / max(1, engine.spec.slots)
