"""Tests of the leader's planning of adapter loads and evictions."""

import pytest
from lovagemast_core.adapters import (
    AdapterLabel,
    EngineState,
    ModelLoadLimiter,
    OrderResult,
)
from lovagemast_core.deployment import EngineSpec, ModelSpec
from lovagemast_core.targets import (
    AdapterUse,
    AdapterWish,
    ResidentAdapter,
    TargetRecord,
)

from tests.plannerbench import SLOTS, Bench


class TestWishes:
    @pytest.mark.parametrize(('age_s', 'loads'), [(0.3, 1), (0.5, 0)])
    def test_no_load_for_callers_that_are_gone(
        self, age_s: float, loads: int
    ) -> None:
        """A wish that is not repeated is not fulfilled later.

        Relays repeat pending wishes ten times a second. On days on which the
        weight store is the bottleneck, a load for nobody delays another.
        """
        bench = Bench()
        bench.wish('a1')
        bench.now += age_s
        assert len(bench.plan()) == loads


class TestPlanningCost:
    @pytest.mark.parametrize('missing', [50, 400])
    def test_engines_are_visited_once(
        self, missing: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A run visits the engines a few times, however many adapters miss.

        Many more adapters than there are slots are waited for on the heaviest
        days. A run that takes longer than the planning interval delays all
        that the leader does.
        """
        engines = 45
        bench = Bench(engines)
        for index in range(missing):
            bench.wish(f'a{index}')
        visits: list[str] = []
        original = EngineState.loads_in_flight

        def count(engine: EngineState, now: float) -> int:
            visits.append(engine.target)
            return original(engine, now)

        monkeypatch.setattr(EngineState, 'loads_in_flight', count)
        assert bench.plan()
        assert len(visits) <= 3 * engines


class TestLoads:
    def test_one_load_for_one_adapter(self) -> None:
        """A load is not ordered again while its answer is pending."""
        bench = Bench()
        bench.wish('a1')
        bench.plan()
        bench.wish('a1')
        bench.plan()
        assert len(bench.orders) == 1

    @pytest.mark.parametrize(('engines', 'loads'), [(6, 8), (30, 40)])
    def test_loads_in_flight_are_bounded(
        self,
        engines: int,
        loads: int,
    ) -> None:
        """The loads in flight stay within what the store can serve."""
        bench = Bench(engines)
        for index in range(60):
            bench.wish(f'a{index}')
        for _round in range(4):
            for order in bench.plan():
                bench.answer(order)
        assert len(bench.orders) == loads

    def test_precondition_counts_accepted_orders(self) -> None:
        """Each order names the number of orders accepted before it."""
        bench = Bench(engines=1)
        bench.load('a1')
        bench.wish('a2')
        assert bench.plan()[0].precondition == 1

    def test_no_order_while_one_is_unanswered(self) -> None:
        """An engine has at most one pending order."""
        bench = Bench(engines=1)
        bench.wish('a1')
        bench.plan()
        bench.wish('a2')
        assert bench.plan() == []

    def test_unknown_outcome_needs_a_report(self) -> None:
        """After a lost answer, an engine gets no order until it reports."""
        bench = Bench(engines=1)
        bench.wish('a1')
        bench.answer(bench.plan()[0], OrderResult.UNKNOWN)
        bench.wish('a1')
        assert bench.plan() == []
        bench.now += 0.3
        bench.report('e0', ())
        bench.wish('a1')
        assert len(bench.plan()) == 1

    def test_unanswered_load_keeps_its_place(self) -> None:
        """A load that may still take effect reserves a slot."""
        bench = Bench(engines=1)
        bench.wish('a1')
        bench.answer(bench.plan()[0], OrderResult.UNKNOWN)
        engine = bench.planner.get('e0')
        assert engine
        assert engine.slots_reserved(bench.now + 5.0) == 1
        assert engine.slots_reserved(bench.now + 14.0) == 0

    def test_empty_engine_gets_its_model(self) -> None:
        """An engine that restarted empty is ordered to load its model."""
        bench = Bench(engines=1)
        bench.planner.remove_engine('e0')
        bench.send_heartbeat('e0', models=())
        engine = bench.planner.get('e0')
        assert engine
        engine.sequence = 0
        assert bench.plan()[0].label == AdapterLabel('m', '')


class TestEviction:
    def fill(self, bench: Bench) -> list[str]:
        """Fill the slots of the only engine; return the adapters."""
        names = [f'a{index}' for index in range(SLOTS)]
        for name in names:
            bench.load(name)
        return names

    def test_idle_adapter_makes_room(self) -> None:
        """A full engine evicts the idle adapter with the least demand."""
        bench = Bench(engines=1)
        names = self.fill(bench)
        bench.planner.record_wishes(
            tuple(AdapterWish('pool', 'm', name, 0, 9.0) for name in names[1:]),
            bench.now,
        )
        bench.wish('new')
        order = bench.plan()[0]
        assert (order.load, order.adapter) == (False, names[0])

    def test_adapter_in_use_stays(self) -> None:
        """No adapter is evicted while requests run on all of them."""
        bench = Bench(engines=1)
        names = self.fill(bench)
        uses = tuple(
            AdapterUse('e0', str(AdapterLabel('m', name)), 1, 0)
            for name in names
        )
        bench.planner.record_uses('vm', uses, bench.now)
        bench.wish('new')
        assert bench.plan() == []

    @pytest.mark.parametrize('is_slow', [False, True])
    def test_loaded_adapter_stays_for_its_requests(
        self, *, is_slow: bool
    ) -> None:
        """An adapter is not evicted before its requests were sent.

        Entry VMs learn of a load, and the leader of their requests, some
        tenths of a second later. After a load that took longer than expected,
        the report that showed its end made it the next victim at once.
        """
        bench = Bench(engines=1)
        names = [f'a{index}' for index in range(SLOTS - 1)]
        for name in names:
            bench.load(name)
        uses = tuple(AdapterUse('e0', f'm/{one}@0', 1, 0) for one in names)
        bench.planner.record_uses('vm', uses, bench.now)
        bench.send_heartbeats()
        bench.wish('new')
        bench.answer(bench.plan()[0])
        labels = tuple(AdapterLabel('m', one, 3) for one in (*names, 'new'))
        bench.now += 0.3
        if is_slow:
            bench.report('e0', labels[:-1], loading=labels[-1:])
            bench.now += 1.0
            bench.send_heartbeats()
            bench.report('e0', labels)
        for waited_s in (0.0, 0.1, 0.1):
            bench.now += waited_s
            bench.wish('other')
            assert bench.plan() == []
        bench.now += 0.3
        bench.wish('other')
        assert [one.adapter for one in bench.plan()] == ['new']


class TestStoreRate:
    @pytest.mark.parametrize('per_s', [0.2, 1.0, 3.9])
    def test_loads_of_models_are_bounded(self, per_s: float) -> None:
        """However many engines are empty, model loads keep the store's rate."""
        model = ModelSpec('m', 100.0, 2.0, 1.0)
        spec = EngineSpec(8, 1_000, 120.0, SLOTS, per_s, 200.0, (model,))
        limiter = ModelLoadLimiter()
        started: list[float] = []
        for step in range(600):
            now = 100.0 + 0.1 * step
            in_flight = sum(now - at < 2.0 for at in started)
            for _load in range(limiter.loads_allowed(spec, in_flight, now)):
                limiter.record_load(now)
                started.append(now)
        assert started
        for start in started:
            window = [at for at in started if 0 <= at - start < 5.0]
            assert len(window) <= max(1.0, per_s * 5.0)


class TestPlaces:
    def test_engine_that_held_it_lately(self) -> None:
        """An adapter is loaded again where the host still has it in memory."""
        bench = Bench()
        home = bench.load('a1')
        engine = bench.planner.get(home)
        assert engine
        engine.ready_at.clear()
        assert bench.load('a1') == home

    @pytest.mark.parametrize(
        ('incarnation', 'is_kept'), [(1, True), (2, False)]
    )
    def test_new_leader_knows_the_hosts(
        self, incarnation: int, is_kept: bool
    ) -> None:
        """After an election adapters return to the hosts that have them.

        An engine that was restarted meanwhile has an empty memory.
        """
        held = ResidentAdapter('m/a1@0', 0.0)
        record = TargetRecord('e0', 'pool', 'e0:80', 'z', 1, 8, False, 0.0)
        later = Bench(1)
        history = later.planner.engines.history
        history.observe(record._replace(adapters=(held,)))
        history.observe(record)  # evicted since
        later.planner.reset()
        later.send_heartbeat('e0', incarnation=incarnation)
        engine = later.planner.get('e0')
        assert engine
        assert engine.is_host_cached(('m', 'a1')) is is_kept

    @pytest.mark.parametrize('kind', ['zone', 'shut', 'silent'])
    def test_loaded_elsewhere(self, kind: str) -> None:
        """An adapter whose only holder is unusable is loaded elsewhere."""
        bench = Bench()
        home = bench.load('a1')
        bench.now += 3.0
        for name in bench.sequences:
            if name != home or kind != 'silent':
                bench.send_heartbeat(name)
        if kind == 'zone':
            bench.planner.engines.zones_out = frozenset((f'z-{home}',))
        if kind == 'shut':
            bench.planner.record_unreachable((home,), bench.now)
        bench.wish('a1')
        orders = bench.plan()
        assert [order.adapter for order in orders] == ['a1']
        assert orders[0].target != home

    @pytest.mark.parametrize(
        ('demand', 'copies'),
        [(20.0, ['a1']), (2.0, [])],
    )
    def test_crowded_adapter_gets_a_copy(
        self,
        demand: float,
        copies: list[str],
    ) -> None:
        """A popular adapter gets a copy once its holder is busy."""
        bench = Bench()
        home = bench.load('a1')
        bench.wish('a1', demand)
        use = AdapterUse(home, 'm/a1@0', 6, 0)
        bench.planner.record_uses('vm', (use,), bench.now)
        orders = bench.plan()
        assert [order.adapter for order in orders] == copies

    def test_goes_back_to_where_it_was(self) -> None:
        """An engine with the adapter in host memory gets it, even if busy."""
        bench = Bench()
        home = bench.load('a1')
        others = [bench.load(f'b{index}') for index in range(3 * SLOTS)]
        held = bench.planner.get(home)
        assert held is not None
        assert not held.holds(('m', 'a1'))
        busy = others[next(i for i, at in enumerate(others) if at == home)]
        use = AdapterUse(busy, f'm/b{others.index(busy)}@0', 4, 0)
        bench.planner.record_uses('vm', (use,), bench.now)
        assert bench.load('a1') == home

    def test_named_version_is_loaded_elsewhere(self) -> None:
        """A newer version is loaded elsewhere while the older one serves."""
        bench = Bench()
        home = bench.load('a1')
        bench.send_heartbeats()
        bench.planner.engines.newest_versions = {('m', 'a1'): 2}
        orders = bench.plan()
        assert orders[0].version == 2
        assert orders[0].target != home
