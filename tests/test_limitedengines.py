"""Tests of planning while engines name limits for their requests."""

import pytest

from tests.plannerbench import SLOTS, Bench


class TestLimitedEngines:
    def test_adapter_moves_away_from_used_up_limits(self) -> None:
        """A wanted adapter whose holder takes no more is loaded elsewhere."""
        bench = Bench(2)
        holder = bench.load('a1')
        bench.planner.engines.set_limits({holder: 1.0}, frozenset((holder,)))
        bench.now += 0.5
        bench.send_heartbeats()
        bench.wish('a1')
        orders = bench.plan()
        assert [(one.adapter, one.load) for one in orders] == [('a1', True)]
        assert orders[0].target != holder

    def test_holder_within_its_limit_is_enough(self) -> None:
        """An adapter whose holder still takes requests is not moved."""
        bench = Bench(2)
        holder = bench.load('a1')
        bench.planner.engines.set_limits({holder: 1.0}, frozenset())
        bench.now += 0.5
        bench.send_heartbeats()
        bench.wish('a1')
        assert not bench.plan()

    @pytest.mark.parametrize(
        ('demand', 'is_loaded'), [(0.1, False), (9.0, True)]
    )
    def test_unlimited_engine_yields_to_demand(
        self, demand: float, is_loaded: bool
    ) -> None:
        """A full engine without a limit yields to higher demand only."""
        bench = Bench(1)
        for number in range(SLOTS):
            bench.load(f'a{number}')
        bench.send_heartbeat('e9')
        bench.sequences['e9'] = 0
        bench.planner.engines.set_limits({'e9': 1.0}, frozenset(('e9',)))
        bench.now += 0.5
        bench.send_heartbeats()
        bench.wish('new', demand)
        assert bool(bench.plan()) is is_loaded
