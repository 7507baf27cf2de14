"""Configurations of real size leave a bound on what control VMs hold."""

from typing import Final

import pytest
from lovagemast_core import Applied, PublishedState, PutConfig, SendPeer
from lovagemast_core._messages import (
    AppendEntries,
    InstallSnapshot,
    Propose,
    Publish,
)
from lovagemast_core.agreement._sizes import entries_bytes
from lovagemast_core.control import message_bytes
from lovagemast_node._peers import PeerLink as DaemonLink
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import PeerLink

from tests.controlcluster import VMS, Cluster

KIB: Final = 1_024
MIB: Final = 1_048_576
DOCUMENT_BYTES: Final = 300 * KIB  # some 1,400 routes
LARGEST_BYTES: Final = 4 * MIB
CHANGES: Final = 120
# Of 296 MB, four documents of 4 MiB, the largest that are expected, and a log
# as long as two of them.
LOG_BOUND: Final = 8 * MIB
WAITING_BOUND: Final = 16 * MIB
SECONDS_A_CHANGE: Final = 0.1


class WatchedCluster(Cluster):
    """Notes the largest message, and the most that waits for a VM."""

    def __init__(self, seed: int = 1) -> None:
        self.largest = 0
        self.sent_to: dict[str, int] = {}
        super().__init__(seed=seed)

    def change(self, count: int = CHANGES, size: int = DOCUMENT_BYTES) -> None:
        """Commit many configurations, each of another document."""
        for _change in range(count):
            revision = self.nodes[self.leader()].published.revision + 1
            text = f'{revision}'.ljust(size)
            self.propose(self.leader(), PutConfig(revision, text))
            self.run(SECONDS_A_CHANGE)

    def held_bytes(self, vm: str) -> int:
        """Return the bytes of a VM's log."""
        return self.nodes[vm].replica.log.held_bytes

    def stored_bytes(self, vm: str) -> int:
        """Return the bytes of the entries on a VM's disk."""
        return entries_bytes(self.disks[vm].stored.entries)

    def _perform(self, vm: str, effect: object) -> None:
        super()._perform(vm, effect)
        message = getattr(effect, 'message', None)
        if not isinstance(message, (AppendEntries, InstallSnapshot)):
            return
        size = message_bytes(message)
        self.largest = max(self.largest, size)
        to = effect.vm  # type: ignore[attr-defined]
        self.sent_to[to] = self.sent_to.get(to, 0) + size


@pytest.fixture
def cluster() -> WatchedCluster:
    """Return control VMs of which one leads."""
    cluster = WatchedCluster()
    cluster.run(2.0)
    return cluster


class TestLog:
    def test_log_of_large_documents_is_compacted(
        self, cluster: WatchedCluster
    ) -> None:
        """Memory and disk don't grow with the number of large changes."""
        cluster.change()
        for vm in VMS:
            assert cluster.held_bytes(vm) <= LOG_BOUND
            assert cluster.stored_bytes(vm) <= LOG_BOUND

    def test_start_reads_a_bounded_log(self, cluster: WatchedCluster) -> None:
        """A VM that comes back after many changes holds a bounded log."""
        cluster.change()
        for vm in VMS:
            cluster.stop(vm)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(2.0)
        cluster.change(1)
        assert max(cluster.held_bytes(vm) for vm in VMS) <= LOG_BOUND


class TestMessages:
    def test_message_of_large_entries_is_bounded(
        self, cluster: WatchedCluster
    ) -> None:
        """A VM that was cut off gets what it lacks in bounded messages."""
        behind = next(vm for vm in VMS if vm != cluster.leader())
        cluster.cut.add(behind)
        cluster.change(20)
        cluster.cut.clear()
        cluster.run(3.0)
        node = cluster.nodes[cluster.leader()]
        assert (
            cluster.nodes[behind].published.revision == node.published.revision
        )
        assert cluster.largest <= 2 * DOCUMENT_BYTES

    def test_little_is_sent_to_a_vm_that_does_not_answer(
        self, cluster: WatchedCluster
    ) -> None:
        """What a VM has not answered bounds what is sent to it."""
        silent = next(vm for vm in VMS if vm != cluster.leader())
        cluster.frozen.add(silent)
        cluster.sent_to.clear()
        cluster.change()
        assert cluster.sent_to.get(silent, 0) <= WAITING_BOUND

    def test_little_waits_for_a_stalled_disk(
        self, cluster: WatchedCluster
    ) -> None:
        """Writes that wait for a disk are bounded in bytes."""
        stalled = next(vm for vm in VMS if vm != cluster.leader())
        cluster.stalled.add(stalled)
        cluster.change()
        status = cluster.nodes[stalled].replica.status()
        assert status.waiting_bytes <= WAITING_BOUND
        cluster.stalled.clear()
        cluster.run(5.0)
        node = cluster.nodes[cluster.leader()]
        assert (
            cluster.nodes[stalled].published.revision == node.published.revision
        )

    def test_snapshots_for_a_stalled_disk_are_bounded(
        self, cluster: WatchedCluster
    ) -> None:
        """Snapshots of the largest documents don't pile up at a disk."""
        stalled = next(vm for vm in VMS if vm != cluster.leader())
        cluster.stalled.add(stalled)
        cluster.change(4 * CHANGES // 3, LARGEST_BYTES)
        status = cluster.nodes[stalled].replica.status()
        assert status.waiting_bytes <= WAITING_BOUND

    def test_stalled_leader_takes_few_changes(
        self, cluster: WatchedCluster
    ) -> None:
        """Changes are refused once many bytes wait for the leader's disk."""
        leader = cluster.leader()
        cluster.stalled.add(leader)
        for number in range(CHANGES):
            revision = 1_000 + number
            text = f'{revision}'.ljust(DOCUMENT_BYTES)
            cluster.propose(leader, PutConfig(revision, text))
            cluster.run(SECONDS_A_CHANGE)
        status = cluster.nodes[leader].replica.status()
        assert status.waiting_bytes <= WAITING_BOUND
        cluster.stalled.clear()
        cluster.run(5.0)
        call = cluster.propose(cluster.leader(), PutConfig(2_000, 'last'))
        cluster.run(1.0)
        assert isinstance(cluster.outcomes[call], Applied)


def test_queue_of_a_link_is_bounded_in_bytes() -> None:
    """Documents for a control VM that is cut off take little memory."""
    link = PeerLink('c1', 'c2', 1, JsonLog('c1'))
    for revision in range(CHANGES):
        document = f'{revision}'.ljust(DOCUMENT_BYTES)
        link.send(Propose('p', PutConfig(revision, document)))
    assert 0 < link.queued_bytes <= WAITING_BOUND


def test_queue_of_a_daemons_link_is_bounded() -> None:
    """States for a VM of ``lovagemastd`` that is cut off are bounded too."""
    link = DaemonLink('v1', 'v2', 'v2:1')
    for revision in range(CHANGES):
        document = f'{revision}'.ljust(DOCUMENT_BYTES)
        state = PublishedState(revision, revision, document)
        link.send(SendPeer('v2', Publish(state, 0.0)))
    assert 0 < link.queued_bytes <= WAITING_BOUND
