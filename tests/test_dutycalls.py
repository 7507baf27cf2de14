"""Tests of the holder of the duties, and of the calls that it is handed."""

import pytest
from lovagemast_core._state import ReplicatedState
from lovagemast_core.duties import (
    CallDone,
    CallReceiver,
    CallResult,
    ConfirmUsage,
    DutyState,
    HandedCall,
    ScaleOrder,
    SetDesired,
    SetDutyHolder,
)
from lovagemast_core.duties._dispatch import CallDispatcher
from lovagemast_core.duties._holder import DutyHolders

from tests.test_duties import CONFIG, NOW, UTC_S, WINDOW, report


class TestHolders:
    STATE = DutyState(4, 'c2', UTC_S, is_settled=True)

    def make(self, *vms: str) -> DutyHolders:
        """Return the view of the leader c1, which has heard of some VMs."""
        holders = DutyHolders('c1', 3.0)
        holders.start_term(NOW - 60.0)
        for vm in vms:
            holders.record_hello(vm, 7.0, NOW)
        return holders

    def test_rather_not_the_leader(self) -> None:
        """One failure should not take both."""
        holders = self.make('c1', 'c3')
        assert holders.propose(DutyState(), UTC_S, NOW) == SetDutyHolder(
            0, 'c3', UTC_S
        )

    @pytest.mark.parametrize(('silent_s', 'is_lost'), [(0.7, 0), (0.9, 1)])
    def test_unresponsive(self, silent_s: float, is_lost: int) -> None:
        """It is replaced by a VM that is in contact."""
        holders = self.make('c1', 'c2', 'c3')
        later = NOW + silent_s
        holders.record_hello('c3', 7.0, later)
        change = holders.propose(self.STATE, UTC_S, later)
        assert (change.vm if change else '') == ('c3' if is_lost else '')

    def test_cannot_connect(self) -> None:
        """It is replaced while another VM may connect, but not by turns."""
        holders = self.make('c1', 'c2', 'c3')
        for number in range(3):
            holders.record_result(
                'c2', CallResult.UNREACHABLE, NOW - 2.0 + number
            )
        change = holders.propose(self.STATE, UTC_S, NOW)
        assert change == SetDutyHolder(4, 'c3', UTC_S)
        holders = self.make('c2')
        for number in range(3):
            holders.record_result(
                'c2', CallResult.UNREACHABLE, NOW - 2.0 + number
            )
        assert holders.propose(self.STATE, UTC_S, NOW) is None

    @pytest.mark.parametrize(
        ('after_s', 'is_settled', 'clock'),
        [(1.0, False, None), (3.1, False, None), (3.3, False, 7.0)],
    )
    def test_wait(
        self, after_s: float, is_settled: bool, clock: float | None
    ) -> None:
        """A new holder is handed nothing for the lease time and a margin."""
        holders = self.make()
        state = self.STATE._replace(is_settled=is_settled)
        holders.update(state, NOW)
        holders.record_hello('c2', 7.0, NOW + after_s)
        assert holders.clock_for(state, NOW + after_s) == clock

    def test_old_hello(self) -> None:
        """A VM without a recent hello is handed nothing."""
        holders = self.make('c2')
        assert holders.clock_for(self.STATE, NOW + 0.2) == 7.0
        assert holders.clock_for(self.STATE, NOW + 0.4) is None


class TestReceiver:
    FIRST = HandedCall(1, 8, 3, NOW, 1.5, usage=report())

    @pytest.mark.parametrize(
        ('changes', 'detail'),
        [
            ({}, ''),
            ({'clock': NOW - 0.7}, 'too late to be sent'),
            ({'term': 2}, 'of an earlier term'),
            ({'token': 7}, 'of an earlier holder'),
            ({'usage': None}, 'of an unknown kind'),
        ],
    )
    def test_stale_calls(self, changes: dict[str, object], detail: str) -> None:
        """Late calls and those of former leaders or epochs are refused."""
        receiver = CallReceiver()
        assert receiver.accept('c1', self.FIRST, 3, NOW) is None
        done = CallDone(1, 3, CallResult.CONFIRMED, '')
        assert receiver.pop_requester(done) == 'c1'
        second = self.FIRST._replace(number=2, **changes)
        refused = receiver.accept('c1', second, 3, NOW)
        assert (refused.detail if refused else '') == detail

    def test_one_of_a_subject_at_a_time(self) -> None:
        """An older call under way could arrive after a newer one."""
        receiver = CallReceiver()
        assert receiver.accept('c1', self.FIRST, 3, NOW) is None
        second = self.FIRST._replace(number=2, term=4)
        assert receiver.accept('c3', second, 4, NOW)
        scale = ScaleOrder('p', 'z', 3)
        other = second._replace(usage=None, scale=scale)
        assert receiver.accept('c3', other, 4, NOW) is None


class TestDispatcher:
    STATE = DutyState(4, 'c2', unconfirmed=(report(), report(WINDOW + 1)))

    def next_call(
        self, dispatcher: CallDispatcher, now: float
    ) -> HandedCall | None:
        """Return the next call, as the windows end at ``NOW``."""
        return dispatcher.next_call(
            self.STATE, 3, now, UTC_S + 10.0 + now - NOW, now
        )

    def test_one_window_at_a_time(self) -> None:
        """The next one follows the outcome of the one before."""
        dispatcher = CallDispatcher(CONFIG)
        first = self.next_call(dispatcher, NOW)
        assert first
        assert (first.token, first.term) == (4, 3)
        assert first.usage == report()
        assert not self.next_call(dispatcher, NOW + 1.0)
        dispatcher.on_done(
            CallDone(first.number, 3, CallResult.CONFIRMED, ''), NOW + 1.0
        )
        assert dispatcher.confirmations(self.STATE) == [ConfirmUsage(WINDOW)]
        second = self.next_call(dispatcher, NOW + 1.0)
        assert second
        assert second.usage == report(WINDOW + 1)

    def test_late_windows_after_others(self) -> None:
        """After an outage, what can still be in time goes first."""
        dispatcher = CallDispatcher(CONFIG)
        handed = self.next_call(dispatcher, NOW + 6.0)
        assert handed
        assert handed.usage == report(WINDOW + 1)

    @pytest.mark.parametrize(
        ('result', 'least', 'most'),
        [
            (CallResult.BUSY, 5, 12),
            (CallResult.SILENT, 8, 25),
            (CallResult.REJECTED, 2, 3),
        ],
    )
    def test_back_off(self, result: CallResult, least: int, most: int) -> None:
        """Refused calls are repeated at a falling rate."""
        dispatcher = CallDispatcher(CONFIG)
        calls = 0
        for step in range(200):
            now = NOW + 0.05 * step
            handed = self.next_call(dispatcher, now)
            if handed and handed.usage == report():
                calls += 1
            if handed:
                done = CallDone(handed.number, 3, result, '')
                dispatcher.on_done(done, now)
        assert least <= calls <= most

    def test_lost_outcome(self) -> None:
        """A call whose outcome is not reported is repeated."""
        dispatcher = CallDispatcher(CONFIG)
        first = self.next_call(dispatcher, NOW)
        assert first
        assert not dispatcher.expire(NOW + 2.0)
        assert dispatcher.expire(NOW + 3.0)
        late = CallDone(first.number, 3, CallResult.CONFIRMED, '')
        assert not dispatcher.on_done(late, NOW + 3.0)
        again = self.next_call(dispatcher, NOW + 4.0)
        assert again
        assert again.usage == report()

    def test_rate(self) -> None:
        """Calls keep to a part of the rate that is accepted."""
        desired = tuple(
            SetDesired('p', f'z{number}', 1) for number in range(200)
        )
        replicated = ReplicatedState()
        for command in desired:
            replicated.apply(command)
        dispatcher = CallDispatcher(CONFIG)
        calls = sum(
            dispatcher.next_call(
                replicated.duties, 3, NOW, UTC_S, NOW + 0.001 * step
            )
            is not None
            for step in range(1_000)
        )
        assert 20 <= calls <= 26
