"""The parts of a node that agree with other VMs on the fleet's state."""

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

HELLO_S: Final = 0.5
LAG_S: Final = 1.0  # after which any VM passes the published state on
LONGEST_AGE_S: Final = 1e9


class Agreement:
    """Spreads the published state, finds the leader, joins the roster."""

    def __init__(self, cfg: NodeConfig, outbox: Outbox) -> None:
        now = cfg.started_at
        self.published = PublishedController(outbox)
        self.replica: Replica | None = None
        self.leader: LeaderController | None = None
        self.draining = False
        self._cfg = cfg
        self._outbox = outbox
        self._behind_since: dict[VmName, float] = {}
        if cfg.stored:
            control = tuple(one.vm for one in cfg.seeds if one.control)
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
            self._heartbeat,
            self.addresses,
            now,
        )
        if self.replica:
            self.leader = LeaderController(
                outbox,
                self.replica,
                self.proposals,
                self.membership,
                self.published.is_set_aside,
                now,
            )
        outbox.call_at(now, self._say_hello)

    def addresses(self) -> dict[VmName, str]:
        """Return where the other VMs listen."""
        known = {entry.vm: entry.address for entry in self._cfg.seeds}
        roster = self.published.state.roster
        known.update({entry.vm: entry.address for entry in roster})
        known.pop(self._outbox.vm, None)
        return known

    def own_entry(self) -> RosterEntry | None:
        """Return this VM's entry in the roster in force."""
        return find_entry(self.published.state.roster, self._outbox.vm)

    def is_leading(self) -> bool:
        """Return whether this VM leads the control VMs."""
        return self.replica is not None and self.replica.is_leader()

    def find_leader(self) -> VmName:
        """Return the VM that leads as far as is known, or nothing."""
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
        """Keep a heartbeat; return whether its VM has restarted.

        A VM that is behind is sent the published state.
        """
        restarted = self.membership.note(sender, heartbeat, now)
        self.published.confirm(
            heartbeat.version,
            heartbeat.quorum_age_s,
            now,
        )
        if heartbeat.version >= self.published.state.version:
            self._behind_since.pop(sender, None)
            return restarted
        since = self._behind_since.setdefault(sender, now)
        if self._informs(sender) or now - since >= LAG_S:
            self._outbox.send(sender, self.published.to_message(now))
        return restarted

    def on_publish(self, message: Publish, now: float) -> bool:
        """Take a newer published state; return whether it was newer."""
        newer = self.published.offer(message.state, now)
        if newer:
            self._pass_on(now)
        self.published.confirm(
            message.state.version,
            message.quorum_age_s,
            now,
        )
        return newer

    def on_hello(self, hello: VmHello) -> None:
        """Take a VM's wish to be on the roster, if this VM leads."""
        if self.leader and self.is_leading():
            self.leader.on_hello(hello.entry)

    def publish_applied(self, now: float) -> bool:
        """Take what the own replica applied; return whether it is new."""
        if self.replica is None:
            return False
        if self.leader:
            self.leader.notice_leadership(now)
        newer = self.published.offer(self.replica.published, now)
        if newer:
            self._pass_on(now)
        if self.replica.is_leader():
            self.published.confirm(
                self.replica.published.version,
                now - self.replica.quorum_heard_at(now),
                now,
            )
        return newer

    def _pass_on(self, now: float) -> None:
        names = self.addresses()
        for vm in list(self.membership.views):
            if vm not in names:
                self.membership.forget(vm)
        informed = [vm for vm in sorted(names) if self._informs(vm)]
        self.published.push_to(informed, self.membership, now)

    def _informs(self, vm: VmName) -> bool:
        """Return whether a VM is to hear of changes from this one first."""
        if self.is_leading():
            return True
        entry = find_entry(self.published.state.roster, vm)
        return entry is None or entry.zone == self._cfg.entry.zone

    def _on_applied(self, entry: Entry, outcome: Outcome, now: float) -> None:
        self.proposals.on_applied(entry, outcome)

    def _heartbeat(self, now: float) -> Heartbeat:
        leader = self.replica.leader_vm if self.replica else ''
        term = self.replica.term if self.replica and leader else -1
        state = self.published.state
        return Heartbeat(
            self._cfg.boot,
            state.version,
            state.revision,
            leader,
            term,
            min(self.published.quorum_age(now), LONGEST_AGE_S),
            self.draining,
        )

    def _say_hello(self, now: float) -> None:
        own = self.own_entry()
        wanted = self._cfg.entry
        if own:
            wanted = wanted._replace(eligible=own.eligible, floor=own.floor)
        if own != wanted:
            hello = VmHello(self._cfg.entry)
            vms = [entry.vm for entry in self._cfg.seeds]
            for vm in dict.fromkeys((self.find_leader(), *vms)):
                self._outbox.send(vm, hello)
        self._outbox.call_at(now + HELLO_S, self._say_hello)
