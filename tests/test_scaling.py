"""Tests of the counts of targets: callers must find slots, at a low count."""

import itertools
import math

import pytest
from lovagemast_core.deployment import ScalingSpec
from lovagemast_core.scaling import (
    PoolObservation,
    Reason,
    ScalingController,
    ScalingObservations,
    ZoneObservation,
)

from tests.scalingmodel import BOOT_S, SLOTS, SPEC, STEP_S, ZONES, Model

BASE = 108.0  # requests at a time in each zone: 0.45 of 20 targets' slots
TARGETS = 20
MAX_USE = 0.6
# At the crest of a wave, of which the mean over 1 s is measured.
SMOOTHED_USE = 0.63
PERIOD_S = 11.0
SWING = 0.27
# Targets above the bare need at 0.6: a margin of 5 %, rounded up twice.
SLACK = 1.1


def steady(_zone: str, _now: float) -> float:
    """Return a demand that does not change."""
    return BASE


def needed(demand: float) -> int:
    """Return the targets of one zone for a peak demand."""
    return math.ceil(demand / (MAX_USE * SLOTS) - 1e-9)


def wave(phase_of: dict[str, float], period_s: float = PERIOD_S):
    """Return a demand in waves, with a phase for each zone."""

    def demand(zone: str, now: float) -> float:
        angle = 2 * math.pi * (now / period_s + phase_of[zone])
        return BASE * (1 + SWING * math.sin(angle))

    return demand


class TestWaves:
    @pytest.mark.parametrize('ready', [14, 20, 30])
    @pytest.mark.parametrize('period_s', [9.0, 11.0, 13.0, 20.0])
    @pytest.mark.parametrize('shift', [0.0, 1 / 3])
    def test_count_does_not_oscillate(
        self, ready: int, period_s: float, shift: float
    ) -> None:
        """Waves are not followed: each target ordered would come too late.

        The slope of a wave projected over the boot time would more than
        double the count.
        """
        phases = {zone: shift * index for index, zone in enumerate(ZONES)}
        model = Model(wave(phases, period_s), ready=ready)
        model.run(240.0)
        peak = BASE * (1 + SWING)
        for zone in ZONES:
            assert len(model.changes(zone, since=120.0)) == 1
            assert peak <= SMOOTHED_USE * SLOTS * model.count(zone)
            assert model.count(zone) <= needed(peak) * SLACK + 1
            counts = model.changes(zone, since=30.0)
            assert counts in (sorted(counts), sorted(counts, reverse=True))
        assert model.short_during(BOOT_S + 8.0, 240.0) == 0


class TestChanges:
    def test_burst(self) -> None:
        """A burst of 1.7 times the demand for 3 s finds slots at once.

        Targets ordered for it come after its end, so the headroom has to
        serve it, and what was ordered is given back.
        """

        def demand(_zone: str, now: float) -> float:
            return BASE * (1.7 if 60.0 <= now < 63.0 else 1.0)

        model = Model(demand, ready=needed(BASE))
        model.run(59.0)
        before = model.total()
        model.run(20.0)
        assert model.short_during(0.0, 79.0) < 0.05
        assert model.total() <= before * 1.7 * SLACK
        model.run(200.0)
        assert model.total() <= before * SLACK + len(ZONES)
        assert model.short_during(79.0, 279.0) == 0

    def test_demand_doubles(self) -> None:
        """Callers lack slots only until ordered targets have booted."""

        def demand(_zone: str, now: float) -> float:
            return BASE * (2.0 if now >= 60.0 else 1.0)

        model = Model(demand)
        model.run(64.0)
        assert all(
            needed(1.9 * BASE) <= model.count(zone) <= needed(2 * BASE) * SLACK
            for zone in ZONES
        )
        model.run(116.0)
        for zone in ZONES:
            assert max(model.changes(zone, 60.0)) <= needed(2 * BASE) * SLACK
        assert model.short_during(60.0, 60.0 + BOOT_S + 2.0) < 0.2
        assert model.short_during(60.0 + BOOT_S + 3.0, 180.0) == 0
        assert all(
            needed(2 * BASE) <= model.count(zone) <= needed(2 * BASE) * SLACK
            for zone in ZONES
        )

    def test_demand_grows(self) -> None:
        """A steady rise is met by targets that were ordered before it came.

        Demand that grows by 2 % of its first value each second outgrows the
        headroom within the boot time again and again.
        """

        def demand(_zone: str, now: float) -> float:
            return BASE * (1 + 0.02 * max(0.0, min(100.0, now - 40.0)))

        model = Model(demand)
        model.run(170.0)
        assert model.short_during(0.0, 170.0) == 0
        for zone in ZONES:
            assert model.count(zone) <= needed(3 * BASE) * SLACK

    def test_demand_halves(self) -> None:
        """Targets are given back in steps, and none that callers need."""

        def demand(_zone: str, now: float) -> float:
            return BASE * (0.5 if now >= 60.0 else 1.0)

        model = Model(demand)
        model.run(60.0 + 2 * BOOT_S)
        assert all(model.count(zone) >= needed(BASE) for zone in ZONES)
        before = model.count('z0')
        model.run(140.0)
        for zone in ZONES:
            counts = model.changes(zone, since=60.0)
            assert counts == sorted(counts, reverse=True)
            steps = [
                former - later for former, later in itertools.pairwise(counts)
            ]
            assert max(steps) <= max(1, before // 10)
            assert needed(BASE / 2) <= counts[-1]
            assert counts[-1] <= needed(BASE / 2) * SLACK + 1
        assert model.short_during(0.0, 216.0) == 0

    @pytest.mark.parametrize('trough_s', [4.0, 10.0, 20.0])
    def test_short_trough_costs_nothing(self, trough_s: float) -> None:
        """Targets that are needed again soon are kept."""

        def demand(_zone: str, now: float) -> float:
            return BASE * (0.2 if 60.0 <= now < 60.0 + trough_s else 1.0)

        model = Model(demand, ready=needed(BASE) + 1)
        model.run(120.0)
        assert model.short_during(0.0, 120.0) == 0
        assert all(len(model.changes(zone, 30.0)) == 1 for zone in ZONES)


class TestLosses:
    def test_lost_zone(self) -> None:
        """The other zones serve the callers of a lost one at once."""
        model = Model(steady, ready=needed(BASE))
        model.run(60.0)
        kept = model.count('z0')
        model.zones['z0'].is_up = False
        model.run(60.0)
        assert model.short_during(60.0, 120.0) == 0
        assert model.count('z0') == kept
        assert model.reasons()['z0'] == 'ZONE_LOST'
        for zone in ('z1', 'z2'):
            assert model.count(zone) >= needed(1.5 * BASE)
        model.zones['z0'].is_up = True
        model.run(200.0)
        assert model.short_during(120.0, 320.0) == 0
        assert model.count('z0') >= needed(BASE)
        assert model.total() <= 3 * (needed(BASE) * SLACK + 1)

    @pytest.mark.parametrize('zones', [2, 3])
    def test_room_for_a_lost_zone_of_uneven_ones(self, zones: int) -> None:
        """A zone with most of the demand may be lost too."""
        names = ZONES[:zones]

        def demand(zone: str, _now: float) -> float:
            return 2 * BASE if zone == 'z0' else BASE / 2

        model = Model(demand, ready=needed(2 * BASE), zones=names)
        model.run(150.0)
        model.zones['z0'].is_up = False
        model.run(30.0)
        assert model.short_during(0.0, 180.0) == 0

    def test_zone_out_of_service(self) -> None:
        """The count of a zone that operators have taken out is kept."""
        model = Model(steady)
        model.run(60.0)
        kept = model.count('z1')
        model.zones_out = {'z1'}
        model.demand = lambda zone, _now: 0.0 if zone == 'z1' else 1.5 * BASE
        model.run(120.0)
        assert model.count('z1') == kept
        assert model.reasons()['z1'] == 'ZONE_OUT'
        assert model.count('z0') >= needed(1.5 * BASE)

    def test_targets_never_come(self) -> None:
        """Other zones make up for one that gets no more targets.

        Demand beyond what the zone has goes there anyway.
        """

        def demand(_zone: str, now: float) -> float:
            return BASE * (2.0 if now >= 60.0 else 1.0)

        model = Model(demand)
        model.zones['z0'].grants = False
        model.run(240.0)
        assert model.short_during(60.0 + 6 * BOOT_S, 240.0) == 0
        assert model.count('z0') >= needed(BASE)
        assert model.zones['z0'].ready <= TARGETS
        serving = sum(zone.ready for zone in model.zones.values())
        assert serving >= 3 * needed(2 * BASE)
        assert all(
            count <= SPEC.max_targets for count in model.committed.values()
        )

    def test_all_targets_leave_at_notice(self) -> None:
        """A zone whose targets all leave keeps its count, as do the others."""
        model = Model(steady)
        model.run(60.0)
        counts = dict(model.committed)
        model.zones['z2'].order(0, model.now)
        model.run(1.0)
        assert model.zones['z2'].booting
        assert all(
            model.committed[place] >= count for place, count in counts.items()
        )

    def test_new_leader_keeps_counts(self) -> None:
        """A leader that knows neither targets nor load decides nothing."""
        model = Model(steady, ready=30)
        model.run(100.0)
        counts = dict(model.committed)
        model.elect()
        model.reporting = 0
        for zone in model.zones.values():
            zone.is_up = False  # no heartbeat has come yet
        model.run(5.0)
        assert model.committed == counts
        assert set(model.reasons().values()) == {'LEARNING'}
        for zone in model.zones.values():
            zone.is_up = True
        model.reporting = 60
        model.run(24.0)  # too soon for a decrease
        assert all(
            model.committed[place] >= count for place, count in counts.items()
        )
        model.run(120.0)
        assert model.short_during(6.0, 249.0) == 0
        assert model.count('z0') <= needed(BASE) * SLACK + 1

    def test_new_leader_meets_demand(self) -> None:
        """A leader does not wait for a full history to order targets."""
        model = Model(steady, ready=12)
        model.elect()
        model.run(9.0)
        assert model.count('z0') >= needed(0.9 * BASE)


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
        assert desired == [4, needed(70.0)]

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
