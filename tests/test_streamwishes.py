"""Adapters of streams that may go on at one software version only."""

import pytest
from lovagemast_core.adapters import AdapterLabel, Order
from lovagemast_core.targets import AdapterUse, AdapterWish

from tests.plannerbench import SLOTS, Bench

WISH = AdapterWish('pool', 'm', 'a0', 1, 0.0, 'v1')
HELD = AdapterLabel('m', 'a0', 1)


class VersionBench(Bench):
    """Engines of which the first one has version v1, the others v2."""

    def plan(self) -> list[Order]:
        """Return the orders for a stream's wish."""
        for name, engine in self.planner.engines.by_target.items():
            software = 'v1' if name == 'e0' else 'v2'
            engine.heartbeat = engine.heartbeat._replace(software=software)
        self.planner.record_wishes((WISH,), self.now)
        return self.planner.plan(3, self.now)


def test_adapter_is_loaded_at_the_stream_version() -> None:
    """That another version holds it is no use to the stream."""
    bench = VersionBench()
    bench.report('e1', (HELD,))
    orders = [(one.target, one.adapter, one.load) for one in bench.plan()]
    assert orders == [('e0', 'a0', True)]


def test_adapter_that_is_there_is_not_loaded_again() -> None:
    """The stream waits for room at its holder."""
    bench = VersionBench()
    bench.report('e0', (HELD,))
    assert bench.plan() == []


@pytest.mark.parametrize('is_in_use', [False, True])
def test_idle_adapter_makes_room_for_a_stream(is_in_use: bool) -> None:
    """The most requested one too, but none that runs."""
    bench = VersionBench()
    labels = tuple(AdapterLabel('m', f'b{one}', 1) for one in range(SLOTS))
    bench.report('e0', labels)
    wishes = [AdapterWish('pool', 'm', one.adapter, 0, 50.0) for one in labels]
    bench.planner.record_wishes(wishes, bench.now)
    if is_in_use:
        uses = tuple(AdapterUse('e0', str(one), 1, 1) for one in labels)
        bench.planner.record_uses('entry', uses, bench.now)
    bench.now += 1.0
    orders = [one for one in bench.plan() if one.target == 'e0']
    assert [one.load for one in orders] == ([] if is_in_use else [False])
