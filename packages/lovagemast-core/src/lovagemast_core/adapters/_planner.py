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
from ._engine import MAX_COMING, EngineState
from ._label import AdapterLabel
from ._orders import Order, OrderOutcome, TargetReport

ADAPTER_LOAD_S: Final = 0.27
RECENT_LOAD_S: Final = 0.03  # of an adapter that the engine held lately
MAX_LOADS_IN_FLIGHT: Final = 8  # over all engines; beyond, all get slower
MODEL_LOADS_IN_FLIGHT: Final = 2
WISH_TTL_S: Final = 1.0  # entry VMs repeat what they still wait for
TOP_ADAPTERS: Final = 12  # that may have more than one copy
CROWDED: Final = 0.5  # of an engine's slots taken; then copies help
MOVE_RATIO: Final = 4.0  # demand over that of the victim, for a second copy
STORE_BURDEN: Final = 1.0  # what a load from the store counts, in requests/s
USES_TTL_S: Final = 3.0

Name = tuple[str, str]


class AdapterPlanner:
    """Plans orders from demand; the host carries them out."""

    def __init__(self) -> None:
        self.engines: dict[TargetName, EngineState] = {}
        self.demand = DemandMeter()
        self.newest: dict[Name, int] = {}
        self._wishes: dict[Name, float] = {}  # when it was last wished for
        self._uses: dict[VmName, tuple[float, tuple[AdapterUse, ...]]] = {}

    def restart(self) -> None:
        """Forget everything, at the start of a term."""
        self.engines.clear()
        self._wishes.clear()
        self._uses.clear()

    def follow(self, beat: TargetHeartbeat, pool: PoolSpec | None) -> None:
        """Take an engine's newest heartbeat."""
        known = self.engines.get(beat.target)
        if pool is None or pool.engine is None:
            self.engines.pop(beat.target, None)
        elif known is None or known.beat.incarnation != beat.incarnation:
            self.engines[beat.target] = EngineState(beat, pool.engine)
        else:
            known.beat = beat
            known.spec = pool.engine

    def drop(self, target: TargetName) -> None:
        """Forget an engine that is gone."""
        self.engines.pop(target, None)

    def note_wishes(self, wishes: Iterable[AdapterWish], now: float) -> None:
        """Take what an entry VM's requests ask for."""
        for wish in wishes:
            name = (wish.model, wish.adapter)
            self.demand.note(name, wish.demand, now)
            if wish.waiting:
                self._wishes[name] = now

    def note_uses(
        self,
        vm: VmName,
        uses: tuple[AdapterUse, ...],
        now: float,
    ) -> None:
        """Take what an entry VM has running, in place of what it had."""
        self._uses[vm] = (now, uses)

    def note_missing(
        self,
        target: TargetName,
        label: AdapterLabel,
        now: float,
    ) -> None:
        """Ask for a report, since an engine denied to hold an adapter."""
        engine = self.engines.get(target)
        if engine and engine.ready_at.get(label, now) <= now:
            engine.ready_at.pop(label, None)
            engine.sequence = None
            engine.report_due = now

    def reports_due(self, now: float) -> list[EngineState]:
        """Return the engines to ask for a report."""
        due = [one for one in self.engines.values() if one.wants_report(now)]
        return [engine for engine in due if not engine.beat.leaving]

    def plan(self, term: int, now: float) -> list[Order]:
        """Return the orders to send now, one for each engine at most."""
        self._sum_uses(now)
        orders = self._model_orders(term, now)
        wanted = [*self._wanted(now), *self._copies(now)]
        for name in wanted:
            if self._in_flight(now) >= MAX_LOADS_IN_FLIGHT:
                break
            order = self._order_for(name, term, now)
            if order:
                self.engines[order.target].sent(order)
                orders.append(order)
        return orders

    def answered(self, outcome: OrderOutcome, now: float) -> bool:
        """Take an order's outcome; return whether its engine is known."""
        engine = self.engines.get(outcome.order.target)
        if engine is None or engine.order != outcome.order:
            return False
        load_s = ADAPTER_LOAD_S
        if engine.held_lately(outcome.order.label.name):
            load_s = RECENT_LOAD_S
        if not outcome.order.adapter:
            model = engine.spec.model(outcome.order.model)
            load_s = model.load_s if model else 0.0
        engine.answered(outcome, load_s, now)
        return True

    def reported(self, report: TargetReport, now: float) -> bool:
        """Take a report; return whether its engine is known."""
        engine = self.engines.get(report.target)
        if engine is None:
            return False
        engine.reported(report, now)
        return True

    def _sum_uses(self, now: float) -> None:
        for engine in self.engines.values():
            engine.running.clear()
        for at, uses in self._uses.values():
            if now - at > USES_TTL_S:
                continue
            for use in uses:
                known = self.engines.get(use.target)
                if known and use.running:
                    name = AdapterLabel.from_text(use.label).name
                    before = known.running.get(name, 0)
                    known.running[name] = before + use.running

    def _in_flight(self, now: float) -> int:
        return sum(one.coming(now) for one in self.engines.values())

    def _model_orders(self, term: int, now: float) -> list[Order]:
        loading = sum(bool(one.model_due) for one in self.engines.values())
        orders = []
        for engine in self.engines.values():
            if loading >= MODEL_LOADS_IN_FLIGHT:
                break
            missing = [
                model.name
                for model in engine.spec.models
                if model.name not in engine.models
            ]
            usable = engine.is_free(now) and not engine.beat.leaving
            if not missing or not usable or engine.models or engine.model_due:
                continue
            order = self._order(engine, missing[0], '', 0, term, load=True)
            engine.sent(order)
            orders.append(order)
            loading += 1
        return orders

    def _wanted(self, now: float) -> list[Name]:
        """Return adapters that requests wait for, the most wanted first."""
        self._wishes = {
            name: at
            for name, at in self._wishes.items()
            if now - at < WISH_TTL_S
        }
        for name in self.newest:
            if self._is_outdated(name):
                self._wishes.setdefault(name, now)
        missing = [name for name in self._wishes if not self._is_held(name)]
        missing.sort(key=lambda name: -self.demand.rate(name, now))
        return missing

    def _copies(self, now: float) -> list[Name]:
        """Return popular adapters whose engines are all crowded."""
        return [
            name
            for name in self.demand.top(TOP_ADAPTERS, now)
            if self._is_crowded(name)
        ]

    def _is_crowded(self, name: Name) -> bool:
        loads = [
            self._crowding(engine)
            for engine in self.engines.values()
            if engine.holds(name)
        ]
        return bool(loads) and min(loads) > CROWDED

    def _crowding(self, engine: EngineState) -> float:
        """Return the part of an engine's slots that entry VMs use."""
        return sum(engine.running.values()) / max(1, engine.spec.slots)

    def _is_held(self, name: Name) -> bool:
        """Return whether a current version is held where it can be used."""
        return any(
            self._is_current(label)
            for engine in self.engines.values()
            if not engine.beat.leaving
            for label in engine.ready_at
            if label.name == name
        )

    def _is_outdated(self, name: Name) -> bool:
        versions = [
            label
            for engine in self.engines.values()
            for label in engine.ready_at
            if label.name == name
        ]
        return bool(versions) and not self._is_held(name)

    def _is_current(self, label: AdapterLabel) -> bool:
        return label.version >= self.newest.get(label.name, 0)

    def _copies_of(self, name: Name) -> int:
        return sum(engine.holds(name) for engine in self.engines.values())

    def _order_for(self, name: Name, term: int, now: float) -> Order | None:
        candidates = [
            engine
            for engine in self.engines.values()
            if name[0] in engine.models
            and engine.is_free(now)
            and not engine.beat.leaving
            and engine.coming(now) < MAX_COMING
        ]
        fresh = [engine for engine in candidates if not engine.holds(name)]
        outdated = [
            engine
            for engine in candidates
            if engine.holds(name) and not self._holds_current(engine, name)
        ]
        fresh.sort(key=lambda one: self._burden(one, name, now))
        for engine in fresh:
            order = self._load_or_unload(engine, name, term, now)
            if order:
                return order
        if outdated and not self._is_held(name):
            version = self.newest.get(name, 0)
            return self._order(outdated[0], *name, version, term, load=True)
        return None

    def _holds_current(self, engine: EngineState, name: Name) -> bool:
        return any(
            label.name == name and self._is_current(label)
            for label in engine.ready_at
        )

    def _load_or_unload(
        self,
        engine: EngineState,
        name: Name,
        term: int,
        now: float,
    ) -> Order | None:
        if engine.places_taken(now) < engine.spec.adapter_slots:
            version = self.newest.get(name, 0)
            return self._order(engine, *name, version, term, load=True)
        victim = self._victim(engine, now)
        if victim is None:
            return None
        is_copy = self._is_held(name)
        gain = self.demand.rate(name, now) / max(1, self._copies_of(name))
        if is_copy and gain < MOVE_RATIO * self.demand.rate(victim.name, now):
            return None
        return self._order(engine, *victim, term, load=False)

    def _victim(self, engine: EngineState, now: float) -> AdapterLabel | None:
        idle = [
            label
            for label in engine.idle_labels()
            if engine.ready_at[label] <= now - ADAPTER_LOAD_S
        ]
        if not idle:
            return None
        return min(
            idle,
            key=lambda label: (
                self._is_current(label),
                self.demand.rate(label.name, now)
                / max(1, self._copies_of(label.name)),
            ),
        )

    def _burden(self, engine: EngineState, name: Name, now: float) -> float:
        """Return what speaks against an engine, in requests a second."""
        burden = 0.5 * engine.coming(now)
        if not engine.held_lately(name):
            burden += STORE_BURDEN
        if self._crowding(engine) > CROWDED:
            burden += engine.spec.slots
        for label in engine.ready_at:
            copies = max(1, self._copies_of(label.name))
            burden += self.demand.rate(label.name, now) / copies
        return burden

    def _order(
        self,
        engine: EngineState,
        model: str,
        adapter: str,
        version: int,
        term: int,
        *,
        load: bool,
    ) -> Order:
        return Order(
            engine.target,
            engine.beat.address,
            load,
            model,
            adapter,
            version,
            engine.sequence or 0,
            term,
        )
