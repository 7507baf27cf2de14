"""What is remembered of streams, and of software versions, without I/O."""

from typing import Final

import pytest
from lovagemast_core import PublishedState
from lovagemast_core._state import ReplicatedState
from lovagemast_core.streams import (
    FoundStream,
    PoolSoftware,
    SetSoftware,
    SoftwareTracker,
    StreamDirectory,
    StreamLookups,
    StreamOrigin,
    StreamReports,
    StreamStart,
    StreamTable,
    TargetSoftware,
    stream_key,
)
from lovagemast_core.streams._directory import QUERY_TIMEOUT_S
from lovagemast_core.streams._reports import MAX_REPORTED

NOW: Final = 100.0
RETENTION_S: Final = 10.0
ORIGIN: Final = StreamOrigin('p', 'v1')
OTHER: Final = StreamOrigin('p', 'v2')
START: Final = StreamStart(7, ORIGIN)
ZONES: Final = {'c1': 'a', 'c2': 'a', 'c3': 'b', 'c4': 'c'}


class Directories:
    """The directories of several control VMs, over a perfect network."""

    def __init__(self) -> None:
        self.by_vm = {
            vm: StreamDirectory(vm, zone) for vm, zone in ZONES.items()
        }

    def exchange(self, now: float) -> None:
        """Deliver all messages between those that run."""
        zones = {vm: ZONES[vm] for vm in self.by_vm}
        for sender, directory in self.by_vm.items():
            for vm, message in directory.take_messages(zones, now):
                answer = self.by_vm[vm].receive(sender, message, now)
                if answer:
                    directory.receive(vm, answer, now)

    def look_up(self, vm: str, key: int, now: float) -> tuple[FoundStream, ...]:
        """Return what a VM answers once the others have been asked."""
        self.by_vm[vm].look_up((key,), now)
        self.exchange(now)
        return self.by_vm[vm].look_up((key,), now)


@pytest.fixture
def directories() -> Directories:
    """Return directories that know a stream that c1 learned of."""
    made = Directories()
    made.by_vm['c1'].add((START,), NOW)
    made.exchange(NOW)
    return made


class TestDirectory:
    @pytest.mark.parametrize('vm', ZONES)
    def test_every_vm_finds_a_stream(
        self, directories: Directories, vm: str
    ) -> None:
        """VMs without a copy ask the others."""
        found = directories.look_up(vm, START.key, NOW)
        assert found == (FoundStream(*START),)

    @pytest.mark.parametrize('lost', [('c1',), ('c1', 'c2'), ('c1', 'c3')])
    def test_stream_survives_lost_vms(
        self, directories: Directories, lost: tuple[str, ...]
    ) -> None:
        """A zone may be lost whole, with the VM that learned of it."""
        for vm in lost:
            directories.by_vm.pop(vm)
        found = directories.look_up('c4', START.key, NOW)
        assert found == (FoundStream(*START),)

    def test_nobody_knows(self, directories: Directories) -> None:
        """The answer comes as soon as all others have answered."""
        assert directories.look_up('c2', 8, NOW) == (FoundStream(8, None),)

    def test_silent_vms_are_not_waited_for(
        self, directories: Directories
    ) -> None:
        """A VM that does not answer delays the answer by a bounded time."""
        directory = directories.by_vm['c2']
        assert directory.look_up((8,), NOW) == ()
        directory.take_messages(ZONES, NOW)
        assert directory.look_up((8,), NOW + 0.1) == ()
        later = NOW + QUERY_TIMEOUT_S + 0.01
        assert directory.look_up((8,), later) == (FoundStream(8, None),)


class TestTable:
    def test_first_version_stays(self) -> None:
        """A stream has the version that began it, whoever goes on."""
        table = StreamTable()
        table.record((START,), NOW)
        table.record((START._replace(origin=OTHER),), NOW)
        assert table.find(START.key, NOW) == ORIGIN

    def test_old_streams_are_forgotten(self) -> None:
        """The table is bounded by the longest time that a stream lasts."""
        table = StreamTable()
        table.retention_s = RETENTION_S
        table.record((START,), NOW)
        later = NOW + RETENTION_S + 1
        assert table.find(START.key, later) is None
        table.record((StreamStart(8, ORIGIN),), later)
        assert len(table) == 1


class TestReports:
    def test_repeated_until_received(self) -> None:
        """A request that gets no reply reports nothing away."""
        reports = StreamReports()
        reports.record(START, NOW)
        assert reports.take(1) == reports.take(2) == (START,)
        reports.on_reply(2)
        assert reports.take(3) == ()

    def test_new_relay_is_told_all(self) -> None:
        """A relay may have been lost with what it was told."""
        reports = StreamReports()
        reports.record(START, NOW)
        reports.take(1)
        reports.on_reply(1)
        reports.restart()
        assert reports.take(2) == (START,)

    def test_many_are_told_in_turn(self) -> None:
        """One request is bounded, and the next one goes on."""
        reports = StreamReports()
        starts = [StreamStart(key, ORIGIN) for key in range(MAX_REPORTED + 5)]
        for start in starts:
            reports.record(start, NOW)
        told = list(reports.take(1))
        reports.on_reply(1)
        assert told + list(reports.take(2)) == starts


class TestLookups:
    def test_answered_once_for_all(self) -> None:
        """Two requests for one stream share a lookup."""
        lookups = StreamLookups()
        lookups.begin(7)
        lookups.begin(7)
        assert lookups.pending() == (7,)
        lookups.add((FoundStream(7, ORIGIN), FoundStream(8, ORIGIN)))
        assert lookups.pending() == ()
        lookups.end(7)
        assert lookups.answer(7) == FoundStream(7, ORIGIN)
        lookups.end(7)
        assert lookups.answer(7) is None


def test_streams_of_other_accounts_have_other_keys() -> None:
    """A caller cannot name the stream of another account."""
    keys = {stream_key(account, 'r') for account in ('a', 'b', None)}
    assert len(keys) == 3


def propose(
    tracker: SoftwareTracker,
    stored: tuple[PoolSoftware, ...],
    *versions: str,
    now: float,
) -> list[SetSoftware]:
    """Return the changes for targets of some versions."""
    targets = [TargetSoftware('p', version) for version in versions]
    return tracker.propose(
        stored, targets, stamp=1, retention_s=RETENTION_S, now=now
    )


class TestSoftware:
    def test_version_stays_while_its_streams_may(self) -> None:
        """A version that has left may still have begun open streams."""
        tracker = SoftwareTracker()
        both = (PoolSoftware('p', ('v1', 'v2')),)
        first = propose(tracker, (), 'v1', 'v2', now=NOW)
        assert first == [SetSoftware('p', ('v1', 'v2'))]
        soon = NOW + RETENTION_S - 1
        assert propose(tracker, both, 'v2', now=soon) == []
        later = NOW + RETENTION_S + 1
        last = propose(tracker, both, 'v2', now=later)
        assert last == [SetSoftware('p', ('v2',))]

    def test_new_leader_counts_anew(self) -> None:
        """It doesn't know when a stored version was last in service."""
        tracker = SoftwareTracker()
        tracker.start_term()
        both = (PoolSoftware('p', ('v1', 'v2')),)
        assert propose(tracker, both, 'v2', now=NOW) == []
        later = NOW + RETENTION_S + 1
        assert propose(tracker, both, 'v2', now=later)

    def test_stored_with_the_published_state(self) -> None:
        """Entry VMs learn of it like of a configuration, after a restart."""
        state = ReplicatedState()
        state.apply(SetSoftware('p', ('v1', 'v2')))
        version = state.published.version
        state.apply(SetSoftware('q', ('v1',)))
        state.apply(SetSoftware('p', ()))
        assert state.published.software == (PoolSoftware('q', ('v1',)),)
        assert state.published.version == version + 2
        assert PublishedState().software == ()
