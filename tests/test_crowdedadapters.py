"""Tests of adapters whose targets are full when many callers ask for them.

A sudden demand for an adapter that one engine holds overran that engine while
others were idle, since the leader averages demand over ten seconds.
"""

import asyncio

import pytest
from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.deployment import Deployment, DeploymentIndex
from lovagemast_core.entry import TargetRequirements
from lovagemast_core.targets import AdapterUse
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._loadtracker import LoadTracker
from lovagemast_node.fleet._metrics import EntryMetrics
from lovagemast_node.fleet._targetpaces import PaceTracker

from tests.orderedvm import POOL, SLOTS, OrderedVm, play
from tests.plannerbench import Bench

WANTED = TargetRequirements('pool', 'm', 'a1')


def make_tracker() -> LoadTracker:
    """Return the load tracker of an entry VM."""
    return LoadTracker(PaceTracker(JsonLog('e1'), EntryMetrics()))


@pytest.mark.parametrize(
    ('requests', 'crowded', 'copies'),
    [(2, 0, []), (2, 1, []), (2, 2, ['a1']), (5, 5, ['a1'])],
)
def test_copy_for_requests_that_wait(
    requests: int, crowded: int, copies: list[str]
) -> None:
    """Two requests that wait for a slot are reason enough for a copy."""
    bench = Bench()
    home = bench.load('a1')
    tracker = make_tracker()
    for _sent in range(requests):
        tracker.adapter_requested(WANTED)
    for _waiting in range(crowded):
        tracker.adapter_crowded(WANTED)
    bench.planner.record_wishes(tracker.take_wishes(), bench.now)
    label = str(AdapterLabel('m', 'a1', 0))
    use = AdapterUse(home, label, 8, 0)
    bench.planner.record_uses('vm', (use,), bench.now)
    assert [order.adapter for order in bench.plan()] == copies


def test_no_copy_beside_busy_engines() -> None:
    """Where all engines are as busy, a copy would take from others."""
    bench = Bench()
    home = bench.load('a1')
    tracker = make_tracker()
    for _request in range(4):
        tracker.adapter_crowded(WANTED)
    bench.planner.record_wishes(tracker.take_wishes(), bench.now)
    uses = tuple(AdapterUse(name, '', 8, 0) for name in bench.sequences)
    assert home in bench.sequences
    bench.planner.record_uses('vm', uses, bench.now)
    assert not bench.plan()


@pytest.mark.parametrize(('is_ordered', 'demand'), [(True, 8), (False, 3)])
def test_wait_for_a_slot_is_counted(is_ordered: bool, demand: int) -> None:
    """One of three requests waits; it counts more in an ordered pool."""

    async def scenario(vm: OrderedVm) -> None:
        vm.hold_adapter('m/a1@0')
        if not is_ordered:
            vm.state.queues.set_index(DeploymentIndex(Deployment()))
        model = b'X-Model: m/a1\r\n'
        calls = [
            await vm.begin(f'call{number}', headers=model)
            for number in range(SLOTS + 1)
        ]
        wishes = vm.state.load.take_wishes()
        assert [(one.adapter, one.demand) for one in wishes] == [('a1', demand)]
        await vm.target.finish(SLOTS)
        await asyncio.sleep(0.1)
        await vm.target.finish()
        await asyncio.gather(*calls)
        vm.state.queues.serve_in_order(POOL)

    play(scenario)
