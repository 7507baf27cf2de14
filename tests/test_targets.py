"""Tests of the leader's registry and the entry VMs' view."""

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


def make_beat(
    target: str = 't1',
    *,
    incarnation: int = 5,
    sequence: int = 1,
    address: str = '10.0.0.1:80',
    leaving: bool = False,
) -> TargetHeartbeat:
    """Return a heartbeat."""
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
        """Late, doubled and earlier heartbeats change nothing."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat(), 1.0)
        late = make_beat(incarnation=incarnation, sequence=sequence)
        assert registry.record_heartbeat(late, 2.0) is taken

    def test_departed_stays_away(self) -> None:
        """A heartbeat that comes after the departure is ignored."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat(), 1.0)
        registry.remove('t1', 2.0)
        assert not registry.record_heartbeat(make_beat(sequence=9), 3.0)
        assert registry.record_heartbeat(make_beat(incarnation=6), 4.0)

    def test_address_passes_on(self) -> None:
        """A later target at an address replaces the earlier one."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat('old'), 1.0)
        assert registry.record_heartbeat(make_beat('new', incarnation=9), 2.0)
        assert registry.get('old') is None

    def test_ghost_does_not_return(self) -> None:
        """A delayed heartbeat cannot take the address of a later target."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat('new', incarnation=9), 1.0)
        assert not registry.record_heartbeat(
            make_beat('old', incarnation=5), 2.0
        )
        assert registry.get('new') is not None

    def test_silent_expires(self) -> None:
        """A target without heartbeats is dropped."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat(), 1.0)
        assert registry.expire(5.0) == []
        assert registry.expire(6.0) == ['t1']

    def test_stamp_rises_only_with_news(self) -> None:
        """A heartbeat that says nothing new is not passed on."""
        registry = TargetRegistry()
        registry.record_heartbeat(make_beat(), 1.0)
        stamp = registry.stamp
        registry.record_heartbeat(make_beat(sequence=2), 2.0)
        assert registry.stamp == stamp
        registry.record_heartbeat(make_beat(sequence=3, leaving=True), 3.0)
        assert registry.stamp > stamp


def make_reply(**changes: object) -> SyncReply:
    """Return a reply of a leader that has led for long."""
    reply = SyncReply(
        1,
        leads=True,
        leader='c1',
        term=2,
        quorum_age_s=0.1,
        led_s=60.0,
    )
    return reply._replace(**changes)  # type: ignore[arg-type]


def make_record(target: str) -> TargetRecord:
    """Return a target that holds one adapter soon."""
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
        """A reply that was long on its way confirms nothing newer."""
        view = FleetView()
        view.apply(make_reply(), asked_at=10.0, now=15.0)
        assert view.age(15.0) == pytest.approx(5.1)

    def test_published_never_goes_back(self) -> None:
        """An older state that arrives late is not applied."""
        view = FleetView()
        newer = PublishedState(version=7, revision=4, document='new')
        older = PublishedState(version=6, revision=3, document='old')
        assert view.apply(make_reply(published=newer), 1.0, 1.0)
        assert not view.apply(make_reply(published=older), 2.0, 2.0)
        assert view.published.document == 'new'

    def test_ready_time_is_local(self) -> None:
        """What is on its way is ready after the time the leader gave."""
        view = FleetView()
        reply = make_reply(targets=(make_record('t1'),), present=('t1',))
        view.apply(reply, 1.0, 1.0)
        due = view.targets['t1'].adapters[AdapterLabel('m', 'a1', 1)]
        assert due == pytest.approx(1.25)

    @pytest.mark.parametrize(('led_s', 'kept'), [(1.0, True), (9.0, False)])
    def test_new_leader_drops_nothing(self, led_s: float, kept: bool) -> None:
        """Targets stay until a new leader has heard all heartbeats."""
        view = FleetView()
        present = make_reply(targets=(make_record('t1'),), present=('t1',))
        view.apply(present, 1.0, 1.0)
        view.apply(make_reply(term=3, led_s=led_s), 2.0, 2.0)
        assert ('t1' in view.targets) is kept

    @pytest.mark.parametrize(('now', 'least'), [(2.0, 1), (9.0, 2)])
    def test_older_version_only_for_a_while(
        self,
        now: float,
        least: int,
    ) -> None:
        """After a grace period only the newest version may serve."""
        named = (AdapterVersion('m', 'a1', 2),)
        published = PublishedState(version=1, adapter_versions=named)
        view = FleetView()
        view.apply(make_reply(published=published), 1.0, 1.0)
        assert view.least_version('m', 'a1', now) == least

    def test_former_leader_changes_nothing(self) -> None:
        """A reply of an earlier term brings no older targets back."""
        view = FleetView()
        leaving = make_record('t1')._replace(leaving=True)
        newer = make_reply(term=5, targets=(leaving,), present=('t1',))
        view.apply(newer, 1.0, 1.0)
        older = make_reply(targets=(make_record('t1'),), present=('t1',))
        view.apply(older, 9.0, 9.0)
        assert view.targets['t1'].record.leaving
        assert view.age(9.0) > 7.0
