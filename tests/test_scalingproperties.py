"""Tests of the counts of targets under loads that nobody has thought of."""

import bisect
import itertools
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core.deployment import ScalingSpec
from lovagemast_core.scaling import (
    PoolObservation,
    Reason,
    ScalingController,
    ScalingObservations,
    ZoneObservation,
)

from tests.scalingmodel import BOOT_S, SLOTS, ZONES, Model

PERIOD_S = 11.0

ZONE_LOAD = st.tuples(
    st.integers(0, 60),  # ready
    st.integers(0, 3),  # leaving
    st.integers(0, 2_000),  # requests
    st.booleans(),  # in service
)
MOMENT = st.tuples(
    st.sampled_from([0.1, 0.5, 1.0, 2.5, 9.0]),  # s since the last one
    st.sampled_from([0, 30, 57, 60]),  # entry VMs that report
    st.integers(0, 300),  # waiting
    st.lists(ZONE_LOAD, max_size=3),
)


@settings(max_examples=150, deadline=None)
@given(
    moments=st.lists(MOMENT, min_size=1, max_size=80),
    limits=st.tuples(st.integers(0, 40), st.integers(0, 40)),
    boot_s=st.sampled_from([0.0, 1.0, 8.0, 60.0]),
    led_s=st.sampled_from([0.0, 60.0]),
)
def test_any_load(moments, limits, boot_s: float, led_s: float) -> None:
    """Counts stay within the limits, and no decrease follows an increase soon.

    Without information nothing changes. A count that went down goes up again
    soon only if demand is higher than all of the time before.
    """
    spec = ScalingSpec(min(limits), max(limits), boot_s)
    controller = ScalingController()
    committed: dict[tuple[str, str], int] = {}
    raised_at: dict[str, float] = {}
    now = 100.0
    for wait_s, reporting, waiting, loads in moments:
        now += wait_s
        led_s += wait_s
        zones = tuple(
            ZoneObservation(
                f'z{index}', ready, 0, leaving, ready * SLOTS, requests, used
            )
            for index, (ready, leaving, requests, used) in enumerate(loads)
        )
        pool = PoolObservation('p', spec, waiting, zones)
        observations = ScalingObservations(1, led_s, reporting, (pool,))
        decided = controller.decide(observations, committed, now)
        is_known = reporting > 0 and led_s >= 6.0
        for one in decided:
            assert spec.min_targets <= one.desired <= spec.max_targets
            before = committed.get(('p', one.zone))
            if not is_known:
                assert one.desired == before
            if before is None or one.desired == before:
                continue
            if one.desired < before:
                since = now - raised_at.get(one.zone, -math.inf)
                assert since >= 2 * boot_s
                assert one.reason is Reason.LOW
            else:
                raised_at[one.zone] = now
        committed.update({('p', one.zone): one.desired for one in decided})


@settings(max_examples=20, deadline=None)
@given(
    parts=st.lists(
        st.tuples(st.sampled_from([4, 10, 30, 60]), st.integers(0, 300)),
        min_size=2,
        max_size=4,
    ),
    swing=st.sampled_from([0.0, 0.27]),
)
def test_no_return_without_new_demand(parts, swing: float) -> None:
    """A decrease is undone soon only by demand above all of its window.

    Otherwise the count would go A, B, A with demand that was there before.
    """
    check_returns(parts, swing)


def test_no_return_with_demand_of_before() -> None:
    """A decrease just after a load has ended is not undone by less than it."""
    check_returns([(10, 0), (10, 0), (60, 0), (10, 57)], swing=0.27)


def check_returns(parts: list[tuple[int, int]], swing: float) -> None:
    """Check that no decrease is undone soon by demand that was known."""
    starts = list(itertools.accumulate((s for s, _ in parts), initial=0))

    def demand(_zone: str, now: float) -> float:
        index = bisect.bisect_right(starts, now) - 1
        level = parts[min(index, len(parts) - 1)][1]
        angle = 2 * math.pi * now / PERIOD_S
        return level * (1 + swing * math.sin(angle))

    model = Model(demand)
    model.run(starts[-1])
    for zone in ZONES:
        for (down_at, low), (up_at, high) in itertools.pairwise(
            model.history[zone][1:]
        ):
            if high <= low or up_at - down_at >= 2 * BOOT_S:
                continue
            if low >= _before(model, zone, down_at):
                continue  # it was no decrease
            known = [
                demand(zone, at / 2)
                for at in range(int(2 * (down_at - 20.0)), int(2 * down_at))
                if at >= 0
            ]
            later = [
                demand(zone, at / 2)
                for at in range(int(2 * down_at), int(2 * up_at) + 1)
            ]
            assert max(later) > max(known)


def _before(model: Model, zone: str, at: float) -> int:
    return [count for when, count in model.history[zone] if when < at][-1]
