"""Plans which engine loads which adapter, and which adapters it evicts.

With many rarely used adapters, the engines cannot hold all. An adapter that
is requested and held by no engine is loaded at the engine with the lowest
placement cost, which evicts its idle adapter with the least demand if its
slots are full. Popular adapters get copies on further engines once all
of their holders are busy. An engine that still has an adapter in its host's
memory is preferred: it loads it fast and without the weight store.
"""

import itertools
from collections.abc import Iterable, Iterator
from typing import Final

from .._types import TargetName, VmName
from ..deployment import PoolSpec
from ..targets import AdapterUse, AdapterWish, TargetHeartbeat
from ._copies import adapters_to_copy
from ._demand import DemandMeter
from ._enginestate import EngineState
from ._enginetable import EngineTable
from ._holderindex import Name
from ._label import AdapterLabel
from ._modelloads import ModelLoadLimiter
from ._orders import Order, OrderOutcome, TargetReport
from ._round import PlanningRound
from ._streamwishes import WISH_TTL_S, StreamWishes, plan_stream_load

ADAPTER_LOAD_S: Final = 0.27
HOST_CACHED_LOAD_S: Final = 0.03  # of an adapter in the host's memory
# Limits on adapter loads in flight over all engines. More would slow each
# other down; a weight store that serves more engines has a higher bandwidth.
MIN_LOADS_IN_FLIGHT: Final = 8
LOADS_PER_ENGINE: Final = 1.34
NO_TARGETS: Final[frozenset[TargetName]] = frozenset()
USES_TTL_S: Final = 3.0
UNREACHABLE_TTL_S: Final = 0.6  # entry VMs repeat it more often


class AdapterPlanner:
    """Plans the leader's orders from demand; the host sends them."""

    def __init__(self) -> None:
        self.demand = DemandMeter()
        self.engines = EngineTable(self.demand)
        self._model_loads = ModelLoadLimiter()
        self._wishes: dict[Name, float] = {}  # s, of the last wish
        self._stream_wishes = StreamWishes()
        self._uses: dict[VmName, tuple[float, tuple[AdapterUse, ...]]] = {}
        self._uses_changed = False

    def reset(self) -> None:
        """Clear the state of engines and entry VMs, at the start of a term."""
        self.engines.by_target.clear()
        self._wishes.clear()
        self._stream_wishes.clear()
        self._uses.clear()

    def update_engine(
        self,
        heartbeat: TargetHeartbeat,
        pool: PoolSpec | None,
        received_at: float,
    ) -> None:
        """Record an engine's newest heartbeat."""
        self.engines.update(heartbeat, pool, received_at)

    def remove_engine(self, target: TargetName) -> None:
        """Remove an engine that is gone."""
        self.engines.by_target.pop(target, None)

    def get(self, target: TargetName) -> EngineState | None:
        """Return an engine's state, ``None`` if it is not known."""
        return self.engines.by_target.get(target)

    def record_wishes(self, wishes: Iterable[AdapterWish], now: float) -> None:
        """Record an entry VM's demand and the adapters it waits for."""
        for wish in wishes:
            name = (wish.model, wish.adapter)
            self.demand.record(name, wish.demand, now)
            if not wish.waiting:
                continue
            if wish.software:
                self._stream_wishes.record(wish, now)
            else:
                self._wishes[name] = now

    def record_uses(
        self,
        vm: VmName,
        uses: tuple[AdapterUse, ...],
        now: float,
    ) -> None:
        """Replace the running requests of an entry VM."""
        self._uses[vm] = (now, uses)
        self._uses_changed = True

    def record_missing(
        self,
        target: TargetName,
        label: AdapterLabel,
        now: float,
    ) -> None:
        """Record that an engine denied holding an adapter.

        Its state is not trusted until it has sent a new report.
        """
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
        """Record engines that an entry VM cannot reach.

        They do not count as holders for a short time.
        """
        for target in targets:
            engine = self.get(target)
            if engine:
                engine.unreachable_until = now + UNREACHABLE_TTL_S

    def requests_at(self, target: TargetName) -> int:
        """Return the requests in progress at an engine or another target."""
        return self.engines.requests[target]

    def reports_due(self, now: float) -> list[EngineState]:
        """Return the engines that are to be asked for a report now."""
        due = [one for one in self.engines if one.needs_report(now)]
        return [engine for engine in due if not engine.heartbeat.leaving]

    def plan(
        self,
        fence: int,
        now: float,
        blocked: frozenset[TargetName] = NO_TARGETS,
    ) -> list[Order]:
        """Return the orders to send now, at most one for each engine.

        Engines in ``blocked`` get none. ``fence`` is the fencing token of
        the orders.
        """
        self.engines.blocked = blocked
        self._apply_uses(now)
        self.engines.refresh(now)
        orders = self._plan_model_loads(fence, now)
        planning = PlanningRound(self.engines, now)
        for order in self._plan_adapters(planning, fence, now):
            self.engines.by_target[order.target].record_sent(order)
            planning.record_order(order)
            orders.append(order)
        return orders

    def record_outcome(self, outcome: OrderOutcome, now: float) -> bool:
        """Record an order's outcome; return whether the order was pending."""
        engine = self.get(outcome.order.target)
        if engine is None or engine.order != outcome.order:
            return False
        load_s = ADAPTER_LOAD_S
        if engine.is_host_cached(outcome.order.label.name):
            load_s = HOST_CACHED_LOAD_S
        if not outcome.order.adapter:
            model = engine.spec.model(outcome.order.model)
            load_s = model.load_s if model else 0
        engine.record_outcome(outcome, load_s, now)
        return True

    def record_report(self, report: TargetReport, now: float) -> bool:
        """Apply an engine's report; return whether the engine is known."""
        engine = self.get(report.target)
        if engine is None:
            return False
        engine.apply_report(report, now)
        return True

    def _apply_uses(self, now: float) -> None:
        """Update the running requests if reports came or have expired."""
        expired = [
            vm
            for vm, (at, _uses) in self._uses.items()
            if now - at >= USES_TTL_S
        ]
        for vm in expired:
            self._uses.pop(vm)
        if expired or self._uses_changed:
            self._uses_changed = False
            reports = (uses for _reported_at, uses in self._uses.values())
            self.engines.set_uses(itertools.chain.from_iterable(reports))

    def _plan_adapters(
        self, planning: PlanningRound, fence: int, now: float
    ) -> Iterator[Order]:
        """Yield orders, first those for streams that are to go on.

        Each one is recorded before the next is planned.
        """
        for wish in self._stream_wishes.missing(self.engines, now):
            if not self._can_load_more(planning):
                return
            label = self._newest_label(wish.name)
            order = plan_stream_load(wish, label, planning, fence, now)
            if order:
                yield order
        for name in self._adapters_to_load(now):
            if not self._can_load_more(planning):
                return
            order = self._plan_load(name, planning, fence, now)
            if order:
                yield order

    def _can_load_more(self, planning: PlanningRound) -> bool:
        if planning.loads_in_flight >= self._max_loads_in_flight():
            return False
        return planning.has_engines()

    def _adapters_to_load(self, now: float) -> Iterator[Name]:
        """Yield the adapters to load, those that requests wait for first."""
        yield from self._missing_adapters(now)
        yield from adapters_to_copy(self.engines, self.demand, now)

    def _max_loads_in_flight(self) -> int:
        scaled = int(LOADS_PER_ENGINE * len(self.engines.by_target))
        return max(MIN_LOADS_IN_FLIGHT, scaled)

    def _plan_model_loads(self, fence: int, now: float) -> list[Order]:
        loading = sum(bool(one.model_ready_at) for one in self.engines)
        empty = [
            engine
            for engine in self.engines
            if engine.is_empty()
            and self.engines.can_order(engine, now)
            and not engine.heartbeat.leaving
        ]
        orders = []
        for engine in empty:
            if self._model_loads.loads_allowed(engine.spec, loading, now) < 1:
                break
            loading += 1
            self._model_loads.record_load(now)
            label = AdapterLabel(engine.spec.models[0].name, '')
            order = engine.make_order(label, fence, load=True)
            engine.record_sent(order)
            orders.append(order)
        return orders

    def _missing_adapters(self, now: float) -> list[Name]:
        """Return the adapters to load, those with the most demand first.

        Requests wait for them, or only outdated versions are held.
        """
        self._wishes = {
            name: at
            for name, at in self._wishes.items()
            if now - at < WISH_TTL_S
        }
        for name in self.engines.newest_versions:
            if self.engines.is_outdated(name):
                self._wishes.setdefault(name, now)
        missing = [
            one for one in self._wishes if not self.engines.has_capacity(one)
        ]
        missing.sort(key=lambda name: -self.demand.rate(name, now))
        return missing

    def _plan_load(
        self,
        name: Name,
        planning: PlanningRound,
        fence: int,
        now: float,
    ) -> Order | None:
        for engine in planning.engines_for(name):
            order = self._load_or_unload(engine, name, planning, fence, now)
            if order:
                return order
        if self.engines.is_served(name):
            return None
        for outdated in planning.holders(name):
            label = self._newest_label(name)
            return outdated.make_order(label, fence, load=True)
        return None

    def _load_or_unload(
        self,
        engine: EngineState,
        name: Name,
        planning: PlanningRound,
        fence: int,
        now: float,
    ) -> Order | None:
        """Return an order to load an adapter, or to free a slot for it."""
        if engine.slots_reserved(now) < engine.spec.adapter_slots:
            return engine.make_order(self._newest_label(name), fence, load=True)
        victim = planning.victim(engine)
        if victim is None:
            return None
        label = self._newest_label(name)
        gain = self.engines.demand_per_holder(label, now)
        loss = self.engines.demand_per_holder(victim, now)
        if gain < self.engines.eviction_ratio(engine, name) * loss:
            return None
        return engine.make_order(victim, fence, load=False)

    def _newest_label(self, name: Name) -> AdapterLabel:
        return AdapterLabel(*name, self.engines.newest_versions.get(name, 0))
