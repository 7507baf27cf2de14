"""Tests that counts of targets change only with enough information."""

import pytest
from lovagemast_core.deployment import ScalingSpec
from lovagemast_core.scaling import (
    PoolObservation,
    Reason,
    ScalingController,
    ScalingObservations,
    ZoneObservation,
)

from tests.scalingmodel import BOOT_S, SLOTS, SPEC, STEP_S, Model
from tests.test_scaling import BASE, needed, steady


class TestInformation:
    def test_no_reports(self) -> None:
        """Without reports the load looks like zero, and nothing changes."""
        model = Model(steady)
        model.run(60.0)
        counts = dict(model.committed)
        model.reporting = 0
        model.demand = lambda _zone, _now: 0.0
        model.run(300.0)
        assert model.committed == counts
        assert set(model.reasons().values()) == {'NO_LOAD'}

    def test_some_reports_are_missing(self) -> None:
        """Load that some entry VMs no longer report is not gone."""
        model = Model(steady)
        model.run(60.0)
        counts = dict(model.committed)
        model.reporting = 40
        model.demand = lambda _zone, _now: BASE / 3
        model.run(22.0)
        assert model.committed == counts

    def test_pools_without_scaling(self) -> None:
        """Committed counts of pools without scaling are no concern."""
        controller = ScalingController()
        observations = ScalingObservations(1, 60.0, 9)
        assert controller.decide(observations, {('p', 'z'): 3}, 1.0) == ()

    def test_nothing_known_of_a_pool(self) -> None:
        """A pool without targets and counts has none ordered."""
        pool = PoolObservation('p', SPEC, 5, ())
        observations = ScalingObservations(1, 60.0, 9, (pool,))
        assert ScalingController().decide(observations, {}, 1.0) == ()

    def test_first_targets_appear_one_by_one(self) -> None:
        """No count is ordered from targets of which only some have come.

        The infrastructure would remove those that are still booting.
        """
        controller = ScalingController()
        orders: list[tuple[float, int, Reason]] = []
        for step in range(120):
            now = step / 2
            ready = min(30, 5 + int(now))
            zone = ZoneObservation('z', ready, 0, 0, ready * SLOTS, 12)
            pool = PoolObservation('p', ScalingSpec(20, 47, BOOT_S), 0, (zone,))
            observations = ScalingObservations(1, 60.0, 9, (pool,))
            for one in controller.decide(observations, {}, now):
                orders.append((now, one.desired, one.reason))
        assert orders[0][0] > 25.0 + BOOT_S
        assert orders[0][1] >= 27

    def test_lost_before_its_first_order(self) -> None:
        """A zone that was never ordered and is gone is no zone of the pool."""
        controller = ScalingController()
        zone = ZoneObservation('z', 30, 0, 0, 30 * SLOTS, 12)
        for step in range(120):
            zones = (zone,) if step < 10 else ()
            pool = PoolObservation('p', SPEC, 0, zones)
            observations = ScalingObservations(1, 60.0, 9, (pool,))
            assert controller.decide(observations, {}, step / 2) == ()

    def test_waiting_requests_are_demand(self) -> None:
        """Requests that wait for an adapter will need slots too."""
        zone = ZoneObservation('z', 4, 0, 0, 4 * SLOTS, 10)
        controller = ScalingController()
        desired = []
        for waiting in (0, 60):
            pool = PoolObservation('p', SPEC, waiting, (zone,))
            observations = ScalingObservations(1, 60.0, 9, (pool,))
            for step in range(8):
                at = 10.0 * waiting + step / 2
                found = controller.decide(observations, {('p', 'z'): 4}, at)
            desired.append(found[0].desired)
        assert desired[0] == 4
        assert needed(70.0) <= desired[1] <= needed(70.0) + 1

    @pytest.mark.parametrize(
        ('low', 'high', 'expected'), [(25, 40, 25), (1, 15, 15), (0, 0, 0)]
    )
    def test_changed_limits(self, low: int, high: int, expected: int) -> None:
        """New limits take effect at once, also while the leader learns."""
        model = Model(steady)
        model.elect()
        model.spec = ScalingSpec(low, high, BOOT_S)
        model.run(STEP_S)
        assert model.count('z0') == expected
        assert model.reasons()['z0'] == 'LIMITS'

    def test_last_target_stays(self) -> None:
        """With a minimum of 0 one target stays, which shows new demand."""
        model = Model(lambda _zone, _now: 0.0, 3, ScalingSpec(0, 9, 1.0))
        model.run(200.0)
        assert model.count('z0') == 1
