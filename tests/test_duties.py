"""Tests of each decision about the duties at the infrastructure."""

import pytest
from lovagemast_core._commands import SetHolders
from lovagemast_core._messages import RelayHello
from lovagemast_core._state import ReplicatedState
from lovagemast_core.agreement._formats import COMMAND_FORMATS, FORMAT
from lovagemast_core.duties import (
    AccountCount,
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    DutyConfig,
    FleetClock,
    FollowedClock,
    SetDesired,
    SetDutyHolder,
    SteadyClock,
    UsageCounter,
    UsageExchange,
    UsageLedger,
    UsageReport,
    UsageWindows,
    VmUsage,
    WindowUsage,
    WorkTimes,
)
from lovagemast_core.duties._committer import WindowCommitter
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import lovagemast_pb2, to_wire

NOW = 100.0
UTC_S = 1_767_225_600.0
WINDOW = 353_445_120  # which begins at UTC_S
CONFIG = DutyConfig(has_metering=True, has_scaling=True)


def usage(
    count: int, vm: str = 'e1', incarnation: int = 1, *, ahead: int = 0
) -> VmUsage:
    """Return a VM's count of one account in a window."""
    windows = (WindowUsage(WINDOW, ('a',), (count,)),)
    return VmUsage(vm, incarnation, WINDOW + ahead, windows)


def report(window: int = WINDOW, count: int = 3) -> UsageReport:
    """Return a report with one account."""
    return UsageReport(window, (AccountCount('a', count),))


def total(ledger: UsageLedger) -> int:
    """Return the requests of the window."""
    return sum(one.requests for one in ledger.report(WINDOW).counts)


class TestLedger:
    def test_repeated_and_late_reports_add_nothing(self) -> None:
        """Counts are cumulative, by incarnation."""
        ledger = UsageLedger()
        for count in (3, 5, 5, 4):
            ledger.add((usage(count),))
        assert total(ledger) == 5
        ledger.add((usage(2, incarnation=2), usage(1, vm='e2')))
        assert total(ledger) == 8

    def test_committed_windows_are_forgotten(self) -> None:
        """Late counts of a committed window are dropped."""
        ledger = UsageLedger()
        ledger.add((usage(3),))
        ledger.set_floor(WINDOW)
        ledger.add((usage(4),))
        assert not ledger.report(WINDOW).counts

    def test_state_is_bounded(self) -> None:
        """Windows and idle incarnations do not pile up."""
        ledger = UsageLedger()
        windows = tuple(
            WindowUsage(number, ('a',), (1,)) for number in range(1, 500)
        )
        ledger.add((VmUsage('e1', 1, 500, windows),))
        changed = ledger.changed_since(0)
        assert len(changed[0].windows) == 64
        ledger.set_floor(1_000)
        assert not ledger.changed_since(0)

    def test_open_windows(self) -> None:
        """A VM that restarted closes a window by its newer incarnation."""
        ledger = UsageLedger()
        ledger.add((usage(1), usage(1, vm='e2', ahead=1)))
        assert ledger.unclosed_vms(WINDOW) == ['e1']
        ledger.add((usage(0, incarnation=2, ahead=1),))
        assert ledger.unclosed_vms(WINDOW) == []
        assert ledger.unclosed_vms(WINDOW + 4) == ['e1', 'e2']
        assert ledger.unclosed_vms(WINDOW + 9) == []  # both are gone


class TestExchange:
    def test_until_it_arrived(self) -> None:
        """A report is repeated unless its very request was answered."""
        exchange = UsageExchange()
        exchange.ledger.add((usage(3),))
        assert exchange.reports(1, NOW)
        assert not exchange.reports(2, NOW + 0.5)
        reply = SyncReply(2, True, 'c', 1, 0.0)
        exchange.on_reply(reply, NOW, NOW + 0.6)
        assert exchange.reports(3, NOW + 1.1)
        exchange.on_reply(reply._replace(ask=3), NOW, NOW + 1.2)
        assert not exchange.reports(4, NOW + 3.0)
        exchange.ledger.add((usage(4),))
        assert exchange.reports(5, NOW + 4.0)

    def test_new_server_is_told_everything(self) -> None:
        """Another epoch is another relay, or another leader."""
        exchange = UsageExchange()
        exchange.ledger.add((usage(3),))
        reply = SyncReply(1, True, 'c', 1, 0.0, epoch=7)
        exchange.on_reply(reply, NOW, NOW)
        assert exchange.reports(2, NOW)
        exchange.on_reply(reply._replace(ask=2), NOW, NOW)
        assert not exchange.reports(3, NOW + 2.0)
        exchange.on_reply(reply._replace(ask=3, epoch=8), NOW, NOW)
        assert exchange.reports(4, NOW + 2.0)


class TestClocks:
    @pytest.mark.parametrize('jump_s', [-3_600.0, 3_600.0])
    def test_jumps_are_not_followed(self, jump_s: float) -> None:
        """A wall clock counts after a jump only once it has lasted."""
        clock = SteadyClock(UTC_S, NOW)
        later = UTC_S + 10.0
        assert clock.read(later + 0.01, NOW + 10.0) == pytest.approx(
            later, abs=0.02
        )
        shown = clock.read(later + jump_s, NOW + 10.0)
        assert shown == pytest.approx(later, abs=0.02)
        shown = clock.read(later + jump_s + 700.0, NOW + 710.0)
        assert shown == pytest.approx(later + jump_s + 700.0)

    def test_median_of_control_vms(self) -> None:
        """A minority of wrong clocks has no effect; most must be known."""
        clock = FleetClock()
        clock.record('c1', UTC_S, NOW)
        assert clock.utc(3, NOW) is None
        clock.record('c2', UTC_S + 500.0, NOW)
        clock.record('c3', UTC_S + 0.01, NOW)
        assert clock.utc(3, NOW) == pytest.approx(UTC_S, abs=0.02)
        assert clock.utc(3, NOW + 6.0) is None

    def test_slow_replies_are_ignored(self) -> None:
        """A reply after a freeze says nothing of the time."""
        clock = FollowedClock()
        clock.on_reply(UTC_S, NOW - 0.02, NOW)
        clock.on_reply(UTC_S, NOW, NOW + 5.0)
        known = clock.utc(NOW + 5.0)
        assert known == pytest.approx(UTC_S + 5.0, abs=0.02)


class TestCounter:
    def test_counts_before_the_time_is_known(self) -> None:
        """They go into the windows in which the requests began."""
        counter = UsageCounter('e1', 1, UsageWindows())
        counter.record('a', NOW, NOW)
        counter.record('a', NOW + 4.0, NOW + 4.0)
        assert counter.reports(1, NOW + 4.0) == ()
        reply = SyncReply(1, True, 'c', 1, 0.0, utc_s=UTC_S + 6.0)
        counter.exchange.on_reply(reply, NOW + 4.0, NOW + 4.0)
        reported = counter.reports(2, NOW + 4.0)[0]
        assert [one.counts for one in reported.windows] == [(1,), (1,)]
        assert reported.open_window == WINDOW + 1

    @pytest.mark.parametrize(
        ('late_s', 'began_s', 'window'),
        [
            (0.3, 0.4, WINDOW),  # a response of work from before
            (0.3, 0.1, WINDOW + 1),
            (0.7, 0.8, WINDOW + 1),  # the window was closed
        ],
    )
    def test_late_responses(
        self, late_s: float, began_s: float, window: int
    ) -> None:
        """Work counts in the window in which it began, while that is open."""
        counter = UsageCounter('e1', 1, UsageWindows())
        clock = counter.exchange.clock
        clock.on_reply(UTC_S + 5.0 + late_s, NOW, NOW)
        counter.reports(1, NOW)
        counter.record('a', NOW - began_s, NOW)
        reported = counter.reports(2, NOW + 1.5)
        assert [one.window for one in reported[0].windows] == [window]

    def test_small_step_back(self) -> None:
        """It opens no closed window again."""
        counter = UsageCounter('e1', 1, UsageWindows())
        clock = counter.exchange.clock
        clock.on_reply(UTC_S + 5.51, NOW, NOW)
        counter.reports(1, NOW)
        clock.on_reply(UTC_S + 5.49, NOW, NOW)
        counter.record('a', NOW - 0.6, NOW)
        reported = counter.reports(2, NOW + 1.5)
        assert reported[0].windows == (WindowUsage(WINDOW + 1, ('a',), (1,)),)


class TestWorkTimes:
    def test_began_at(self) -> None:
        """Where requests wait, the shortest time is that of the work."""
        times = WorkTimes()
        sent_at = NOW - 0.1
        assert times.began_at('r', sent_at, NOW, has_queue=True) == sent_at
        sent_at = NOW - 0.4
        assert times.began_at('r', sent_at, NOW, has_queue=True) == (
            pytest.approx(NOW - 0.1)
        )
        assert times.began_at('r', sent_at, NOW, has_queue=False) == sent_at
        assert times.began_at('s', sent_at, NOW, has_queue=True) == sent_at
        later = NOW + 20.0  # the targets have become slower
        assert times.began_at('r', later - 0.3, later, has_queue=True) == (
            pytest.approx(later - 0.3)
        )


class TestCommitter:
    END_S = UTC_S + 5.0

    @pytest.mark.parametrize(
        ('ahead', 'late_s', 'led_s', 'commits'),
        [
            (1, 0.1, 60.0, True),  # all have closed it
            (1, -0.1, 60.0, False),  # it has not ended
            (0, 2.0, 60.0, False),  # one is missing
            (0, 5.1, 60.0, True),  # it must be sent in time
            (1, 2.0, 2.5, False),  # a new leader may not know all
            (0, 9.0, 2.5, True),
            (0, 9.0, 1.5, False),  # it may not know any
        ],
    )
    def test_when(
        self, ahead: int, late_s: float, led_s: float, commits: bool
    ) -> None:
        """Once it is closed everywhere, or before it is due."""
        ledger = UsageLedger()
        ledger.add((usage(3, ahead=ahead),))
        committer = WindowCommitter(CONFIG)
        made = committer.next_report(
            ledger, WINDOW - 1, self.END_S + late_s, led_s
        )
        assert (made is not None) is commits

    def test_windows_without_requests(self) -> None:
        """They are reported too, but none before the first count."""
        committer = WindowCommitter(CONFIG)
        ledger = UsageLedger()
        assert not committer.next_report(ledger, 0, UTC_S, 60.0)
        made = committer.next_report(ledger, WINDOW - 3, UTC_S, 60.0)
        assert made == UsageReport(WINDOW - 2, ())

    def test_after_a_long_gap(self) -> None:
        """Windows that nobody waits for any more are passed over."""
        committer = WindowCommitter(CONFIG)
        made = committer.next_report(UsageLedger(), 5, UTC_S, 60.0)
        assert made
        assert made.window == WINDOW - 64


class TestState:
    def test_first_commit_wins(self) -> None:
        """A committed window is never changed, nor one before it."""
        state = ReplicatedState()
        state.apply(CommitUsage(report(count=3)))
        state.apply(CommitUsage(report(count=4)))
        state.apply(CommitUsage(report(WINDOW - 1)))
        assert state.duties.unconfirmed == (report(count=3),)
        state.apply(ConfirmUsage(WINDOW))
        state.apply(CommitUsage(report(count=4)))
        assert not state.duties.unconfirmed
        assert state.duties.confirmed_window == WINDOW

    def test_is_bounded(self) -> None:
        """Without confirmations, the newest windows are kept."""
        state = ReplicatedState()
        for number in range(200):
            state.apply(CommitUsage(report(WINDOW + number)))
        windows = [one.window for one in state.duties.unconfirmed]
        assert windows == list(range(WINDOW + 136, WINDOW + 200))

    def test_holder(self) -> None:
        """The epoch increases with each change, and only then."""
        state = ReplicatedState()
        state.apply(SetDutyHolder(0, 'c1', 1.0))
        state.apply(SetDutyHolder(0, 'c2', 2.0))
        assert state.duties[:4] == (1, 'c1', 1.0, False)
        state.apply(SetDutyHolder(1, 'c1', 3.0))
        assert state.duties[:4] == (1, 'c1', 1.0, True)
        state.apply(SetDutyHolder(1, 'c2', 4.0))
        assert state.duties[:4] == (2, 'c2', 4.0, False)

    def test_desired(self) -> None:
        """A confirmation of an older count does not confirm a newer one."""
        state = ReplicatedState()
        state.apply(SetDesired('p', 'z', 4))
        state.apply(SetDesired('p', 'z', 5))
        state.apply(ConfirmDesired('p', 'z', 1))
        known = state.duties.desired[0]
        assert (known.desired, known.number, known.is_confirmed) == (
            5,
            2,
            False,
        )
        state.apply(ConfirmDesired('p', 'z', 2))
        assert state.duties.desired[0].is_confirmed
        state.apply(SetDesired('p', 'z', 5))
        assert state.duties.desired[0].is_confirmed

    def test_snapshots(self) -> None:
        """They hold the duties, and nothing of them if there are none."""
        state = ReplicatedState()
        state.apply(SetHolders(0, ('c1',)))
        plain = to_wire(state.to_snapshot())
        assert not plain.HasField('duties')
        state.apply(CommitUsage(report()))
        restored = ReplicatedState()
        restored.restore(state.to_snapshot())
        assert restored.duties == state.duties

    def test_formats(self) -> None:
        """Builds of the format before are not sent the commands."""
        kinds = (CommitUsage, ConfirmUsage, SetDutyHolder, SetDesired)
        assert FORMAT == 2
        assert {COMMAND_FORMATS[kind] for kind in kinds} == {2}


def test_messages_do_not_grow() -> None:
    """Without duties, messages are as long as before."""
    hello = lovagemast_pb2.RelayHello(clock=1.0)
    assert to_wire(RelayHello(1.0)) == hello
    ask = to_wire(SyncAsk(1, 'e', 'z', 0, 0, 0))
    reply = to_wire(SyncReply(1, True, 'c', 1, 0.0))
    named = {
        field.name for field, _ in (*ask.ListFields(), *reply.ListFields())
    }
    assert not named & {'usage', 'utc_s', 'usage_floor'}
