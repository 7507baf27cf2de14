"""Tests of control VMs over an in-memory network."""

import pytest
from lovagemast_core import (
    Applied,
    Conflict,
    SetZoneOut,
)
from lovagemast_core.control import LEADER_LEASE_S
from lovagemast_core.targets import SyncAsk, TargetHeartbeat

from tests.controlcluster import STEP_S, VMS, Cluster, make_config


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster that has elected a leader."""
    made = Cluster()
    made.run(2.0)
    return made


class TestChanges:
    @pytest.mark.parametrize('vm', VMS)
    def test_any_vm_takes_changes(self, cluster: Cluster, vm: str) -> None:
        """A change is acknowledged wherever the operator sends it."""
        call = cluster.propose(vm, make_config(5))
        cluster.run(0.3)
        assert cluster.answers[call] == Applied(5)

    def test_highest_revision_wins(self, cluster: Cluster) -> None:
        """An older change that arrives late is acknowledged, not applied."""
        leader = cluster.leader()
        cluster.propose(leader, make_config(5))
        call = cluster.propose(leader, make_config(3))
        cluster.run(0.3)
        assert cluster.answers[call] == Applied(5)
        assert cluster.nodes[leader].published.document == 'doc 5'

    def test_resend_is_acknowledged(self, cluster: Cluster) -> None:
        """The same change sent again gets the same outcome."""
        leader = cluster.leader()
        calls = [cluster.propose(leader, make_config(5)) for _send in range(2)]
        cluster.run(0.3)
        assert [cluster.answers[call] for call in calls] == [Applied(5)] * 2

    def test_other_content_is_refused(self, cluster: Cluster) -> None:
        """A held revision does not take other content."""
        leader = cluster.leader()
        cluster.propose(leader, make_config(5))
        call = cluster.propose(leader, make_config(5, 'other'))
        cluster.run(0.3)
        assert isinstance(cluster.answers[call], Conflict)
        assert cluster.nodes[leader].published.document == 'doc 5'

    def test_survives_all_being_killed(self, cluster: Cluster) -> None:
        """What was acknowledged is there after all VMs restart."""
        call = cluster.propose(cluster.leader(), make_config(5))
        cluster.run(0.3)
        assert cluster.answers[call] == Applied(5)
        for vm in VMS:
            cluster.stop(vm)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(3.0)
        assert cluster.nodes[cluster.leader()].published.revision == 5

    def test_survives_a_lost_disk(self, cluster: Cluster) -> None:
        """The leader loses its disk right after it acknowledged."""
        leader = cluster.leader()
        call = cluster.propose(leader, SetZoneOut('z1', True))
        cluster.run(0.1)
        assert call in cluster.answers
        cluster.stop(leader)
        cluster.wipe(leader)
        cluster.start(leader)
        cluster.run(4.0)
        assert cluster.nodes[leader].published.zones_out == ('z1',)
        assert len(cluster.nodes[leader].replica.voter_vms) == 3

    def test_empty_disks_do_not_form_a_group(self) -> None:
        """Only the first start of the whole system makes a new group."""
        cluster = Cluster()
        for vm in VMS:
            cluster.stop(vm)
            cluster.wipe(vm)
            cluster.start(vm)
        cluster.run(4.0)
        assert not any(
            node.is_ready_leader() for node in cluster.nodes.values()
        )


class TestDisks:
    def test_stalled_disk_stops_nobody(self, cluster: Cluster) -> None:
        """The others acknowledge while the leader's disk does not answer.

        What was acknowledged lasts, though that VM then loses its power.
        """
        leader = cluster.leader()
        other = next(vm for vm in VMS if vm != leader)
        cluster.stalled.add(leader)
        cluster.propose(leader, make_config(5))
        cluster.run(1.6)
        call = cluster.propose(other, make_config(5))
        cluster.run(0.6)
        assert cluster.answers[call] == Applied(5)
        cluster.stop(leader)
        cluster.stalled.clear()
        cluster.start(leader)
        cluster.run(4.0)
        assert cluster.nodes[leader].published.revision == 5

    def test_nothing_is_acknowledged_unsynced(self, cluster: Cluster) -> None:
        """With two of three disks stalled, no change is acknowledged."""
        leader = cluster.leader()
        others = [vm for vm in VMS if vm != leader]
        cluster.stalled.update(others)
        call = cluster.propose(leader, make_config(5))
        cluster.run(1.2)
        assert call not in cluster.answers


class TestReads:
    def test_read_is_the_newest(self, cluster: Cluster) -> None:
        """A read returns what was acknowledged before."""
        leader = cluster.leader()
        cluster.propose(leader, make_config(5))
        cluster.run(0.3)
        call = cluster.read(leader)
        cluster.run(0.3)
        state = cluster.reads[call]
        assert state
        assert state.revision == 5

    @pytest.mark.parametrize('trouble', ['cut', 'frozen'])
    def test_former_leader_does_not_answer(
        self,
        cluster: Cluster,
        trouble: str,
    ) -> None:
        """A leader that was replaced unnoticed answers no read."""
        old = cluster.leader()
        getattr(cluster, trouble).add(old)
        cluster.run(2.5)
        newer = cluster.leader()
        assert newer != old
        cluster.propose(newer, make_config(9))
        cluster.run(0.3)
        cluster.frozen.clear()
        call = cluster.read(old)
        cluster.run(2.0)
        assert cluster.reads[call] is None


class TestLease:
    def test_no_lease_behind_a_cut(self, cluster: Cluster) -> None:
        """A cut-off leader's lease ends before another VM leads."""
        old = cluster.leader()
        cluster.cut.add(old)
        held_until = cluster.now
        while not any(
            node.is_ready_leader()
            for vm, node in cluster.nodes.items()
            if vm != old
        ):
            cluster.run(STEP_S)
            if cluster.nodes[old].has_lease(cluster.now):
                held_until = cluster.now
        assert held_until < cluster.now

    def test_freeze_counts(self, cluster: Cluster) -> None:
        """A leader that wakes from a freeze has no lease any more."""
        old = cluster.leader()
        cluster.frozen.add(old)
        cluster.run(LEADER_LEASE_S + 0.1)
        assert not cluster.nodes[old].has_lease(cluster.now)


class TestTargets:
    def test_other_vms_point_to_the_leader(self, cluster: Cluster) -> None:
        """An entry VM learns the leader from any control VM."""
        leader = cluster.leader()
        other = next(vm for vm in VMS if vm != leader)
        ask = SyncAsk(1, 'entry', 'z1', 0, 0, 0)
        reply = cluster.nodes[other].on_ask(ask, cluster.now)
        assert (reply.leads, reply.leader) == (False, leader)

    def test_news_only_once(self, cluster: Cluster) -> None:
        """A target is sent in full until the entry VM has it."""
        node = cluster.nodes[cluster.leader()]
        beat = TargetHeartbeat('t1', 'p', 'h:1', 'z', 8, False, 0.0, 1, 1)
        node.on_heartbeat(beat, cluster.now)
        first = node.on_ask(SyncAsk(1, 'e', 'z', 0, 0, 0), cluster.now)
        assert [record.target for record in first.targets] == ['t1']
        ask = SyncAsk(2, 'e', 'z', 0, first.stamp, first.term)
        second = node.on_ask(ask, cluster.now)
        assert second.targets == ()
        assert second.present == ('t1',)


class TestVoters:
    def test_removed_voter_returns(self) -> None:
        """A voter that was removed while cut off votes again later."""
        cluster = Cluster((*VMS, 'c4'))
        cluster.run(4.0)
        leader = cluster.leader()
        assert len(cluster.nodes[leader].replica.voter_vms) == 4
        lost = next(vm for vm in cluster.nodes if vm != leader)
        cluster.cut.add(lost)
        cluster.run(8.0)
        assert lost not in cluster.nodes[leader].replica.voter_vms
        cluster.cut.clear()
        cluster.run(6.0)
        assert lost in cluster.nodes[cluster.leader()].replica.voter_vms

    @pytest.mark.parametrize('mark', ['a-sorts-first', 'z-sorts-last'])
    def test_wiped_vm_replaces_itself(
        self, cluster: Cluster, mark: str
    ) -> None:
        """The identity of a lost disk does not vote any more.

        Seen in a hunted day: it stayed beside the new one, and the loss of a
        second disk then left two of four voters.
        """
        leader = cluster.leader()
        others = [vm for vm in VMS if vm != leader]
        cluster.stop(others[0])
        cluster.wipe(others[0], mark)
        cluster.start(others[0])
        cluster.run(4.0)
        voters = cluster.nodes[leader].replica.status().voters
        assert len(voters) == 3
        assert f'{others[0]}#{mark}' in voters
        call = cluster.propose(leader, make_config(5))
        cluster.run(0.3)
        for vm in VMS:
            cluster.stop(vm)
        cluster.wipe(leader)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(4.0)
        assert cluster.answers[call] == Applied(5)
        assert cluster.nodes[cluster.leader()].published.revision == 5
