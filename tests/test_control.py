"""Tests of control VMs over an in-memory network."""

import pytest
from lovagemast_core import (
    Applied,
    Conflict,
    SetZoneOut,
)
from lovagemast_core.control import LEADER_LEASE_S
from lovagemast_core.targets import SyncAsk, TargetHeartbeat

from tests.controlcluster import (
    STEP_S,
    VMS,
    Cluster,
    make_config,
    make_heartbeat,
)


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster that has elected a leader."""
    made = Cluster()
    made.run(2.0)
    return made


class TestChanges:
    @pytest.mark.parametrize('vm', VMS)
    def test_any_vm_takes_changes(self, cluster: Cluster, vm: str) -> None:
        """Every control VM accepts changes and forwards them to the leader."""
        call = cluster.propose(vm, make_config(5))
        cluster.run(0.3)
        assert cluster.outcomes[call] == Applied(5)

    def test_highest_revision_wins(self, cluster: Cluster) -> None:
        """A late change of a lower revision is acknowledged, not applied."""
        leader = cluster.leader()
        cluster.propose(leader, make_config(5))
        call = cluster.propose(leader, make_config(3))
        cluster.run(0.3)
        assert cluster.outcomes[call] == Applied(5)
        assert cluster.nodes[leader].published.document == 'doc 5'

    def test_resend_is_acknowledged(self, cluster: Cluster) -> None:
        """Sending the same change twice gives the same outcome twice."""
        leader = cluster.leader()
        calls = [cluster.propose(leader, make_config(5)) for _send in range(2)]
        cluster.run(0.3)
        assert [cluster.outcomes[call] for call in calls] == [Applied(5)] * 2

    def test_other_content_is_refused(self, cluster: Cluster) -> None:
        """A revision cannot be replaced by another document."""
        leader = cluster.leader()
        cluster.propose(leader, make_config(5))
        call = cluster.propose(leader, make_config(5, 'other'))
        cluster.run(0.3)
        assert isinstance(cluster.outcomes[call], Conflict)
        assert cluster.nodes[leader].published.document == 'doc 5'

    def test_survives_all_being_killed(self, cluster: Cluster) -> None:
        """Acknowledged changes survive a restart of all VMs."""
        call = cluster.propose(cluster.leader(), make_config(5))
        cluster.run(0.3)
        assert cluster.outcomes[call] == Applied(5)
        for vm in VMS:
            cluster.stop(vm)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(3.0)
        assert cluster.nodes[cluster.leader()].published.revision == 5

    def test_survives_a_lost_disk(self, cluster: Cluster) -> None:
        """A change survives if the leader then loses its disk."""
        leader = cluster.leader()
        call = cluster.propose(leader, SetZoneOut('z1', True))
        cluster.run(0.1)
        assert call in cluster.outcomes
        cluster.stop(leader)
        cluster.wipe_disk(leader)
        cluster.start(leader)
        cluster.run(4.0)
        assert cluster.nodes[leader].published.zones_out == ('z1',)
        assert len(cluster.nodes[leader].replica.voter_vms) == 3

    def test_empty_disks_do_not_form_a_group(self) -> None:
        """VMs with empty disks form a group only at the first start of all."""
        cluster = Cluster()
        for vm in VMS:
            cluster.stop(vm)
            cluster.wipe_disk(vm)
            cluster.start(vm)
        cluster.run(4.0)
        assert not any(
            node.is_ready_leader() for node in cluster.nodes.values()
        )


class TestDisks:
    def test_stalled_disk_blocks_no_changes(self, cluster: Cluster) -> None:
        """The other VMs commit changes while the leader's disk stalls.

        The change survives the later power loss of the stalled VM.
        """
        leader = cluster.leader()
        other = next(vm for vm in VMS if vm != leader)
        cluster.stalled.add(leader)
        cluster.propose(leader, make_config(5))
        cluster.run(1.6)
        call = cluster.propose(other, make_config(5))
        cluster.run(0.6)
        assert cluster.outcomes[call] == Applied(5)
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
        assert call not in cluster.outcomes


class TestReads:
    def test_read_is_the_newest(self, cluster: Cluster) -> None:
        """A read returns changes that were acknowledged before it."""
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
        """A leader that does not know of its successor answers no read."""
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
    def test_no_lease_behind_a_partition(self, cluster: Cluster) -> None:
        """The lease of a partitioned leader ends before another VM leads."""
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

    def test_frozen_leader_loses_lease(self, cluster: Cluster) -> None:
        """A leader's lease expires while its process is frozen."""
        old = cluster.leader()
        cluster.frozen.add(old)
        cluster.run(LEADER_LEASE_S + 0.1)
        assert not cluster.nodes[old].has_lease(cluster.now)


BEAT_END = (False, 0.0, 1, 1)  # leaving, cold_s, incarnation, sequence


class TestTargets:
    def test_followers_name_the_leader(self, cluster: Cluster) -> None:
        """A control VM that does not lead replies with the leader's name."""
        leader = cluster.leader()
        other = next(vm for vm in VMS if vm != leader)
        ask = SyncAsk(1, 'entry', 'z1', 0, 0, 0)
        reply = cluster.nodes[other].on_ask(ask, cluster.now)
        assert (reply.serves, reply.leader) == (False, leader)

    def test_record_is_sent_once(self, cluster: Cluster) -> None:
        """A target record is sent until the entry VM reports its stamp."""
        node = cluster.nodes[cluster.leader()]
        beat = TargetHeartbeat('t1', 'p', 'h:1', 'z', 8, False, 0.0, 1, 1)
        node.on_heartbeat(beat, cluster.now)
        first = node.on_ask(SyncAsk(1, 'e', 'z', 0, 0, 0), cluster.now)
        assert [record.target for record in first.targets] == ['t1']
        ask = SyncAsk(2, 'e', 'z', 0, first.stamp, first.epoch)
        second = node.on_ask(ask, cluster.now)
        assert (second.targets, second.removed) == ((), ())
        assert not second.is_complete

    def test_nothing_is_pushed_twice(self, cluster: Cluster) -> None:
        """A push of what a reply has brought would cost all for nothing."""
        node = cluster.nodes[cluster.leader()]
        node.on_heartbeat(make_heartbeat('e1', cluster.now), cluster.now)
        ask = SyncAsk(1, 'r1', 'z1', 0, 0, 0)
        assert node.fleet.has_updates_for(ask)
        reply = node.on_ask(ask, cluster.now)
        held = ask._replace(
            stamp=reply.stamp,
            epoch=reply.epoch,
            version=node.published.version,
            quarantine=node.fleet.quarantine.state.version,
        )
        assert not node.fleet.has_updates_for(held)
        node.fleet.registry.mark_changed('e1')
        assert node.fleet.has_updates_for(held)
        held = held._replace(stamp=node.fleet.registry.stamp)
        assert not node.fleet.has_updates_for(held)
        assert node.fleet.has_updates_for(held._replace(epoch=0))
        assert node.fleet.has_updates_for(held._replace(limit_stamp=9))

    def test_removal_is_sent(self, cluster: Cluster) -> None:
        """The removal of a target is sent until its stamp is reported."""
        node = cluster.nodes[cluster.leader()]
        for name in ('t1', 't2'):
            beat = TargetHeartbeat(name, 'p', f'{name}:1', 'z', 8, *BEAT_END)
            node.on_heartbeat(beat, cluster.now)
        first = node.on_ask(SyncAsk(1, 'e', 'z', 0, 0, 0), cluster.now)
        assert first.is_complete
        node.on_departure('t1', 1, cluster.now)
        ask = SyncAsk(2, 'e', 'z', 0, first.stamp, first.epoch)
        second = node.on_ask(ask, cluster.now)
        assert (second.targets, second.removed) == ((), ('t1',))
        again = node.on_ask(ask._replace(stamp=second.stamp), cluster.now)
        assert again.removed == ()


class TestVoters:
    def test_removed_voter_returns(self) -> None:
        """A voter removed during a partition is added again afterwards."""
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
        """The identity of a lost disk is removed from the voters.

        Found by randomized fault injection: both identities stayed, and the
        loss of a second disk then left two of four voters.
        """
        leader = cluster.leader()
        others = [vm for vm in VMS if vm != leader]
        cluster.stop(others[0])
        cluster.wipe_disk(others[0], mark)
        cluster.start(others[0])
        cluster.run(4.0)
        voters = cluster.nodes[leader].replica.status().voters
        assert len(voters) == 3
        assert f'{others[0]}#{mark}' in voters
        call = cluster.propose(leader, make_config(5))
        cluster.run(0.3)
        for vm in VMS:
            cluster.stop(vm)
        cluster.wipe_disk(leader)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(4.0)
        assert cluster.outcomes[call] == Applied(5)
        assert cluster.nodes[cluster.leader()].published.revision == 5
