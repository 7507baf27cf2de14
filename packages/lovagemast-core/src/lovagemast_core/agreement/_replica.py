"""A control replica: one member of the group that agrees on commands.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check
quorum and single-step membership changes. A replica's identity is the VM
name and an id drawn when its disk was empty, so that a VM with a lost
disk comes back as another replica that holds no vote.
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
from .._state import HolderState, PublishedState
from .._types import VmName
from ._election import DEFAULT_TIMING, Election, Timing
from ._follower import Follower
from ._replicastate import (
    OnApplied,
    ReplicaState,
    ReplicaStatus,
    StoredLog,
    vm_of,
)
from ._replicator import LogReplicator

HELLO_S: Final = 0.3


class Replica:
    """Hands messages and proposals to the parts of a replica."""

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
        self._election = Election(
            self._state,
            outbox,
            self._on_won,
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
        outbox.call_at(now, self._say_hello)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader_vm(self) -> VmName:
        """Return the VM of the leader that is followed, if any."""
        return vm_of(self._state.leader)

    @property
    def next_index(self) -> int:
        """Return the index that the next proposal gets."""
        return self._state.log.last_index + 1

    @property
    def published(self) -> PublishedState:
        """Return the published part of the applied state."""
        return self._state.machine.published

    @property
    def holders(self) -> HolderState:
        """Return the VMs that send orders, as far as was applied."""
        return self._state.machine.holders

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self._state.is_leader()

    def status(self) -> ReplicaStatus:
        """Return what operators need to know of the replica."""
        return self._state.to_status()

    def quorum_heard_at(self, now: float) -> float:
        """Return when a quorum last confirmed this leader."""
        return self._replicator.quorum_heard_at(now)

    @property
    def voter_vms(self) -> tuple[VmName, ...]:
        """Return the VMs whose replicas vote."""
        return tuple(vm_of(voter) for voter in self._state.voters)

    def is_settled(self) -> bool:
        """Return whether this leader has applied all that was decided."""
        return self._replicator.is_settled()

    def confirm(self, now: float) -> None:
        """Ask the other replicas for a fresh confirmation of leadership."""
        if self.is_leader():
            self._replicator.confirm(now)

    def propose(self, command: Command, now: float) -> None:
        """Append a command, if this replica leads."""
        if self.is_leader():
            self._replicator.propose(command, now)

    def on_log_synced(self, batch: int, now: float) -> None:
        """Note that a batch of log writes is on the disk."""
        self._state.note_synced(batch)
        self._replicator.advance_commit(now)
        self._state.flush()

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Take a replica message; others are ignored."""
        match message:
            case VoteAsk():
                self._election.on_ask(message, now)
                self._take_back(message.candidate, now)
            case VoteReply():
                self._election.on_reply(message, now)
            case AppendEntries():
                self._follower.on_append(message, now)
            case AppendReply():
                self._replicator.on_reply(message, now)
            case InstallSnapshot():
                self._follower.on_snapshot(message, now)
            case ReplicaHello():
                self._on_hello(sender, message, now)
        self._state.flush()

    def _take_back(self, candidate: str, now: float) -> None:
        """Let a voter join again that was removed without its knowledge."""
        if self.is_leader() and candidate not in self._state.voters:
            self._replicator.add_learner(candidate, now)

    def _on_won(self, now: float) -> None:
        self._replicator.start(now)

    def _say_hello(self, now: float) -> None:
        if not self._state.is_voter():
            self._bootstrap_if_all_empty(now)
            empty = self._state.log.is_empty
            hello = ReplicaHello(self._state.identity, empty)
            for vm in self._other_control_vms():
                self._outbox.send(vm, hello)
        self._outbox.call_at(now + HELLO_S, self._say_hello)

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
        if self.is_leader():
            self._replicator.add_learner(hello.replica, now)
        elif self.leader_vm and vm_of(hello.replica) == sender:
            self._outbox.send(self.leader_vm, hello)

    def _bootstrap_if_all_empty(self, now: float) -> None:
        """Start a new group once every control VM has said it is empty.

        Only the first control VM by name does so.
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
