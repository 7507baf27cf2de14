"""What one planning run needs of the engines, computed once for the run.

On the heaviest days hundreds of adapters are missing at a time. Visiting all
engines for each of them took the leader longer than the interval between
planning runs, and delayed everything else that it does.
"""

from typing import Final

from .._types import TargetName
from ._enginestate import EngineState
from ._enginetable import EngineTable
from ._holderindex import Name
from ._label import AdapterLabel
from ._orders import Order

ADAPTER_SETTLE_S: Final = (
    0.27  # after its load, until an adapter may be evicted
)


class PlanningRound:
    """The engines that can still get an order in this run.

    An engine takes one order at a time, so it is out of the run once it has
    one, and what is known of it holds until then. Engines are not looked at
    before the first use: most runs have nothing to order.
    """

    def __init__(self, engines: EngineTable, now: float) -> None:
        self._loads_in_flight = 0
        self._is_prepared = False
        self._engines = engines
        self._now = now
        self._costs: dict[TargetName, float] = {}
        self._loadable: dict[TargetName, EngineState] = {}
        self._victims: dict[TargetName, AdapterLabel | None] = {}
        self._roomy: list[EngineState] = []
        self._room_of = -1  # number of engines that ``_roomy`` was found among

    @property
    def loads_in_flight(self) -> int:
        """Return how many adapters are loading, with those ordered now."""
        self._prepare()
        return self._loads_in_flight

    def has_engines(self) -> bool:
        """Return whether any engine can still get an order."""
        self._prepare()
        return bool(self._loadable)

    def engines_for(self, name: Name) -> list[EngineState]:
        """Return the engines that can take an adapter, the cheapest first.

        They do not hold it yet, have a free slot or can free one, and are
        not sent all that their limits allow.
        """
        holders = {engine.target for engine in self._engines.holders(name)}
        able = [
            engine
            for engine in self._with_room()
            if name[0] in engine.models
            and engine.target not in holders
            and not self._engines.is_exhausted(engine)
        ]
        able.sort(key=lambda one: self._cost(one, name))
        return able

    def holders(self, name: Name) -> list[EngineState]:
        """Return the engines with any version of an adapter, cheapest first."""
        able = [
            engine
            for engine in self._engines.holders(name)
            if engine.target in self._loadable
        ]
        able.sort(key=lambda one: self._cost(one, name))
        return able

    def victim(self, engine: EngineState) -> AdapterLabel | None:
        """Return the idle adapter to unload, ``None`` if there is none.

        Outdated versions go first, then those with the least demand.
        """
        target = engine.target
        if target not in self._victims:
            self._victims[target] = self._find_victim(engine)
        return self._victims[target]

    def record_order(self, order: Order) -> None:
        """Take an engine that was sent an order out of the run."""
        self._loadable.pop(order.target, None)
        if order.load:
            self._loads_in_flight += 1

    def _prepare(self) -> None:
        if self._is_prepared:
            return
        self._is_prepared = True
        engines = self._engines
        self._loads_in_flight = engines.loads_in_flight(self._now)
        for engine in engines.loadable_engines(self._now):
            self._loadable[engine.target] = engine
            self._costs[engine.target] = engines.load_cost(engine, self._now)

    def _with_room(self) -> list[EngineState]:
        if self._room_of != len(self._loadable):
            self._room_of = len(self._loadable)
            self._roomy = [
                engine
                for engine in self._loadable.values()
                if self._has_room(engine)
            ]
        return self._roomy

    def _has_room(self, engine: EngineState) -> bool:
        used = engine.slots_reserved(self._now)
        is_free = used < engine.spec.adapter_slots
        return is_free or self.victim(engine) is not None

    def _cost(self, engine: EngineState, name: Name) -> float:
        cost = self._costs[engine.target]
        return cost + self._engines.store_cost(engine, name)

    def _find_victim(self, engine: EngineState) -> AdapterLabel | None:
        settled = [
            label
            for label in engine.idle_labels()
            if engine.ready_at[label] <= self._now - ADAPTER_SETTLE_S
        ]
        return min(
            settled,
            key=lambda label: (
                self._engines.is_current(label),
                self._engines.demand_per_holder(label, self._now),
            ),
            default=None,
        )
