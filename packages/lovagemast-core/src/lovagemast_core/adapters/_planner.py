"""Decides which engine loads which adapter, and what makes room.

Answers the load of many rare adapters: a request for an adapter that no
engine holds has it loaded at the engine with the least demand, in place of
the idle adapter with the least demand there. Popular adapters are held by
several engines once those that hold them are crowded. An engine that held an
adapter lately loads it fast and without the store, and is preferred.
"""

from collections.abc import Iterable
from typing import Final

from .._types import TargetName, VmName
from ..deployment import PoolSpec
from ..targets import AdapterUse, AdapterWish, TargetHeartbeat
from ._demand import DemandMeter
from ._engine import EngineState
from ._engines import EngineTable, Name
from ._label import AdapterLabel
from ._orders import Order, OrderOutcome, TargetReport
from ._store import StoreRate

ADAPTER_LOAD_S: Final = 0.27
RECENT_LOAD_S: Final = 0.03  # of an adapter that the engine held lately
# Loads on their way from the store, over all engines; beyond, all get
# slower. A store for more engines carries more.
LEAST_LOADS_IN_FLIGHT: Final = 8
LOADS_FOR_EACH_ENGINE: Final = 1.34
WISH_TTL_S: Final = 1.0  # entry VMs repeat what they still wait for
TOP_ADAPTERS: Final = 24  # that may have more than one copy
LEAST_COPY_RATE: Final = 0.5  # requests/s for each holder, with the copy
NONE_BLOCKED: Final[frozenset[TargetName]] = frozenset()
MOVE_RATIO: Final = 2.0  # demand over that of the victim, for a second copy
USES_TTL_S: Final = 3.0
SHUT_TTL_S: Final = 0.6  # entry VMs say it again meanwhile


class AdapterPlanner:
    """Plans orders from demand; the host carries them out."""

    def __init__(self) -> None:
        self.demand = DemandMeter()
        self.engines = EngineTable(self.demand)
        self._store = StoreRate()
        self._wishes: dict[Name, float] = {}  # when it was last wished for
        self._uses: dict[VmName, tuple[float, tuple[AdapterUse, ...]]] = {}

    def reset(self) -> None:
        """Forget everything, at the start of a term."""
        self.engines.by_target.clear()
        self._wishes.clear()
        self._uses.clear()

    def update_engine(
        self,
        beat: TargetHeartbeat,
        pool: PoolSpec | None,
        heard_at: float,
    ) -> None:
        """Take an engine's newest heartbeat."""
        self.engines.follow(beat, pool, heard_at)

    def remove_engine(self, target: TargetName) -> None:
        """Forget an engine that is gone."""
        self.engines.by_target.pop(target, None)

    def get(self, target: TargetName) -> EngineState | None:
        """Return what is known of an engine."""
        return self.engines.by_target.get(target)

    def record_wishes(self, wishes: Iterable[AdapterWish], now: float) -> None:
        """Take what an entry VM's requests ask for."""
        for wish in wishes:
            name = (wish.model, wish.adapter)
            self.demand.note(name, wish.demand, now)
            if wish.waiting:
                self._wishes[name] = now

    def record_uses(
        self,
        vm: VmName,
        uses: tuple[AdapterUse, ...],
        now: float,
    ) -> None:
        """Take what an entry VM has running, in place of what it had."""
        self._uses[vm] = (now, uses)

    def record_missing(
        self,
        target: TargetName,
        label: AdapterLabel,
        now: float,
    ) -> None:
        """Ask for a report, since an engine denied to hold an adapter."""
        engine = self.get(target)
        if engine and engine.ready_at.get(label, now) <= now:
            engine.ready_at.pop(label, None)
            engine.sequence = None
            engine.report_due_at = now

    def record_unreachable(
        self,
        targets: tuple[TargetName, ...],
        now: float,
    ) -> None:
        """Count no engine as a holder that an entry VM cannot reach."""
        for target in targets:
            engine = self.get(target)
            if engine:
                engine.shut_until = now + SHUT_TTL_S

    def reports_due(self, now: float) -> list[EngineState]:
        """Return the engines to ask for a report."""
        due = [one for one in self.engines if one.wants_report(now)]
        return [engine for engine in due if not engine.heartbeat.leaving]

    def plan(
        self,
        fence: int,
        now: float,
        blocked: frozenset[TargetName] = NONE_BLOCKED,
    ) -> list[Order]:
        """Return the orders to send now, one for each engine at most.

        Engines that are ``blocked`` get none for the moment.
        """
        self.engines.blocked = blocked
        fresh = [
            uses for at, uses in self._uses.values() if now - at < USES_TTL_S
        ]
        self.engines.refresh([use for uses in fresh for use in uses], now)
        orders = self._model_orders(fence, now)
        for name in (*self._wanted(now), *self._copies(now)):
            if self.engines.in_flight(now) >= self._loads_allowed():
                break
            order = self._order_for(name, fence, now)
            if order:
                self.engines.by_target[order.target].sent(order)
                orders.append(order)
        return orders

    def record_outcome(self, outcome: OrderOutcome, now: float) -> bool:
        """Take an order's outcome; return whether its engine is known."""
        engine = self.get(outcome.order.target)
        if engine is None or engine.order != outcome.order:
            return False
        load_s = ADAPTER_LOAD_S
        if engine.held_lately(outcome.order.label.name):
            load_s = RECENT_LOAD_S
        if not outcome.order.adapter:
            model = engine.spec.model(outcome.order.model)
            load_s = model.load_s if model else 0
        engine.answered(outcome, load_s, now)
        return True

    def record_report(self, report: TargetReport, now: float) -> bool:
        """Take a report; return whether its engine is known."""
        engine = self.get(report.target)
        if engine is None:
            return False
        engine.reported(report, now)
        return True

    def _loads_allowed(self) -> int:
        scaled = int(LOADS_FOR_EACH_ENGINE * len(self.engines.by_target))
        return max(LEAST_LOADS_IN_FLIGHT, scaled)

    def _model_orders(self, fence: int, now: float) -> list[Order]:
        loading = sum(bool(one.model_due) for one in self.engines)
        empty = [
            engine
            for engine in self.engines
            if engine.is_empty()
            and self.engines.may_order(engine, now)
            and not engine.heartbeat.leaving
        ]
        orders = []
        for engine in empty:
            if self._store.room(engine.spec, loading, now) < 1:
                break
            loading += 1
            self._store.note(now)
            label = AdapterLabel(engine.spec.models[0].name, '')
            order = engine.new_order(label, fence, load=True)
            engine.sent(order)
            orders.append(order)
        return orders

    def _wanted(self, now: float) -> list[Name]:
        """Return adapters that requests wait for, the most wanted first."""
        self._wishes = {
            name: at
            for name, at in self._wishes.items()
            if now - at < WISH_TTL_S
        }
        for name in self.engines.newest_versions:
            if self.engines.is_outdated(name):
                self._wishes.setdefault(name, now)
        missing = [one for one in self._wishes if not self.engines.is_held(one)]
        missing.sort(key=lambda name: -self.demand.rate(name, now))
        return missing

    def _copies(self, now: float) -> list[Name]:
        """Return popular adapters whose engines are all crowded."""
        popular = self.demand.top(TOP_ADAPTERS, now)
        return [
            name
            for name in popular
            if self._earns_copy(name, now) and self.engines.is_crowded(name)
        ]

    def _earns_copy(self, name: Name, now: float) -> bool:
        """Return whether a further copy would be used often."""
        copies = len(self.engines.holders(name)) + 1
        return self.demand.rate(name, now) >= LEAST_COPY_RATE * copies

    def _order_for(self, name: Name, fence: int, now: float) -> Order | None:
        usable = self.engines.usable_for(name[0], now)
        fresh = [engine for engine in usable if not engine.holds(name)]
        fresh.sort(key=lambda one: self.engines.burden(one, name, now))
        for engine in fresh:
            order = self._load_or_unload(engine, name, fence, now)
            if order:
                return order
        if self.engines.is_held(name):
            return None
        outdated = [engine for engine in usable if engine.holds(name)]
        if not outdated:
            return None
        return outdated[0].new_order(self._label(name), fence, load=True)

    def _load_or_unload(
        self,
        engine: EngineState,
        name: Name,
        fence: int,
        now: float,
    ) -> Order | None:
        if engine.places_taken(now) < engine.spec.adapter_slots:
            return engine.new_order(self._label(name), fence, load=True)
        victim = self._victim(engine, now)
        if victim is None:
            return None
        label = self._label(name)
        gain = self.engines.demand_here(label, now)
        loss = self.engines.demand_here(victim, now)
        if self.engines.is_held(name) and gain < MOVE_RATIO * loss:
            return None
        return engine.new_order(victim, fence, load=False)

    def _victim(self, engine: EngineState, now: float) -> AdapterLabel | None:
        settled = [
            label
            for label in engine.idle_labels()
            if engine.ready_at[label] <= now - ADAPTER_LOAD_S
        ]
        return min(
            settled,
            key=lambda label: (
                self.engines.is_current(label),
                self.engines.demand_here(label, now),
            ),
            default=None,
        )

    def _label(self, name: Name) -> AdapterLabel:
        return AdapterLabel(*name, self.engines.newest_versions.get(name, 0))
