"""Plans from what changed are those of a planner that looks at everything."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core.adapters import (
    AdapterLabel,
    AdapterPlanner,
    EngineState,
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from lovagemast_core.adapters._enginetable import EngineTable
from lovagemast_core.targets import AdapterUse, AdapterWish, TargetHeartbeat

from tests.plannerbench import make_pool

ENGINES = tuple(f'e{number}' for number in range(5))
ADAPTERS = tuple(f'a{number}' for number in range(9))
LABELS = tuple(
    AdapterLabel('m', name, version) for name in ADAPTERS for version in (1, 2)
)


class FullTable(EngineTable):
    """Visits all adapters of all engines for each plan, as it once was."""

    def refresh(self, now: float) -> None:
        """Find all holders anew."""
        super().refresh(now)
        self._found: dict[tuple[str, str], list[EngineState]] = {}
        for engine in self:
            for label in engine.ready_at:
                self._found.setdefault(label.name, []).append(engine)

    def holders(self, name: tuple[str, str]) -> list[EngineState]:
        """Return the engines that held an adapter at the last refresh."""
        return self._found.get(name, [])

    def is_outdated(self, name: tuple[str, str]) -> bool:
        """Return whether an adapter has holders, but no current version."""
        return bool(self.holders(name)) and not self.is_served(name)

    def demand_per_holder(self, label: AdapterLabel, now: float) -> float:
        """Return an adapter's demand at each holder, without a memory."""
        holders = self.holders(label.name)
        copies = sum(not self.is_exhausted(engine) for engine in holders)
        return self._demand.rate(label.name, now) / max(1, copies)


class Planner:
    """A planner and the orders that its engines have not answered."""

    def __init__(self, table: type[EngineTable]) -> None:
        self.planner = AdapterPlanner()
        self.planner.engines = table(self.planner.demand)
        self.pending: list[Order] = []
        self.now = 100.0

    def apply(self, step: tuple[Any, ...]) -> list[Order]:
        """Take a step; return the orders if it is a plan."""
        name, *values = step
        outcome: list[Order] = getattr(self, f'_{name}')(*values) or []
        return outcome

    def _wish(self, adapter: str, waiting: int, demand: float) -> None:
        wish = AdapterWish('pool', 'm', adapter, waiting, demand)
        self.planner.record_wishes((wish,), self.now)

    def _use(self, vm: str, target: str, label: AdapterLabel, n: int) -> None:
        uses = (AdapterUse(target, str(label), n, 0),)
        self.planner.record_uses(vm, uses, self.now)

    def _beat(self, target: str, incarnation: int) -> None:
        beat = TargetHeartbeat(
            target, 'pool', f'{target}:80', 'z', 8, False, 0.0, incarnation, 1
        )
        beat = beat._replace(models=('m',))
        self.planner.update_engine(beat, make_pool(), self.now)

    def _gone(self, target: str) -> None:
        self.planner.remove_engine(target)

    def _report(self, target: str, labels: list[AdapterLabel]) -> None:
        report = TargetReport(
            target, 0, False, ('m',), tuple(labels[:1]), tuple(labels[1:]), 0, 0
        )
        self.planner.record_report(report, self.now)

    def _answer(self, result: OrderResult) -> None:
        if self.pending:
            outcome = OrderOutcome(self.pending.pop(0), result)
            self.planner.record_outcome(outcome, self.now)

    def _missing(self, target: str, label: AdapterLabel) -> None:
        self.planner.record_missing(target, label, self.now)

    def _limit(self, target: str, exhausted: list[str]) -> None:
        full = frozenset(exhausted)
        self.planner.engines.set_limits({target: 1.0}, full)

    def _newest(self, adapter: str) -> None:
        self.planner.engines.newest_versions = {('m', adapter): 2}

    def _wait(self, delay_s: float) -> None:
        self.now += delay_s

    def _plan(self) -> list[Order]:
        orders = self.planner.plan(1, self.now)
        self.pending.extend(orders)
        return orders


targets = st.sampled_from(ENGINES)
adapters = st.sampled_from(ADAPTERS)
labels = st.sampled_from(LABELS)
plans = st.tuples(st.just('plan'))
steps = st.one_of(
    plans,
    plans,
    st.tuples(
        st.just('wish'), adapters, st.integers(0, 1), st.floats(0.0, 20.0)
    ),
    st.tuples(
        st.just('use'),
        st.sampled_from(('v1', 'v2')),
        targets,
        labels,
        st.integers(0, 8),
    ),
    st.tuples(st.just('beat'), targets, st.integers(1, 2)),
    st.tuples(st.just('gone'), targets),
    st.tuples(st.just('report'), targets, st.lists(labels, max_size=4)),
    st.tuples(st.just('answer'), st.sampled_from(OrderResult)),
    st.tuples(st.just('missing'), targets, labels),
    st.tuples(
        st.just('limit'), targets, st.lists(targets, max_size=2, unique=True)
    ),
    st.tuples(st.just('newest'), adapters),
    st.tuples(st.just('wait'), st.floats(0.0, 0.5)),
)
starts = [
    step
    for target in ENGINES
    for step in (('beat', target, 1), ('report', target, []))
]


class TestPlanning:
    """The same events lead to the same orders."""

    @given(st.lists(steps, max_size=60))
    def test_same_orders(self, sequence: list[tuple[Any, ...]]) -> None:
        """An index of holders that misses a change would place wrongly."""
        fast, full = Planner(EngineTable), Planner(FullTable)
        for step in (*starts, *sequence, ('plan',)):
            assert fast.apply(step) == full.apply(step)

    @given(st.lists(steps, max_size=60))
    def test_same_holders(self, sequence: list[tuple[Any, ...]]) -> None:
        """The index lists each holder once for each version, in order.

        Demand that is kept although it has changed would evict wrongly.
        """
        fast = Planner(EngineTable)
        table = fast.planner.engines
        demand = fast.planner.demand
        for step in (*starts, *sequence):
            fast.apply(step)
            table.refresh(fast.now)
            for adapter in ADAPTERS:
                name = ('m', adapter)
                held = [
                    engine
                    for engine in table
                    for label in engine.ready_at
                    if label.name == name
                ]
                assert table.holders(name) == held
                copies = sum(not table.is_exhausted(one) for one in held)
                label = AdapterLabel('m', adapter)
                found = table.demand_per_holder(label, fast.now)
                expected = demand.rate(name, fast.now) / max(1, copies)
                assert found == expected
