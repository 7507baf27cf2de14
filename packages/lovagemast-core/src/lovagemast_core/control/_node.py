"""A control VM: its replica, and the fleet while it leads."""

import random
from collections.abc import Callable
from typing import Final

from .._commands import Command, Outcome
from .._effects import PersistLog, SendPeer
from .._messages import (
    Entry,
    PeerMessage,
    ProposalDone,
    Propose,
    RelayDone,
    RelayHello,
    RelayOrder,
)
from .._outbox import Outbox
from .._state import PublishedState
from .._types import TargetName, VmName
from ..adapters import Order, OrderOutcome, TargetReport
from ..agreement._election import Timing
from ..agreement._proposals import ProposalController
from ..agreement._replica import Replica
from ..deployment import DeploymentIndex
from ..targets import SyncAsk, SyncReply, TargetHeartbeat
from ._config import ControlConfig
from ._effects import (
    CommandDone,
    ControlEffect,
    HoldersChanged,
    LeaderChanged,
    PushUpdates,
    RelayFailed,
    RequestReport,
    SendOrder,
)
from ._fleet import LEASE_S, FleetController
from ._reads import ConfirmedReads
from ._relays import HELLO_INTERVAL_S, RelayedOrders

STEP_INTERVAL_S: Final = 0.05  # between looks at what is due
# Between plans of orders: a plan looks at all engines, and every ask of every
# entry VM may call for one.
PLAN_S: Final = 0.015
UNKNOWN_AGE_S: Final = 1e9
# A leader's silence stops orders and tokens: it is noticed sooner here.
TIMING: Final = Timing(
    heartbeat_interval_s=0.12, election_timeout_s=0.6, jitter_s=0.4
)
BOOT_BITS: Final = 64
COMMAND_TIMEOUT_S: Final = 1.5  # an operator asks elsewhere by then

ReadIndex = Callable[[str], DeploymentIndex | None]


class ControlNode:
    """Takes what arrives and collects what the host is to do."""

    def __init__(
        self,
        cfg: ControlConfig,
        read_index: ReadIndex,
        rng: random.Random,
    ) -> None:
        now = cfg.started_at
        self.vm = cfg.vm
        self.index: DeploymentIndex | None = None
        self.fleet = FleetController(
            cfg.vm,
            takeover_s=cfg.takeover_s,
            quota=cfg.quota,
        )
        self._read_index = read_index
        self._outbox = Outbox(cfg.vm, rng)
        self._effects: list[ControlEffect] = []
        self._reads = ConfirmedReads()
        self._relayed = RelayedOrders()
        self._hello_at = now
        self._planned_at = now
        self._plan_is_due = False
        self._noticed = ('', -1)
        self._published_seen = PublishedState()
        self.replica = Replica(
            cfg.stored,
            cfg.seeds,
            self._outbox,
            self._on_applied,
            now,
            may_bootstrap=cfg.bootstrap,
            voters_wanted=cfg.voters_wanted,
            timing=TIMING,
        )
        self._proposals = ProposalController(
            self._outbox,
            self.replica,
            lambda: self.leader,
            boot=f'{rng.getrandbits(BOOT_BITS):x}',
        )
        self._outbox.call_at(now, self._step)
        self._follow_published(now)

    @property
    def published(self) -> PublishedState:
        """Return the state that this replica has applied."""
        return self.replica.published

    @property
    def leader(self) -> VmName:
        """Return the VM that leads, as far as is known."""
        return self.replica.leader_vm

    def is_ready_leader(self) -> bool:
        """Return whether this VM leads and knows all that was decided."""
        return self.replica.has_committed_in_term()

    def quorum_age(self, now: float) -> float:
        """Return how long ago a quorum is known to have followed."""
        if not self.is_ready_leader():
            return UNKNOWN_AGE_S
        return max(0.0, now - self.replica.quorum_contact_at(now))

    def has_lease(self, now: float) -> bool:
        """Return whether no other VM can lead at this moment."""
        return self.quorum_age(now) <= LEASE_S

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Take another control VM's message."""
        self._run_timers(now)
        self._receive(sender, message, now)
        self._after(now)

    def on_log_synced(self, batch: int, now: float) -> None:
        """Note that a batch of the log is on the disk."""
        self.replica.on_log_synced(batch, now)
        self._after(now)

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self._run_timers(now)
        self._after(now)

    def next_deadline(self) -> float | None:
        """Return when a tick is wanted at the latest."""
        return self._outbox.next_deadline()

    def propose(self, call: int, command: Command, now: float) -> None:
        """Commit a command, answered by :class:`CommandDone`.

        A VM that does not lead passes it on, so that an operator needs one
        answer only.
        """
        self._proposals.propose(
            command,
            lambda outcome, _now: self._effects.append(
                CommandDone(call, outcome),
            ),
            timeout_s=COMMAND_TIMEOUT_S,
            now=now,
        )
        self._after(now)

    def read(self, call: int, now: float) -> None:
        """Confirm leadership anew, answered by :class:`ReadDone`."""
        self._reads.ask(self.replica, call, now)
        self._after(now)

    def on_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> None:
        """Take a target's heartbeat."""
        stamp = self.fleet.registry.stamp
        self.fleet.on_heartbeat(heartbeat, now)
        if self.fleet.registry.stamp != stamp:
            self._effects.append(PushUpdates())

    def on_departure(self, target: TargetName, now: float) -> None:
        """Take a target's leave."""
        self.fleet.on_departure(target, now)
        self._effects.append(PushUpdates())

    def on_ask(self, ask: SyncAsk, now: float) -> SyncReply:
        """Answer an entry VM."""
        if not self.is_ready_leader():
            return SyncReply(
                ask.ask,
                leads=False,
                leader=self.leader,
                term=self.replica.term,
                quorum_age_s=UNKNOWN_AGE_S,
                control=self.replica.voter_vms,
            )
        reply = self.fleet.on_ask(ask, self.quorum_age(now), now)
        self._plan(now)
        return reply._replace(control=self.replica.voter_vms)

    def on_order_answered(self, outcome: OrderOutcome, now: float) -> None:
        """Take the outcome of an order that this VM sent."""
        asker = self._relayed.asker_of(outcome.order)
        if asker:
            self._outbox.send(asker, RelayDone(outcome))
            self._after(now)
            return
        self._take_outcome(outcome, now)

    def on_report(self, report: TargetReport, now: float) -> None:
        """Take an engine's report."""
        self.fleet.on_report(report, now)
        self._plan(now)

    def drain(self) -> list[ControlEffect]:
        """Return what the host is to do, in order."""
        effects = self._effects
        self._effects = []
        return effects

    def _take_outcome(self, outcome: OrderOutcome, now: float) -> None:
        self.fleet.on_order_answered(outcome, now)
        self._plan(now)
        self._effects.append(PushUpdates())

    def _step(self, now: float) -> None:
        if self.is_ready_leader():
            self._keep_holders(now)
            if self.fleet.expire(now):
                self._effects.append(PushUpdates())
            for engine in self.fleet.planner.reports_due(now):
                engine.report_due = now + 1.0
                self._effects.append(
                    RequestReport(engine.target, engine.beat.address),
                )
            self._plan(now)
        elif self.leader and now >= self._hello_at:
            self._hello_at = now + HELLO_INTERVAL_S
            self._outbox.send(self.leader, RelayHello(now))
        self._outbox.call_at(now + STEP_INTERVAL_S, self._step)

    def _keep_holders(self, now: float) -> None:
        """Replace silent holders; give up orders that they had."""
        self.fleet.health.heard(self.vm, now)
        change = self.fleet.holders.propose(
            self.replica.voter_vms,
            self.fleet.health,
            now,
        )
        if change:
            self.replica.propose(change, now)
        for outcome in self.fleet.relays.expire(now):
            self._effects.append(RelayFailed(outcome))
            self._take_outcome(outcome, now)

    def _plan(self, now: float) -> None:
        """Plan orders now, or as soon as the last plan is old enough."""
        due_at = self._planned_at + PLAN_S
        if now >= due_at:
            self._plan_now(now)
        elif not self._plan_is_due:
            self._plan_is_due = True
            self._outbox.call_at(due_at, self._plan_now)

    def _plan_now(self, now: float) -> None:
        self._planned_at = now
        self._plan_is_due = False
        if not self.is_ready_leader():
            return
        for order in self.fleet.plan(self.quorum_age(now), now):
            self._send_order(order, now)

    def _send_order(self, order: Order, now: float) -> None:
        holder = self.fleet.holders.holder(order.target)
        if holder == self.vm:
            self._effects.append(SendOrder(order))
            return
        term = self.replica.term
        message = self.fleet.relays.order(holder, order, term, now)
        self._outbox.send(holder, message)

    def _on_hello(self, sender: VmName, hello: RelayHello, now: float) -> None:
        if self.is_ready_leader():
            self.fleet.relays.on_hello(sender, hello, now)
            self.fleet.health.heard(sender, now)

    def _on_relay(
        self,
        sender: VmName,
        message: RelayOrder,
        now: float,
    ) -> None:
        term = self.replica.term
        refused = self._relayed.accept(sender, message, term, now)
        if refused:
            self._outbox.send(sender, RelayDone(refused))
        else:
            self._effects.append(SendOrder(message.order))

    def _on_relayed(self, done: RelayDone, now: float) -> None:
        outcome = self.fleet.relays.on_done(done)
        if outcome is None:
            return
        if not outcome.was_sent:
            self._effects.append(RelayFailed(outcome))
        self._take_outcome(outcome, now)

    def _receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        match message:
            case Propose():
                self._proposals.on_propose(sender, message, now)
            case ProposalDone():
                self._proposals.on_done(message, now)
            case RelayHello():
                self._on_hello(sender, message, now)
            case RelayOrder():
                self._on_relay(sender, message, now)
            case RelayDone():
                self._on_relayed(message, now)
            case _:
                self.replica.receive(sender, message, now)

    def _run_timers(self, now: float) -> None:
        callback = self._outbox.pop_due(now)
        while callback:
            callback(now)
            callback = self._outbox.pop_due(now)

    def _after(self, now: float) -> None:
        while self._outbox.local:
            message = self._outbox.local.popleft()
            self._receive(self.vm, message, now)
        self._notice_leader(now)
        self._follow_holders(now)
        self._follow_published(now)
        self._effects.extend(self._reads.settle(self.replica, now))
        self._effects.extend(
            effect
            for effect in self._outbox.drain()
            if isinstance(effect, (SendPeer, PersistLog))
        )

    def _follow_holders(self, now: float) -> None:
        agreed = self.replica.holders
        if agreed == self.fleet.holders.state:
            return
        self.fleet.holders.follow(agreed, now)
        former = len(agreed.former)
        noticed = HoldersChanged(agreed.epoch, agreed.vms, former)
        self._effects.append(noticed)

    def _notice_leader(self, now: float) -> None:
        if self.is_ready_leader() and self.fleet.term != self.replica.term:
            control = self.replica.voter_vms
            self.fleet.lead(self.replica.term, control, now)
            self._proposals.clear_appended()
            self.fleet.follow_published(self.published, self.index)
        noticed = (self.leader, self.replica.term)
        if noticed != self._noticed:
            self._noticed = noticed
            self._effects.append(LeaderChanged(*noticed))

    def _follow_published(self, now: float) -> None:
        published = self.published
        if published.version == self._published_seen.version:
            return
        if published.revision != self._published_seen.revision:
            self.index = self._read_index(published.document)
        self._published_seen = published
        self.fleet.follow_published(published, self.index)
        if self.is_ready_leader():
            self._effects.append(PushUpdates())

    def _on_applied(self, entry: Entry, outcome: Outcome, _now: float) -> None:
        self._proposals.on_applied(entry, outcome)
