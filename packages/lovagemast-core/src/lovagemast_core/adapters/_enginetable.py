"""All engines: which adapters each holds, and the costs of placing more."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from .._types import TargetName, ZoneName
from ..deployment import PoolSpec
from ..targets import AdapterUse, TargetHeartbeat
from ._demand import DemandMeter
from ._enginestate import MAX_LOADS_PER_ENGINE, EngineState
from ._holderindex import HolderIndex, Name
from ._hosthistory import HostHistory
from ._label import AdapterLabel, name_of_label

# A copy of an adapter helps if all holders use more than this fraction of
# their slots, and another engine less than this ratio of what they use.
COPY_MIN_LOAD: Final = 0.3
COPY_MAX_LOAD_RATIO: Final = 0.6
COPY_EVICTION_RATIO: Final = 2.0  # of a copy's demand to its victim's
RUNNING_COST: Final = 0.5  # requests/s, for each running request
# Cost of a load from the weight store, which all engines share. An engine
# that has the adapter in its host's memory loads it at once.
STORE_LOAD_COST: Final = 8.0  # requests/s
ENGINE_TIMEOUT_S: Final = 2.7  # two missed heartbeats; then not usable
LOADING_COST: Final = 0.5  # requests/s, for each adapter that is loading
OVER_LIMIT_COST: Final = 4.0  # for each request/s beyond an engine's limit


class EngineTable:
    """The engines that the leader sends orders to.

    Adapters are named by their model and adapter name. ``newest_versions``
    holds the newest version of each, and ``blocked`` the engines that may
    not get orders at the moment.
    """

    def __init__(self, demand: DemandMeter) -> None:
        self.by_target: dict[TargetName, EngineState] = {}
        self.newest_versions: dict[Name, int] = {}
        self.blocked: frozenset[TargetName] = frozenset()
        self.zones_out: frozenset[ZoneName] = frozenset()
        self.history = HostHistory()
        self.requests: Counter[TargetName] = Counter()  # of all targets
        self._demand = demand
        self._limits: dict[TargetName, float] = {}  # requests/s
        self._exhausted: frozenset[TargetName] = frozenset()
        self._holders = HolderIndex()
        # Kept until the demand or the holders of an adapter change.
        self._demand_per_holder: dict[Name, float] = {}
        self._now = 0.0  # s, when the state was last refreshed

    def __iter__(self) -> Iterator[EngineState]:
        """Iterate over the engines."""
        return iter(self.by_target.values())

    def update(
        self,
        heartbeat: TargetHeartbeat,
        pool: PoolSpec | None,
        received_at: float,
    ) -> None:
        """Record an engine's newest heartbeat.

        A new incarnation starts with new state. A target that is not in an
        engine pool is removed.
        """
        known = self.by_target.get(heartbeat.target)
        if pool is None or pool.engine is None:
            self.by_target.pop(heartbeat.target, None)
        elif (
            known is None
            or known.heartbeat.incarnation != heartbeat.incarnation
        ):
            self.by_target[heartbeat.target] = EngineState(
                heartbeat,
                pool.engine,
                self.history.adapters(heartbeat.target, heartbeat.incarnation),
            )
        else:
            known.heartbeat = heartbeat
            known.spec = pool.engine
        if heartbeat.target in self.by_target:
            self.by_target[heartbeat.target].received_at = received_at

    def refresh(self, now: float) -> None:
        """Update the holders before planning.

        Engines that are leaving are no holders: what only they hold has to be
        loaded elsewhere, and their falling load says nothing of the others.
        """
        self._now = now
        self._forget_demand(self._demand.take_changes(now))
        staying = (one for one in self if not one.heartbeat.leaving)
        self._forget_demand(self._holders.update(staying))

    def set_limits(
        self,
        limits: dict[TargetName, float],
        exhausted: frozenset[TargetName],
    ) -> None:
        """Set the limits that engines name, and those that are used up."""
        self._limits = limits
        if exhausted != self._exhausted:
            self._demand_per_holder.clear()
        self._exhausted = exhausted

    def loads_in_flight(self, now: float) -> int:
        """Return how many adapters are loading over all engines."""
        return sum(engine.loads_in_flight(now) for engine in self)

    def is_current(self, label: AdapterLabel) -> bool:
        """Return whether no newer version of an adapter is known."""
        return label.version >= self.newest_versions.get(label.name, 0)

    def is_served(self, name: Name) -> bool:
        """Return whether a usable engine holds a current version."""
        return any(
            self.holds_current(engine, name)
            for engine in self.holders(name)
            if self.is_usable(engine)
        )

    def has_capacity(self, name: Name) -> bool:
        """Return whether an engine with a current version takes requests.

        One that is sent all that its limit allows does not.
        """
        return any(
            self.holds_current(engine, name)
            for engine in self.holders(name)
            if self.is_usable(engine) and not self.is_exhausted(engine)
        )

    def eviction_ratio(self, engine: EngineState, name: Name) -> float:
        """Return how many times its victim's demand an adapter must have.

        While some engines take few requests, the others are kept for the
        adapters with the most demand.
        """
        if self.has_capacity(name):
            return COPY_EVICTION_RATIO
        is_kept = bool(self._limits) and engine.target not in self._limits
        return 1.0 if is_kept else 0.0

    def is_exhausted(self, engine: EngineState) -> bool:
        """Return whether an engine is sent all that its limit allows."""
        return engine.target in self._exhausted

    def is_usable(self, engine: EngineState) -> bool:
        """Return whether entry VMs can send requests to an engine."""
        if engine.heartbeat.leaving or engine.heartbeat.zone in self.zones_out:
            return False
        silent = self._now - engine.received_at > ENGINE_TIMEOUT_S
        return not silent and engine.unreachable_until <= self._now

    def holders(self, name: Name) -> list[EngineState]:
        """Return the engines that hold any version of an adapter."""
        return self._holders.holders(name)

    def is_outdated(self, name: Name) -> bool:
        """Return whether an adapter has holders, but no current version."""
        return name in self._holders and not self.is_served(name)

    def holds_current(self, engine: EngineState, name: Name) -> bool:
        """Return whether an engine holds a current version of an adapter."""
        return any(
            label.name == name and self.is_current(label)
            for label in engine.ready_at
        )

    def copy_would_help(self, name: Name) -> bool:
        """Return whether one more copy of an adapter would spread its load.

        All holders are busy, and another engine is much less so.
        """
        holders = self.holders(name)
        lowest = min((_slot_usage(one) for one in holders), default=0)
        if lowest <= COPY_MIN_LOAD:
            return False
        limit = COPY_MAX_LOAD_RATIO * lowest
        return any(
            _slot_usage(engine) < limit
            for engine in self
            if engine not in holders and self.is_usable(engine)
        )

    def demand_per_holder(self, label: AdapterLabel, now: float) -> float:
        """Return the requests per second for an adapter at each holder.

        It is that of the last refresh, at ``now``.
        Holders that are sent all that their limits allow take no part.
        """
        name = label.name
        demand = self._demand_per_holder.get(name)
        if demand is None:
            exhausted = self._exhausted
            copies = sum(
                one.target not in exhausted for one in self.holders(name)
            )
            demand = self._demand.rate(name, now) / max(1, copies)
            self._demand_per_holder[name] = demand
        return demand

    def loadable_engines(self, now: float) -> list[EngineState]:
        """Return the engines that can be ordered to load an adapter."""
        return [
            engine
            for engine in self
            if self.can_order(engine, now)
            and self.is_usable(engine)
            and engine.loads_in_flight(now) < MAX_LOADS_PER_ENGINE
        ]

    def can_order(self, engine: EngineState, now: float) -> bool:
        """Return whether an engine can be sent an order now."""
        return engine.can_take_order(now) and engine.target not in self.blocked

    def load_cost(self, engine: EngineState, now: float) -> float:
        """Return the cost of one more adapter at an engine, in requests/s.

        It grows with the loads, requests and demand that the engine has.
        """
        cost = LOADING_COST * engine.loads_in_flight(now)
        cost += RUNNING_COST * engine.running_total
        demand = sum(
            self.demand_per_holder(label, now) for label in engine.ready_at
        )
        limit = self._limits.get(engine.target, demand)
        return cost + demand + OVER_LIMIT_COST * max(0.0, demand - limit)

    def store_cost(self, engine: EngineState, name: Name) -> float:
        """Return the cost of fetching an adapter, in requests/s."""
        return 0.0 if engine.is_host_cached(name) else STORE_LOAD_COST

    def set_uses(self, uses: Iterable[AdapterUse]) -> None:
        """Replace the running requests of all engines."""
        self.requests.clear()
        for engine in self:
            engine.running.clear()
            engine.running_total = 0
        for use in uses:
            self.requests[use.target] += use.running
            known = self.by_target.get(use.target)
            if known and use.running:
                name = name_of_label(use.label)
                before = known.running.get(name, 0)
                known.running[name] = before + use.running
                known.running_total += use.running

    def _forget_demand(self, names: set[Name] | None) -> None:
        """Forget the demand per holder of some adapters, or of all."""
        if names is None:
            self._demand_per_holder.clear()
            return
        for name in names:
            self._demand_per_holder.pop(name, None)


def _slot_usage(engine: EngineState) -> float:
    """Return the fraction of an engine's slots that entry VMs use."""
    return engine.running_total / max(1, engine.spec.slots)
