"""Tests of the leader's target registry and the entry VMs' view of it."""

import pytest
from lovagemast_core import AdapterVersion, PublishedState
from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.entry import FleetView
from lovagemast_core.targets import (
    ResidentAdapter,
    SyncReply,
    TargetHeartbeat,
    TargetRecord,
    TargetRegistry,
)


def make_heartbeat(
    target: str = 't1',
    *,
    incarnation: int = 5,
    sequence: int = 1,
    address: str = '10.0.0.1:80',
    leaving: bool = False,
) -> TargetHeartbeat:
    """Return a heartbeat of a target."""
    return TargetHeartbeat(
        target,
        'pool',
        address,
        'z1',
        8,
        leaving,
        0.0,
        incarnation,
        sequence,
    )


class TestRegistry:
    @pytest.mark.parametrize(
        ('incarnation', 'sequence', 'taken'),
        [(5, 2, True), (5, 1, False), (4, 9, False), (6, 1, True)],
    )
    def test_newest_wins(
        self,
        incarnation: int,
        sequence: int,
        taken: bool,
    ) -> None:
        """Late, repeated and earlier heartbeats are ignored."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat(), 1.0)
        late = make_heartbeat(incarnation=incarnation, sequence=sequence)
        assert registry.record_heartbeat(late, 2.0) is taken

    def test_deregistered_stays_removed(self) -> None:
        """A late heartbeat after the deregistration is ignored."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat(), 1.0)
        registry.remove('t1', 1, 2.0)
        assert not registry.record_heartbeat(make_heartbeat(sequence=9), 3.0)
        assert registry.record_heartbeat(make_heartbeat(incarnation=6), 4.0)

    def test_later_target_takes_address(self) -> None:
        """A later target replaces an earlier one with the same address."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat('old'), 1.0)
        assert registry.record_heartbeat(
            make_heartbeat('new', incarnation=9), 2.0
        )
        assert registry.get('old') is None

    def test_delayed_heartbeat_takes_no_address(self) -> None:
        """A delayed heartbeat does not replace a later target's address."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat('new', incarnation=9), 1.0)
        assert not registry.record_heartbeat(
            make_heartbeat('old', incarnation=5), 2.0
        )
        assert registry.get('new') is not None

    def test_missed_heartbeats_expire(self) -> None:
        """A target without heartbeats is removed."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat(), 1.0)
        assert registry.expire(5.0) == []
        assert registry.expire(6.0) == ['t1']

    def test_departure_after_the_address_was_taken(self) -> None:
        """A target that lost its address to another one departs for good."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat('old'), 1.0)
        registry.record_heartbeat(make_heartbeat('new', incarnation=9), 2.0)
        assert registry.remove('old', 99, 3.0) == 5
        registry.remove('new', 99, 3.0)
        late = make_heartbeat('old', sequence=9)
        assert not registry.record_heartbeat(late, 4.0)

    def test_stamp_changes_only_with_data(self) -> None:
        """A heartbeat without relevant changes is not sent to entry VMs."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_heartbeat(), 1.0)
        stamp = registry.stamp
        registry.record_heartbeat(make_heartbeat(sequence=2), 2.0)
        assert registry.stamp == stamp
        registry.record_heartbeat(make_heartbeat(sequence=3, leaving=True), 3.0)
        assert registry.stamp > stamp


def make_reply(**changes: object) -> SyncReply:
    """Return a reply of a leader that was elected long ago."""
    reply = SyncReply(
        1,
        serves=True,
        leader='c1',
        term=2,
        quorum_age_s=0.1,
        led_s=60.0,
    )
    return reply._replace(**changes)  # type: ignore[arg-type]


def make_record(target: str) -> TargetRecord:
    """Return a record of a target that is loading one adapter."""
    return TargetRecord(
        target,
        'pool',
        '10.0.0.1:80',
        'z1',
        5,
        8,
        leaving=False,
        cold_s=0.0,
        models=('m',),
        adapters=(ResidentAdapter('m/a1@1', 0.25),),
    )


class TestView:
    def test_age_counts_from_the_question(self) -> None:
        """The age of the view counts from the request, not from the reply."""
        view = FleetView()
        view.apply(make_reply(), asked_at=10.0, now=15.0)
        assert view.age(15.0) == pytest.approx(5.1)

    def test_published_never_goes_back(self) -> None:
        """A late reply with an older published state is not applied."""
        view = FleetView()
        newer = PublishedState(version=7, revision=4, document='new')
        older = PublishedState(version=6, revision=3, document='old')
        assert view.apply(make_reply(published=newer), 1.0, 1.0)
        assert not view.apply(make_reply(published=older), 2.0, 2.0)
        assert view.documents.document == 'new'
        assert view.published.version == 7

    def test_ready_time_is_local(self) -> None:
        """An adapter that is loading is ready after the time in the record."""
        view = FleetView()
        reply = make_reply(targets=(make_record('t1'),))
        view.apply(reply, 1.0, 1.0)
        due = view.targets['t1'].adapters[AdapterLabel('m', 'a1', 1)]
        assert due == pytest.approx(1.25)

    @pytest.mark.parametrize(('led_s', 'kept'), [(1.0, True), (9.0, False)])
    def test_new_leader_drops_nothing(self, led_s: float, kept: bool) -> None:
        """Targets are kept until a new leader can have all heartbeats."""
        view = FleetView()
        view.apply(make_reply(targets=(make_record('t1'),)), 1.0, 1.0)
        empty = make_reply(term=3, epoch=3, led_s=led_s, is_complete=True)
        view.apply(empty, 2.0, 2.0)
        assert ('t1' in view.targets) is kept

    def test_reconciles_with_a_new_leader(self) -> None:
        """All records are asked for once a new leader knows the targets."""
        view = FleetView()
        first = make_reply(epoch=2, stamp=7, is_complete=True, led_s=0.5)
        view.apply(first, 1.0, 1.0)
        assert view.stamp_to_ask(2.0) == 7
        assert view.stamp_to_ask(6.0) == 0
        view.apply(first._replace(led_s=5.5), 6.0, 6.0)
        assert view.stamp_to_ask(60.0) == 7

    def test_removal_is_a_change(self) -> None:
        """A target that is reported as removed is dropped at once."""
        view = FleetView()
        records = (make_record('t1'), make_record('t2'))
        view.apply(make_reply(targets=records, stamp=2), 1.0, 1.0)
        removal = make_reply(removed=('t1',), stamp=3, led_s=0.1)
        view.apply(removal, 2.0, 2.0)
        assert set(view.targets) == {'t2'}

    @pytest.mark.parametrize(('now', 'least'), [(2.0, 1), (9.0, 2)])
    def test_older_version_only_for_a_while(
        self,
        now: float,
        least: int,
    ) -> None:
        """Older adapter versions may serve only during a grace period."""
        named = (AdapterVersion('m', 'a1', 2),)
        published = PublishedState(version=1, adapter_versions=named)
        view = FleetView()
        view.apply(make_reply(published=published), 1.0, 1.0)
        assert view.min_version('m', 'a1', now) == least

    def test_former_leader_changes_nothing(self) -> None:
        """A reply of an earlier term does not restore older records."""
        view = FleetView()
        leaving = make_record('t1')._replace(leaving=True)
        newer = make_reply(term=5, targets=(leaving,))
        view.apply(newer, 1.0, 1.0)
        older = make_reply(targets=(make_record('t1'),))
        view.apply(older, 9.0, 9.0)
        assert view.targets['t1'].record.leaving
        assert view.age(9.0) > 7.0

    def test_other_relay_does_not_undo_a_departure(self) -> None:
        """A relay that knows less than the view is ignored until it catches up.

        It has lost the leader, or has not had its latest changes yet.
        """
        view = FleetView()
        leaving = make_record('t1')._replace(leaving=True)
        newer = make_reply(epoch=5, stamp=9, targets=(leaving,))
        view.apply(newer, 10.0, 10.0)
        stale = make_reply(
            epoch=6,
            quorum_age_s=0.9,
            stamp=4,
            targets=(make_record('t1'), make_record('t2')),
            is_complete=True,
        )
        view.apply(stale, 10.5, 10.5)
        assert view.targets['t1'].record.leaving
        assert set(view.targets) == {'t1'}
        assert view.epoch == 5

    def test_waiting_for_another_relay_is_bounded(self) -> None:
        """Without a leader no relay catches up, and full lists are costly."""
        view = FleetView()
        view.apply(make_reply(epoch=5, stamp=9), 10.0, 10.0)
        stale = make_reply(epoch=6, stamp=4, targets=(make_record('t1'),))
        for step in range(12):
            now = 10.5 + step / 10
            view.apply(stale._replace(quorum_age_s=now - 9.0), now, now)
        assert view.epoch == 6
        assert set(view.targets) == {'t1'}
        assert view.confirmed_at == pytest.approx(9.9)

    def test_other_relay_is_used_once_it_caught_up(self) -> None:
        """A relay is asked for all records until one reply is applied."""
        view = FleetView()
        first = make_reply(epoch=5, stamp=9, targets=(make_record('t1'),))
        view.apply(first, 10.0, 10.0)
        other = make_reply(epoch=6, targets=(make_record('t2'),), stamp=4)
        view.apply(other._replace(quorum_age_s=0.9), 10.5, 10.5)
        assert view.epoch == 5
        view.apply(other._replace(quorum_age_s=0.2), 10.7, 10.7)
        assert view.epoch == 6
        assert set(view.targets) == {'t1', 't2'}
