"""Targets that say in their answers that they leave, or want a pause."""

import asyncio
from typing import Any

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import FleetView
from lovagemast_core.targets import SyncReply, TargetRecord
from lovagemast_node.fleet._entrystate import EntryState

from tests.test_calls import Script, ScriptedTarget, answer, response_of

RECORD = TargetRecord('t1', 'p', 'h:1', 'z', 5, 8, False, 0.0)
NOW = 100.0
LEAVING = b'X-Request-Id: r\r\nX-Server-Stamp: s\r\nServer-Leaving: 1'


def sent_after(script: Script, **options: Any) -> EntryState:
    """Return an entry VM's state after a request to a target."""
    states: list[EntryState] = []
    asyncio.run(
        response_of(
            CallKind.SAFE,
            [ScriptedTarget(script)],
            prepare=states.append,
            **options,
        )
    )
    return states[0]


def make_view(record: TargetRecord = RECORD) -> FleetView:
    """Return a view that knows a target."""
    view = FleetView()
    view.apply(SyncReply(1, True, 'c', 1, 0.0, targets=(record,)), NOW, NOW)
    return view


class TestLeaving:
    @pytest.mark.parametrize(
        ('head', 'is_used'),
        [
            (b'200 OK\r\n' + LEAVING, False),
            (b'500 Failed\r\n' + LEAVING, False),
            (b'503 Full\r\nX-Not-Executed: 1\r\n' + LEAVING, False),
            (b'421 Other\r\n' + LEAVING, True),
            (b'200 OK\r\nX-Request-Id: r\r\nX-Server-Stamp: s', True),
        ],
    )
    def test_target_that_says_so_gets_no_more(
        self, head: bytes, is_used: bool
    ) -> None:
        """Its heartbeat may reach no control VM, so its answers count.

        An answer of another target at the address says nothing.
        """
        state = sent_after(answer(head))
        known = state.view.targets['t0']
        assert state.view.may_use(known) is is_used
        assert state.view.is_in_service(known, None) is is_used

    def test_next_record_does_not_undo_it(self) -> None:
        """The leader may not have heard it for long."""
        view = make_view()
        assert view.record_leaving(view.targets['t1'])
        assert not view.record_leaving(view.targets['t1'])
        again = SyncReply(2, True, 'c', 1, 0.0, targets=(RECORD,), stamp=2)
        view.apply(again, NOW + 1, NOW + 1)
        assert not view.is_in_service(view.targets['t1'], None)

    def test_lost_record_does_not_undo_it(self) -> None:
        """Heartbeats of a target that is cut off come back late."""
        view = make_view()
        view.record_leaving(view.targets['t1'])
        view.drop('t1')
        again = SyncReply(2, True, 'c', 1, 0.0, targets=(RECORD,), stamp=2)
        view.apply(again, NOW + 1, NOW + 1)
        assert not view.is_in_service(view.targets['t1'], None)

    def test_next_incarnation_is_used(self) -> None:
        """A target that has started anew does not leave."""
        view = make_view()
        view.record_leaving(view.targets['t1'])
        newer = RECORD._replace(incarnation=6)
        reply = SyncReply(2, True, 'c', 1, 0.0, targets=(newer,), stamp=2)
        view.apply(reply, NOW + 1, NOW + 1)
        assert view.is_in_service(view.targets['t1'], None)
