"""Tests of the duties in a virtual fleet, one failure each."""

import random

import pytest
from lovagemast_core.duties import (
    CallResult,
    ScaleOrder,
    UsageReport,
)

from tests.controlcluster import VMS
from tests.dutyfleet import TICK_S, WINDOWS, DutyFleet, pick_fault

ORDERS = (ScaleOrder('pool', 'z1', 6), ScaleOrder('pool', 'z2', 3))


@pytest.fixture
def fleet() -> DutyFleet:
    """Return a fleet that has reported some windows."""
    made = DutyFleet()
    made.run(22.0)
    return made


def check(fleet: DutyFleet, missed: int = 0) -> None:
    """Check the rules, and that at most some windows were missed."""
    fleet.cloud.check_rules()
    good, due = fleet.good_windows()
    assert due
    assert due - good <= missed


def set_desired(fleet: DutyFleet, orders: tuple[ScaleOrder, ...]) -> None:
    """Give the leader the wanted numbers of targets."""
    controller = fleet.nodes[fleet.leader()].infrastructure.controller
    assert controller
    controller.set_desired(orders)


def run_until_call(fleet: DutyFleet, *, sent: bool) -> None:
    """Run until a window is committed, or until its report was received."""
    leader = fleet.nodes[fleet.leader()]
    last = leader.replica.state_machine.duties.last_window
    calls = len(fleet.cloud.calls)
    for _tick in range(400):
        fleet.run(TICK_S)
        duties = leader.replica.state_machine.duties
        if (
            len(fleet.cloud.calls) > calls
            if sent
            else duties.last_window > last
        ):
            return
    raise AssertionError('nothing was committed or sent')


class TestCalm:
    def test_all_windows(self, fleet: DutyFleet) -> None:
        """Each window is reported in time, exactly, and only once."""
        fleet.run(40.0)
        check(fleet)
        windows = [
            one.handed.call.window
            for one in fleet.cloud.calls
            if isinstance(one.handed.call, UsageReport)
        ]
        assert len(windows) == len(set(windows))
        for window in windows[1:]:
            report = fleet.report_of(window)
            counts = {one.account: one.requests for one in report.counts}
            assert counts == fleet.truth[window]

    def test_no_configuration(self) -> None:
        """Without duties, nothing is committed, and no message grows."""
        fleet = DutyFleet(entries=0)
        fleet.duties = None  # type: ignore[assignment]
        for vm in VMS:
            fleet.stop(vm)
            fleet.start(vm)
        fleet.run(10.0)
        for vm in VMS:
            node = fleet.nodes[vm]
            assert node.replica.state_machine.to_snapshot().duties is None
            assert not node.infrastructure.hello(1.0).has_duties
        assert not fleet.cloud.calls


class TestHolder:
    @pytest.mark.parametrize('fault', ['killed', 'frozen', 'cut'])
    def test_lost(self, fleet: DutyFleet, fault: str) -> None:
        """Another VM takes over in time; a frozen one sends nothing late."""
        former = fleet.holder
        if fault == 'killed':
            fleet.stop(former)
        elif fault == 'frozen':
            fleet.frozen.add(former)
        else:
            fleet.cut.add(former)
        fleet.run(20.0)
        assert fleet.holder != former
        if fault == 'killed':
            fleet.start(former)
        fleet.frozen.clear()
        fleet.cut.clear()
        fleet.run(15.0)
        check(fleet)

    def test_two_lost_in_turn(self, fleet: DutyFleet) -> None:
        """A holder that comes back soon does not act within the lease."""
        fleet.run(5.0)
        first = fleet.holder
        leader = fleet.leader()
        assert leader != first
        other = next(vm for vm in VMS if vm not in {first, leader})
        for tick in range(240):
            seconds = tick * TICK_S
            set_desired(fleet, (ORDERS[0]._replace(desired=tick),))
            if seconds == pytest.approx(1.0):
                fleet.frozen.add(first)
            elif seconds == pytest.approx(1.9):
                fleet.frozen = {other}
            elif seconds == pytest.approx(3.5):
                fleet.frozen = set()
            fleet.run(TICK_S)
        assert fleet.holder == first
        epochs = {one.handed.token for one in fleet.cloud.calls}
        assert len(epochs) > 1
        check(fleet)

    def test_cut_from_the_infrastructure(self, fleet: DutyFleet) -> None:
        """A VM that cannot connect is replaced by one that can."""
        former = fleet.holder
        fleet.cloud.unreachable_from.add(former)
        fleet.run(30.0)
        assert fleet.holder != former
        check(fleet)

    def test_infrastructure_down(self, fleet: DutyFleet) -> None:
        """The holders do not change without end, and all is sent later."""
        fleet.cloud.mood = CallResult.UNREACHABLE
        epoch = fleet.nodes[fleet.leader()].replica.state_machine.duties.epoch
        fleet.run(50.0)
        fleet.cloud.mood = CallResult.CONFIRMED
        fleet.run(15.0)
        duties = fleet.nodes[fleet.leader()].replica.state_machine.duties
        assert duties.epoch - epoch <= len(VMS)
        assert not duties.unconfirmed[:-1]
        assert set(fleet.truth) - set(fleet.cloud.accepted) <= {
            WINDOWS.window_at(fleet.utc()),
            WINDOWS.window_at(fleet.utc()) - 1,
        }
        fleet.cloud.check_rules()


class TestLeader:
    @pytest.mark.parametrize('sent', [False, True])
    def test_lost_after_commit_or_send(
        self, fleet: DutyFleet, sent: bool
    ) -> None:
        """The new leader sends what is committed, unchanged."""
        run_until_call(fleet, sent=sent)
        former = fleet.leader()
        fleet.stop(former)
        fleet.run(20.0)
        fleet.start(former)
        fleet.run(10.0)
        check(fleet)

    def test_lost_before_commit(self, fleet: DutyFleet) -> None:
        """The new leader learns of the counts from the relays."""
        now = fleet.utc()
        to_end = WINDOWS.end_of(WINDOWS.window_at(now)) - now
        fleet.run(to_end + 0.2)
        fleet.stop(fleet.leader())
        fleet.run(20.0)
        check(fleet)

    def test_all_control_vms_lose_power(self, fleet: DutyFleet) -> None:
        """What was committed is sent unchanged after the restart."""
        fleet.cloud.loses_answers = True
        run_until_call(fleet, sent=True)
        for vm in VMS:
            fleet.lose_power(vm)
        for vm in VMS:
            fleet.start(vm)
        fleet.cloud.loses_answers = False
        fleet.run(25.0)
        check(fleet)

    def test_vms_replaced_one_by_one(self, fleet: DutyFleet) -> None:
        """Empty disks learn of the duties from the others."""
        for number, vm in enumerate(VMS):
            fleet.stop(vm)
            fleet.wipe_disk(vm, f'new{number}')
            fleet.start(vm)
            fleet.run(15.0)
        check(fleet)
        states = {
            node.replica.state_machine.duties.last_window
            for node in fleet.nodes.values()
        }
        assert len(states) == 1

    def test_replaced_at_other_addresses(self, fleet: DutyFleet) -> None:
        """VMs that are lost for good leave the duties to empty ones."""
        for lost, new in ((fleet.holder, 'c4'), (fleet.leader(), 'c5')):
            fleet.stop(lost)
            fleet.wipe_disk(new)
            fleet.start(new)
            fleet.run(15.0)
            assert new in fleet.nodes[fleet.leader()].replica.voter_vms
        fleet.run(10.0)
        check(fleet)


class TestInfrastructure:
    @pytest.mark.parametrize(
        'mood',
        [CallResult.BUSY, CallResult.SILENT, CallResult.REJECTED],
    )
    def test_refuses_for_a_while(
        self, fleet: DutyFleet, mood: CallResult
    ) -> None:
        """Calls are repeated with back-off, and get through in time."""
        fleet.cloud.mood = mood
        before = len(fleet.cloud.calls)
        fleet.run(6.0)
        repeated = len(fleet.cloud.calls) - before
        assert 1 <= repeated <= 16
        fleet.cloud.mood = CallResult.CONFIRMED
        fleet.run(20.0)
        check(fleet)

    def test_answers_lost(self, fleet: DutyFleet) -> None:
        """A report whose answer is lost is repeated with the same counts."""
        fleet.cloud.loses_answers = True
        fleet.run(8.0)
        fleet.cloud.loses_answers = False
        fleet.run(20.0)
        check(fleet)
        assert len(fleet.cloud.calls) > len(fleet.cloud.accepted)

    def test_slow(self, fleet: DutyFleet) -> None:
        """Responses that take longer than the first time limit confirm."""
        fleet.cloud.took_s = 2.5
        fleet.run(40.0)
        duties = fleet.nodes[fleet.leader()].replica.state_machine.duties
        assert len(duties.unconfirmed) <= 2
        check(fleet)


class TestEntries:
    def test_killed_and_restarted(self, fleet: DutyFleet) -> None:
        """What a killed process had reported counts beside the new one's."""
        fleet.start_entry('e0')
        fleet.run(25.0)
        check(fleet)

    def test_gone(self, fleet: DutyFleet) -> None:
        """A VM that never closes a window does not delay it too long."""
        fleet.entries.pop('e0')
        fleet.run(25.0)
        check(fleet)

    @pytest.mark.parametrize('jump_s', [-40.0, 40.0])
    def test_clocks_jump(self, fleet: DutyFleet, jump_s: float) -> None:
        """Windows do not follow a control VM's and an entry VM's clock."""
        for vm in (fleet.leader(), 'e0', 'e1'):
            fleet.jumps[vm] = jump_s
        fleet.run(15.0)
        restarted = fleet.leader()
        fleet.stop(restarted)
        fleet.start(restarted)
        fleet.start_entry('e1')
        fleet.run(25.0)
        check(fleet)

    def test_cut_off(self, fleet: DutyFleet) -> None:
        """Counts of a VM without a relay for some seconds are not lost."""
        fleet.cut.add('e0')
        fleet.run(3.0)
        fleet.cut.clear()
        fleet.run(20.0)
        check(fleet)


class TestScaling:
    def test_newest_count_is_sent(self, fleet: DutyFleet) -> None:
        """Each zone's newest count arrives; nothing is sent twice."""
        set_desired(fleet, ORDERS)
        fleet.run(3.0)
        assert fleet.cloud.counts == {('pool', 'z1'): 6, ('pool', 'z2'): 3}
        set_desired(fleet, (ORDERS[0]._replace(desired=7), ORDERS[1]))
        fleet.run(3.0)
        assert fleet.cloud.counts == {('pool', 'z1'): 7, ('pool', 'z2'): 3}
        scale = [one for one in fleet.cloud.calls if one.handed.scale]
        assert len(scale) == 3
        fleet.cloud.check_rules()

    def test_replaced_while_refused(self, fleet: DutyFleet) -> None:
        """A count that is still to be sent is replaced by a newer one."""
        fleet.cloud.mood = CallResult.BUSY
        set_desired(fleet, ORDERS)
        fleet.run(1.0)
        set_desired(fleet, (ORDERS[0]._replace(desired=8), ORDERS[1]))
        fleet.run(1.0)
        fleet.cloud.mood = CallResult.CONFIRMED
        fleet.run(5.0)
        assert fleet.cloud.counts[('pool', 'z1')] == 8

    def test_older_count_may_come_late(self, fleet: DutyFleet) -> None:
        """A newer count is repeated if an older call had no response."""
        fleet.cloud.loses_answers = True
        set_desired(fleet, ORDERS[:1])
        fleet.run(1.0)
        set_desired(fleet, (ORDERS[0]._replace(desired=8),))
        fleet.run(1.0)
        fleet.cloud.loses_answers = False
        fleet.run(12.0)
        sent = [
            one.handed.scale.desired
            for one in fleet.cloud.calls
            if one.handed.scale
        ]
        assert sent[0] == 6
        assert sent[-2:] == [8, 8]

    def test_kept_over_elections(self, fleet: DutyFleet) -> None:
        """A new leader sends the committed counts that are unconfirmed."""
        fleet.cloud.mood = CallResult.BUSY
        set_desired(fleet, ORDERS)
        fleet.run(1.0)
        fleet.stop(fleet.leader())
        fleet.cloud.mood = CallResult.CONFIRMED
        fleet.run(10.0)
        assert fleet.cloud.counts == {('pool', 'z1'): 6, ('pool', 'z2'): 3}
        fleet.cloud.check_rules()


@pytest.mark.parametrize('seed', range(4))
def test_under_faults(seed: int) -> None:
    """Failures in any order break no rule, and nothing committed is lost."""
    fleet = DutyFleet(seed, entries=2)
    rng = random.Random(seed)
    fleet.run(12.0)
    for _fault in range(6):
        pick_fault(fleet, rng)
        fleet.run_until_led()
        set_desired(fleet, (ORDERS[0]._replace(desired=rng.randrange(20)),))
        fleet.run(rng.uniform(0.4, 12))
    fleet.run(40.0)
    fleet.run_until_led()
    fleet.cloud.check_rules()
    duties = fleet.nodes[fleet.leader()].replica.state_machine.duties
    due = duties.last_window - 1
    missing = [
        window
        for window in fleet.truth
        if window <= due and window not in fleet.cloud.accepted
    ]
    assert not missing
    good, total = fleet.good_windows()
    assert good >= 0.6 * total
