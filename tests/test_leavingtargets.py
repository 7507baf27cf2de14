"""Tests that targets which leave at short notice get nothing new."""

import asyncio

import pytest
from lovagemast_core.adapters import Order, TargetReport
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    NoReadyTarget,
    SelectionCriteria,
    TargetHealth,
    TargetRequirements,
    choose_target,
    find_candidates,
)
from lovagemast_core.targets import (
    AdapterUse,
    AdapterWish,
    TargetHeartbeat,
    TargetRegistry,
)
from lovagemast_node._clock import now_s

from tests.plannerbench import Bench, make_pool
from tests.relayfleet import RelayFleet, make_heartbeat
from tests.test_calls import HOST, make_index
from tests.test_promptcheck import EntryVm

NOTICE_S = 2.0
HOLD_S = 0.5  # for which a new suspicion holds retries back
ANSWER = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n'


def leave(bench: Bench, name: str, remaining_s: float = NOTICE_S) -> None:
    """Pass the heartbeat of an engine that has a termination notice."""
    engine = bench.planner.get(name)
    assert engine
    heartbeat = engine.heartbeat._replace(leaving=True, remaining_s=remaining_s)
    bench.planner.update_engine(heartbeat, make_pool(), bench.now)


def orders_to(orders: list[Order]) -> list[tuple[str, str, bool]]:
    """Return target, adapter and kind of orders."""
    return [(one.target, one.adapter, one.load) for one in orders]


class TestPlanner:
    def test_sole_holder_leaves(self) -> None:
        """An adapter that only a leaving engine holds is loaded elsewhere.

        Otherwise its requests wait until the engine has gone.
        """
        bench = Bench()
        home = bench.load('a1')
        bench.send_heartbeats()
        leave(bench, home)
        bench.wish('a1')
        orders = bench.plan()
        assert [one.adapter for one in orders] == ['a1']
        assert orders[0].target != home

    def test_crowded_holder_beside_a_leaving_one(self) -> None:
        """A leaving holder, idle by now, does not prevent a copy.

        The copies of a popular adapter are then too few by one.
        """
        bench = Bench()
        home = bench.load('a1')
        bench.send_heartbeats()
        bench.wish('a1', 20.0)
        use = AdapterUse(home, 'm/a1@0', 6, 0)
        bench.planner.record_uses('vm', (use,), bench.now)
        copy = bench.plan()[0]
        bench.answer(copy)
        bench.now += 0.5
        bench.send_heartbeats()
        leave(bench, copy.target)
        bench.wish('a1', 20.0)
        bench.planner.record_uses('vm', (use,), bench.now)
        orders = bench.plan()
        assert [one.adapter for one in orders] == ['a1']
        assert orders[0].target not in {home, copy.target}

    def test_unrequested_adapter_displaces_nothing(self) -> None:
        """An adapter that nobody asks for is not moved off a leaving engine.

        Adapters with a named version took slots from ones in demand.
        """
        bench = Bench()
        home = bench.load('a1')
        bench.planner.engines.newest_versions = {('m', 'a1'): 0}
        bench.now += 1.0
        bench.send_heartbeats()
        leave(bench, home)
        assert bench.plan() == []

    def test_last_holder_is_not_evicted(self) -> None:
        """An adapter's demand is not shared with a holder that leaves.

        Half of its demand would make it a victim of less requested ones.
        """
        bench = Bench()
        home = bench.load('a1')
        bench.wish('a1', 20.0)
        engines = bench.planner.engines
        engine = bench.planner.get(home)
        assert engine
        label = next(iter(engine.ready_at))
        other = next(name for name in bench.sequences if name != home)
        bench.report(other, (label,))
        leave(bench, other)
        engines.refresh(bench.now)
        rate = bench.planner.demand.rate(label.name, bench.now)
        assert engines.demand_per_holder(label, bench.now) == rate

    @pytest.mark.parametrize('models', [('m',), ()])
    def test_no_order_to_it(self, models: tuple[str, ...]) -> None:
        """An engine that leaves is sent no orders and asked for no report."""
        bench = Bench(engines=1)
        bench.send_heartbeat('e0', models, incarnation=2)
        bench.report('e0', ())
        leave(bench, 'e0')
        bench.wish('a1')
        bench.now += 0.1
        assert orders_to(bench.plan()) == []
        bench.now += 2.0
        assert bench.planner.reports_due(bench.now) == []


class TestRegistry:
    def test_remaining_time_is_no_change(self) -> None:
        """The countdown of a leaving target is not pushed to all VMs.

        Each of its heartbeats was a change that woke all relays.
        """
        registry = TargetRegistry()
        notice = make_heartbeat('t1', 1, 1, leaving=True)
        registry.record_heartbeat(notice._replace(remaining_s=2.0), 1.0)
        stamp = registry.stamp
        later = notice._replace(sequence=2, remaining_s=0.8)
        assert registry.record_heartbeat(later, 2.0)
        assert registry.stamp == stamp
        known = registry.get('t1')
        assert known
        assert known.heartbeat.remaining_s == 0.8

    def test_notice_without_an_earlier_heartbeat(self) -> None:
        """A target first heard of while it leaves is recorded as leaving."""
        registry = TargetRegistry()
        notice = make_heartbeat('t1', 1, 1, leaving=True)
        assert registry.record_heartbeat(notice, 1.0)
        known = registry.get('t1')
        assert known
        assert known.heartbeat.leaving


class TestEntryVms:
    def test_no_entry_vm_uses_it(self) -> None:
        """Within 0.3 s no entry VM sends to a target that has a notice.

        What is sent later is lost with the target.
        """
        fleet = RelayFleet(3, 9)
        fleet.targets.update(('t1', 't2'))
        for _beat in range(6):
            fleet.send_heartbeats()
            fleet.run(1.0)
        assert all(_chosen(fleet, vm) == 't1' for vm in fleet.entries)
        known = {
            vm: one.view.targets['t1'] for vm, one in fleet.entries.items()
        }
        fleet.send_heartbeats('t1')
        fleet.run(0.3)
        for vm, entry in fleet.entries.items():
            assert not entry.view.may_use(known[vm])
            assert _chosen(fleet, vm) == ''

    def test_new_leader_says_so_too(self) -> None:
        """A leader elected during the notice does not offer the target."""
        fleet = RelayFleet(3, 3)
        fleet.targets.update(('t1', 't2'))
        fleet.send_heartbeats()
        fleet.run(6.0)
        fleet.send_heartbeats('t1')
        fleet.run(0.3)
        fleet.elect()
        fleet.send_heartbeats('t1')
        fleet.run(1.0)
        assert all(_chosen(fleet, vm) == '' for vm in fleet.entries)

    def test_requested_adapter_is_loaded_by_the_leader(self) -> None:
        """The leader orders the load in its next run, not after the end."""
        fleet = RelayFleet(3, 3)
        fleet.targets.update(('t1', 't2'))
        fleet.send_heartbeats()
        fleet.run(6.0)
        fleet.send_heartbeats()
        leader = fleet.leader
        leader.on_heartbeat(_notice('t1'), fleet.now)
        leader.planner.record_wishes(
            (AdapterWish('pool', 'm', 't1', 1, 1.0),), fleet.now
        )
        leader.planner.record_report(
            TargetReport('t2', 0, False, ('m',), (), (), 0, 0), fleet.now
        )
        orders = leader.planner.plan(1, fleet.now)
        assert orders_to(orders) == [('t2', 't1', True)]


class EndingTarget:
    """A target that ends with its request once ``ends``; answers later ones."""

    def __init__(self, ends: asyncio.Event) -> None:
        self.has_request = asyncio.Event()
        self._ends = ends
        self._server: asyncio.Server | None = None

    async def serve(self) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.has_request.set()
        if self._ends.is_set():
            writer.write(ANSWER)
            await writer.drain()
        else:
            await self._ends.wait()
            if self._server:
                self._server.close()
        writer.close()


class TestRetries:
    @pytest.mark.parametrize('has_notice', [True, False])
    def test_end_at_notice_is_no_crash(self, *, has_notice: bool) -> None:
        """What a leaving target was running is repeated at once elsewhere.

        Its end was taken for a crash, and the retries of all prompts that it
        ran were held back, as suspected to crash targets. One without a
        notice has crashed.
        """

        async def play() -> tuple[int, float, int]:
            vm = EntryVm()
            ends = asyncio.Event()
            targets = [EndingTarget(ends), EndingTarget(ends)]
            await vm.serve(*targets)  # type: ignore[arg-type]
            vm.state.view.index = make_index(CallKind.SAFE)
            task = asyncio.create_task(vm.request('sys:9,own:1'))
            waits = [
                asyncio.create_task(one.has_request.wait()) for one in targets
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            number = int(targets[1].has_request.is_set())
            view = vm.state.view
            if has_notice:
                view.record_leaving(view.targets[f't{number}'])
            ended_at = now_s()
            ends.set()
            answer = await task
            took_s = now_s() - ended_at
            waits[1 - number].cancel()
            return answer.status, took_s, len(vm.implicated())

        status, took_s, crashes = asyncio.run(play())
        assert crashes == (0 if has_notice else 1)
        if has_notice:
            assert status == 200
            assert took_s < HOLD_S


def _notice(target: str) -> TargetHeartbeat:
    beat = make_heartbeat(target, 1, 10_000, leaving=True)
    return beat._replace(remaining_s=NOTICE_S)


def _chosen(fleet: RelayFleet, vm: str) -> str:
    """Return the target that an entry VM chooses for the adapter ``t1``."""
    view = fleet.entries[vm].view
    criteria = SelectionCriteria(
        TargetHealth(),
        lambda _known: 0.0,
        lambda _known: True,
        frozenset(),
        'z0',
        vm,
    )
    wanted = TargetRequirements('pool', 'm', 't1', None)
    found = choose_target(
        find_candidates(view, wanted, fleet.now), criteria, fleet.now
    )
    return '' if isinstance(found, NoReadyTarget) else found.candidate.target
