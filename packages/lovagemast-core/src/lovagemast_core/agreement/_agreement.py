"""Connects the components that replicate and distribute the fleet's state."""

from typing import Final

from .._commands import Outcome
from .._config import NodeConfig
from .._messages import Entry, Heartbeat, Publish, VmHello
from .._outbox import Outbox
from .._types import VmName
from ._leader import LeaderController
from ._membership import Membership
from ._proposals import ProposalController
from ._published import PublishedController
from ._replica import Replica
from ._roster import RosterEntry, find_entry

VM_HELLO_INTERVAL_S: Final = 0.5  # between requests to join the roster
# A VM that has lagged for this long gets the published state from any VM.
FORWARD_AFTER_LAG_S: Final = 1.0
UNCONFIRMED_AGE_S: Final = 1e9  # quorum age before the first confirmation


class Agreement:
    """Distributes the published state, locates the leader, joins the roster.

    Only VMs with a stored log run a replica; the others receive the published
    state from them.
    """

    def __init__(self, cfg: NodeConfig, outbox: Outbox) -> None:
        now = cfg.started_at
        self.published = PublishedController(outbox)
        self.replica: Replica | None = None
        self.leader: LeaderController | None = None
        self.draining = False
        self._cfg = cfg
        self._outbox = outbox
        self._lagging_since: dict[VmName, float] = {}
        if cfg.stored:
            control = tuple(entry.vm for entry in cfg.seeds if entry.control)
            self.replica = Replica(
                cfg.stored,
                control,
                outbox,
                self._on_applied,
                now,
            )
        self.proposals = ProposalController(
            outbox,
            self.replica,
            self.find_leader,
            cfg.boot,
        )
        self.membership = Membership(
            outbox,
            self._make_heartbeat,
            self.addresses,
            now,
        )
        if self.replica:
            self.leader = LeaderController(
                outbox,
                self.replica,
                self.proposals,
                self.membership,
                self.published.is_out_of_service,
                now,
            )
        outbox.call_at(now, self._send_hello)

    def addresses(self) -> dict[VmName, str]:
        """Return the addresses of the other VMs, by VM name."""
        known = {entry.vm: entry.address for entry in self._cfg.seeds}
        roster = self.published.state.roster
        known.update({entry.vm: entry.address for entry in roster})
        known.pop(self._outbox.vm, None)
        return known

    def own_entry(self) -> RosterEntry | None:
        """Return this VM's entry in the current roster, if it has one."""
        return find_entry(self.published.state.roster, self._outbox.vm)

    def is_leading(self) -> bool:
        """Return whether the replica of this VM is the Raft leader."""
        return self.replica is not None and self.replica.is_leader()

    def find_leader(self) -> VmName:
        """Return the leader that this VM knows of, or an empty name.

        Without a view of its own, this VM relies on the heartbeat with the
        highest leader term.
        """
        own_view = self.replica.leader_vm if self.replica else ''
        if own_view:
            return own_view
        newest = ''
        newest_term = -1
        for _vm, view in sorted(self.membership.views.items()):
            if view.heartbeat.leader_term > newest_term:
                newest = view.heartbeat.leader
                newest_term = view.heartbeat.leader_term
        return newest

    def on_heartbeat(
        self,
        sender: VmName,
        heartbeat: Heartbeat,
        now: float,
    ) -> bool:
        """Record a heartbeat; return whether its sender has restarted.

        Sends the published state to a VM that holds an older version.
        """
        restarted = self.membership.record_heartbeat(sender, heartbeat, now)
        self.published.record_confirmation(
            heartbeat.version,
            heartbeat.quorum_age_s,
            now,
        )
        if heartbeat.version >= self.published.state.version:
            self._lagging_since.pop(sender, None)
            return restarted
        since = self._lagging_since.setdefault(sender, now)
        if self._notifies(sender) or now - since >= FORWARD_AFTER_LAG_S:
            self._outbox.send(sender, self.published.to_message(now))
        return restarted

    def on_publish(self, message: Publish, now: float) -> bool:
        """Adopt a received state if it is newer; return whether it was."""
        newer = self.published.adopt_if_newer(message.state, now)
        if newer:
            self._forward_state(now)
        self.published.record_confirmation(
            message.state.version,
            message.quorum_age_s,
            now,
        )
        return newer

    def on_hello(self, hello: VmHello) -> None:
        """Handle a VM's request to join the roster, if this VM leads."""
        if self.leader and self.is_leading():
            self.leader.on_hello(hello.entry)

    def publish_applied(self, now: float) -> bool:
        """Adopt the state that the local replica has applied.

        Returns whether it is newer than the one held before.
        """
        if self.replica is None:
            return False
        if self.leader:
            self.leader.ensure_term_started(now)
        newer = self.published.adopt_if_newer(self.replica.published, now)
        if newer:
            self._forward_state(now)
        if self.replica.is_leader():
            self.published.record_confirmation(
                self.replica.published.version,
                now - self.replica.quorum_contact_at(now),
                now,
            )
        return newer

    def _forward_state(self, now: float) -> None:
        names = self.addresses()
        for vm in list(self.membership.views):
            if vm not in names:
                self.membership.remove(vm)
        recipients = [vm for vm in sorted(names) if self._notifies(vm)]
        self.published.send_to_outdated(recipients, self.membership, now)

    def _notifies(self, vm: VmName) -> bool:
        """Return whether this VM sends changes to another one at once.

        The leader notifies all VMs; the others notify only VMs of their own
        zone and VMs that are not on the roster yet.
        """
        if self.is_leading():
            return True
        entry = find_entry(self.published.state.roster, vm)
        return entry is None or entry.zone == self._cfg.entry.zone

    def _on_applied(self, entry: Entry, outcome: Outcome, now: float) -> None:
        self.proposals.on_applied(entry, outcome)

    def _make_heartbeat(self, now: float) -> Heartbeat:
        leader = self.replica.leader_vm if self.replica else ''
        term = self.replica.term if self.replica and leader else -1
        state = self.published.state
        return Heartbeat(
            self._cfg.boot,
            state.version,
            state.revision,
            leader,
            term,
            min(self.published.quorum_age(now), UNCONFIRMED_AGE_S),
            self.draining,
        )

    def _send_hello(self, now: float) -> None:
        own = self.own_entry()
        wanted = self._cfg.entry
        if own:
            wanted = wanted._replace(eligible=own.eligible, floor=own.floor)
        if own != wanted:
            hello = VmHello(self._cfg.entry)
            vms = [entry.vm for entry in self._cfg.seeds]
            for vm in dict.fromkeys((self.find_leader(), *vms)):
                self._outbox.send(vm, hello)
        self._outbox.call_at(now + VM_HELLO_INTERVAL_S, self._send_hello)
