"""A Raft replica on a control VM.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check
quorum and single-server membership changes. A replica's identity is the VM
name and a random id that is drawn when its disk is empty: a VM that lost its
disk comes back as another replica, which has no vote.
"""

from typing import Final

from .._commands import Command, SetVoters
from .._messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    PeerMessage,
    ReplicaHello,
    VoteAsk,
    VoteReply,
)
from .._outbox import Outbox
from .._state import Departure, HolderState, PublishedState
from .._types import VmName
from ..quarantine._state import QuarantineState
from ._election import DEFAULT_TIMING, Election, Timing
from ._follower import Follower
from ._formats import FORMAT
from ._log import ReplicatedLog
from ._replicastate import (
    OnApplied,
    ReplicaState,
    ReplicaStatus,
    StoredLog,
    vm_of,
)
from ._replicator import LogReplicator

REPLICA_HELLO_INTERVAL_S: Final = 0.3  # between announcements of a non-voter


class Replica:
    """Dispatches messages, proposals and timers to the parts of a replica."""

    def __init__(
        self,
        stored: StoredLog,
        control_vms: tuple[VmName, ...],
        outbox: Outbox,
        on_applied: OnApplied,
        now: float,
        *,
        may_bootstrap: bool = True,
        voters_wanted: int | None = None,
        timing: Timing = DEFAULT_TIMING,
    ) -> None:
        self._outbox = outbox
        self._may_bootstrap = may_bootstrap
        self._control_vms = control_vms
        self._empty_peers: dict[VmName, str] = {}
        self._state = ReplicaState(stored, outbox, on_applied)
        self.state_machine = self._state.state_machine  # as applied
        self._election = Election(
            self._state,
            outbox,
            self._on_elected,
            timing,
            now,
        )
        self._replicator = LogReplicator(
            self._state,
            outbox,
            self._election.step_down,
            timing,
            voters_wanted,
        )
        self._follower = Follower(self._state, self._election)
        outbox.call_at(now, self._send_hello)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader_vm(self) -> VmName:
        """Return the VM of the current leader, or an empty name."""
        return vm_of(self._state.leader)

    @property
    def log(self) -> ReplicatedLog:
        """Return the log, which only this replica may change."""
        return self._state.log

    @property
    def published(self) -> PublishedState:
        """Return the published part of the state machine."""
        return self._state.state_machine.published

    @property
    def holders(self) -> HolderState:
        """Return the order holders according to the state machine."""
        return self._state.state_machine.holders

    @property
    def quarantine(self) -> QuarantineState:
        """Return the suspected and quarantined prompt parts."""
        return self._state.state_machine.quarantine

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Return the targets that have left, oldest first."""
        return self._state.state_machine.departures

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self._state.is_leader()

    def status(self) -> ReplicaStatus:
        """Return the replica's status for operators."""
        return self._state.to_status(self._replicator.formats.named())

    def quorum_contact_at(self, now: float) -> float:
        """Return the latest time at which a quorum confirmed this leader."""
        return self._replicator.quorum_contact_at(now)

    @property
    def voter_vms(self) -> tuple[VmName, ...]:
        """Return the VMs whose replicas vote."""
        return tuple(vm_of(voter) for voter in self._state.voters)

    def has_committed_in_term(self) -> bool:
        """Return whether this leader has applied all acknowledged entries."""
        return self._replicator.has_committed_in_term()

    def confirm_leadership(self, now: float) -> None:
        """Have leadership confirmed anew by the other replicas, if leading."""
        if self.is_leader():
            self._replicator.confirm_leadership(now)

    def may_append(self, command: Command, now: float) -> bool:
        """Return whether the voters in contact can read a command."""
        return self._replicator.may_append(command, now)

    def propose(self, command: Command, now: float) -> None:
        """Append a command, if this replica leads and the voters can read it.

        The others would skip it, and all that follows.
        """
        if self.is_leader() and self.may_append(command, now):
            self._replicator.propose(command, now)

    def on_log_synced(self, batch: int, now: float) -> None:
        """Handle the completed sync of a batch of log writes."""
        self._state.on_log_synced(batch)
        self._replicator.advance_commit(now)
        self._state.flush()

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Handle a Raft message; messages of other types are ignored."""
        match message:
            case VoteAsk():
                self._election.on_vote_ask(message, now)
                self._readmit_voter(message.candidate, now)
            case VoteReply():
                self._replicator.formats.record_format(
                    message.voter, message.format
                )
                self._election.on_vote_reply(message, now)
            case AppendEntries():
                self._follower.on_append(message, now)
            case AppendReply():
                self._replicator.on_reply(message, now)
            case InstallSnapshot():
                self._follower.on_snapshot(message, now)
            case ReplicaHello():
                self._on_hello(sender, message, now)
        self._state.flush()

    def _readmit_voter(self, candidate: str, now: float) -> None:
        """Add a candidate that does not know of its removal as a learner."""
        if self.is_leader() and candidate not in self._state.voters:
            self._replicator.add_learner(candidate, now)

    def _on_elected(self, now: float) -> None:
        self._replicator.start(now)

    def _send_hello(self, now: float) -> None:
        if not self._state.is_voter():
            self._bootstrap_if_all_empty(now)
            empty = self._state.log.is_empty
            hello = ReplicaHello(self._state.identity, empty, FORMAT)
            for vm in self._other_control_vms():
                self._outbox.send(vm, hello)
        self._outbox.call_at(now + REPLICA_HELLO_INTERVAL_S, self._send_hello)

    def _on_hello(
        self,
        sender: VmName,
        hello: ReplicaHello,
        now: float,
    ) -> None:
        if hello.empty and vm_of(hello.replica) == sender:
            self._empty_peers[sender] = hello.replica
        else:
            self._empty_peers.pop(sender, None)
        self._replicator.formats.record_format(hello.replica, hello.format)
        if self.is_leader():
            self._replicator.add_learner(hello.replica, now)
        elif self.leader_vm and vm_of(hello.replica) == sender:
            self._outbox.send(self.leader_vm, hello)

    def _bootstrap_if_all_empty(self, now: float) -> None:
        """Form a new group once all control VMs have reported an empty log.

        Only the control VM with the first name does so.
        """
        others = self._other_control_vms()
        is_first = self._outbox.vm == min(self._control_vms)
        if not self._state.log.is_empty or not is_first:
            return
        if not self._may_bootstrap:
            return
        if any(vm not in self._empty_peers for vm in others):
            return
        own = self._state.identity
        voters = (own, *(self._empty_peers[vm] for vm in others))
        self._state.set_hard_state(1, own)
        self._state.append_command(SetVoters(tuple(sorted(voters))))
        self._replicator.start(now)
        self._state.flush()

    def _other_control_vms(self) -> list[VmName]:
        return [vm for vm in self._control_vms if vm != self._outbox.vm]
