"""The control VM's state machine: a replica, and fleet control."""

import random
from collections.abc import Callable
from typing import Final

from .._commands import Command, Outcome, RecordDeparture
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
from ..adapters import OrderOutcome, TargetReport
from ..agreement._election import Timing
from ..agreement._proposals import ProposalController
from ..agreement._replica import Replica
from ..deployment import DeploymentIndex
from ..duties import CallDone, HandedCall
from ..targets import SyncAsk, SyncReply, TargetHeartbeat, TargetRecord
from ._changes import CommittedChanges
from ._config import ControlConfig
from ._departures import DepartureRecorder
from ._duties import LeaderDuties
from ._effects import (
    CommandDone,
    ControlEffect,
    LeaderChanged,
    LimitsChanged,
    PushUpdates,
    RelayFailed,
    RequestReport,
    SoftwareChanged,
)
from ._fleet import LEADER_LEASE_S, FleetController
from ._infrastructure import InfrastructureDuties
from ._orders import OrderDispatcher
from ._reads import LinearizableReads
from ._relays import RELAY_HELLO_INTERVAL_S

STEP_INTERVAL_S: Final = 0.05  # between runs of the periodic tasks
# Planning visits all engines, so its rate is limited.
PLAN_INTERVAL_S: Final = 0.015
UNCONFIRMED_AGE_S: Final = 1e9  # quorum age of a VM that does not lead
# Without a leader no orders or tokens are issued, so failures are detected
# sooner than with the defaults.
TIMING: Final = Timing(
    heartbeat_interval_s=0.12, election_timeout_s=0.6, jitter_s=0.4
)
BOOT_BITS: Final = 64
COMMAND_TIMEOUT_S: Final = 1.5  # operators retry at another VM by then

IndexParser = Callable[[str], DeploymentIndex | None]


class ControlNode:
    """Handles messages, timers and calls; collects effects for the host."""

    def __init__(
        self,
        cfg: ControlConfig,
        parse_index: IndexParser,
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
        self._parse_index = parse_index
        self._outbox = Outbox(cfg.vm, rng)
        self._effects: list[ControlEffect] = []
        self._reads = LinearizableReads()
        self._hello_at = now
        self._planned_at = now
        self._plan_is_due = False
        self._last_leader = ('', -1)
        self._last_published = PublishedState()
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
        self._changes = CommittedChanges(
            self.replica, self.fleet, self._effects.append
        )
        self._departures = DepartureRecorder(
            self.replica, self.fleet, self._effects.append
        )
        self._duties = LeaderDuties(self.vm, self.replica, self.fleet)
        self.infrastructure = InfrastructureDuties(
            cfg, self.replica, self.fleet, self._outbox, self._effects.append
        )
        self._proposals = ProposalController(
            self._outbox,
            self.replica,
            lambda: self.leader,
            boot=f'{rng.getrandbits(BOOT_BITS):x}',
        )
        self._orders = OrderDispatcher(
            cfg.vm, self.fleet, self._outbox, self._effects.append
        )
        self._outbox.call_at(now, self._step)
        self._check_published(now)

    @property
    def published(self) -> PublishedState:
        """Return the state that this replica has applied."""
        return self.replica.published

    @property
    def leader(self) -> VmName:
        """Return the leader that this VM knows of, or an empty name."""
        return self.replica.leader_vm

    def is_ready_leader(self) -> bool:
        """Return whether this VM leads and has applied all earlier commits.

        Only then may it answer from its state.
        """
        return self.replica.has_committed_in_term()

    def quorum_age(self, now: float) -> float:
        """Return the time since a quorum confirmed this leader, in s."""
        if not self.is_ready_leader():
            return UNCONFIRMED_AGE_S
        return max(0.0, now - self.replica.quorum_contact_at(now))

    def has_lease(self, now: float) -> bool:
        """Return whether this VM holds a valid leader lease.

        While it does, no other VM can be the leader.
        """
        return self.quorum_age(now) <= LEADER_LEASE_S

    def receive(
        self,
        sender: VmName,
        message: PeerMessage,
        now: float,
    ) -> None:
        """Handle a message from another control VM."""
        self._run_timers(now)
        self._receive(sender, message, now)
        self._finish_step(now)

    def on_log_synced(self, batch: int, now: float) -> None:
        """Handle the completed sync of a batch of log writes."""
        self.replica.on_log_synced(batch, now)
        self._finish_step(now)

    def tick(self, now: float) -> None:
        """Run all timers that are due."""
        self._run_timers(now)
        self._finish_step(now)

    def next_deadline(self) -> float | None:
        """Return the time of the next timer, or ``None``."""
        return self._outbox.next_deadline()

    def propose(self, call: int, command: Command, now: float) -> None:
        """Propose a command; :class:`CommandDone` delivers its outcome.

        A VM that does not lead forwards the command to the leader, so that
        operators may send changes to any control VM.
        """
        self._proposals.propose(
            command,
            lambda outcome, _now: self._effects.append(
                CommandDone(call, outcome),
            ),
            timeout_s=COMMAND_TIMEOUT_S,
            now=now,
        )
        self._finish_step(now)

    def read(self, call: int, now: float) -> None:
        """Start a linearizable read; :class:`ReadDone` delivers its result."""
        self._reads.start(self.replica, call, now)
        self._finish_step(now)

    def on_heartbeat(
        self, heartbeat: TargetHeartbeat, now: float
    ) -> RecordDeparture | None:
        """Handle a target's heartbeat.

        Return the command to commit before the heartbeat is acknowledged, if
        any: a new leader must know of an acknowledged departure.
        """
        return self._departures.on_heartbeat(heartbeat, now)

    def on_departure(
        self, target: TargetName, wall_ms: int, now: float
    ) -> RecordDeparture | None:
        """Handle a target's deregistration.

        ``wall_ms`` is the present time in ms since the epoch. Return the
        command to commit before the call is acknowledged, if any.
        """
        return self._departures.on_departure(target, wall_ms, now)

    def on_ask(self, ask: SyncAsk, now: float) -> SyncReply:
        """Return the reply to a relay's sync request.

        A VM that cannot answer names the leader.
        """
        if not self.is_ready_leader():
            return SyncReply(
                ask.ask,
                serves=False,
                leader=self.leader,
                term=self.replica.term,
                quorum_age_s=UNCONFIRMED_AGE_S,
            )
        if self._duties.handle_crash_reports(ask, now):
            self._finish_step(now)
        limits = self.fleet.limits
        tolerances = self.fleet.tolerances
        stamps = (limits.stamp, tolerances.stamp)
        reply = self.fleet.on_ask(ask, self.quorum_age(now), now)
        if limits.stamp != stamps[0]:
            changes = limits.changed_since(stamps[0], now)
            self._effects.append(LimitsChanged(changes))
        if (limits.stamp, tolerances.stamp) != stamps:
            self._effects.append(PushUpdates())
        self._schedule_plan(now)
        return self.infrastructure.on_ask(ask, reply, now)

    def on_records(self, records: tuple[TargetRecord, ...]) -> None:
        """Learn from target records that the leader has sent to this VM."""
        for record in records:
            self.fleet.planner.engines.history.observe(record)

    def on_order_answered(self, outcome: OrderOutcome, now: float) -> None:
        """Handle the outcome of an order that this VM has sent.

        The outcome of a relayed order goes to the VM that requested it.
        """
        if self._orders.return_outcome(outcome):
            self._finish_step(now)
            return
        self._handle_outcome(outcome, now)

    def on_report(self, report: TargetReport, now: float) -> None:
        """Handle an engine's status report."""
        self.fleet.on_report(report, now)
        self._schedule_plan(now)

    def on_called(self, done: CallDone, now: float) -> None:
        """Handle the outcome of a call to the infrastructure."""
        self.infrastructure.on_called(done)
        self._finish_step(now)

    def take_effects(self) -> list[ControlEffect]:
        """Return and clear the pending effects, in order."""
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    def _handle_outcome(self, outcome: OrderOutcome, now: float) -> None:
        self.fleet.on_order_answered(outcome, now)
        self._schedule_plan(now)
        self._effects.append(PushUpdates())

    def _step(self, now: float) -> None:
        if self.is_ready_leader():
            self._duties.maintain_holders(now)
            self._expire_relays(now)
            self._duties.maintain_quarantine(now)
            self._duties.store_software(now)
            if self.fleet.expire(now):
                self._effects.append(PushUpdates())
            for engine in self.fleet.planner.reports_due(now):
                engine.report_due_at = now + 1.0
                self._effects.append(
                    RequestReport(engine.target, engine.heartbeat.address),
                )
            self._schedule_plan(now)
            self.infrastructure.step(now, has_lease=self.has_lease(now))
        elif self.leader and now >= self._hello_at:
            self._hello_at = now + RELAY_HELLO_INTERVAL_S
            self._outbox.send(self.leader, self.infrastructure.hello(now))
        self._outbox.call_at(now + STEP_INTERVAL_S, self._step)

    def _expire_relays(self, now: float) -> None:
        """Time out the orders that another VM was to send."""
        for outcome in self.fleet.relays.expire(now):
            self._effects.append(RelayFailed(outcome))
            self._handle_outcome(outcome, now)

    def _schedule_plan(self, now: float) -> None:
        """Plan orders now, or once the planning interval has passed."""
        due_at = self._planned_at + PLAN_INTERVAL_S
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
            self._orders.send(order, self.replica.term, now)

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
                if self.is_ready_leader():
                    self._orders.on_hello(sender, message, now)
                    self.infrastructure.on_hello(sender, message, now)
            case RelayOrder():
                self._orders.on_order(sender, message, self.replica.term, now)
            case RelayDone():
                outcome = self._orders.on_done(message)
                if outcome:
                    self._handle_outcome(outcome, now)
            case HandedCall() | CallDone():
                self.infrastructure.receive(sender, message, now)
            case _:
                self.replica.receive(sender, message, now)

    def _run_timers(self, now: float) -> None:
        callback = self._outbox.pop_due(now)
        while callback:
            callback(now)
            callback = self._outbox.pop_due(now)

    def _finish_step(self, now: float) -> None:
        while self._outbox.local:
            message = self._outbox.local.popleft()
            self._receive(self.vm, message, now)
        self._changes.check_departures(now)
        self._changes.check_quarantine(now)
        self._check_leader(now)
        self._changes.check_formats()
        self._changes.check_holders(now)
        self.infrastructure.check_state(now)
        self._check_published(now)
        self._effects.extend(self._reads.pop_results(self.replica, now))
        self._effects.extend(
            effect
            for effect in self._outbox.take_effects()
            if isinstance(effect, (SendPeer, PersistLog))
        )

    def _check_leader(self, now: float) -> None:
        if self.is_ready_leader() and self.fleet.term != self.replica.term:
            control = self.replica.voter_vms
            self.fleet.start_term(self.replica.term, control, now)
            self.infrastructure.start_term(self.replica.term, now)
            self._proposals.clear_appended()
            self.fleet.apply_published(self.published, self.index)
        leader = (self.leader, self.replica.term)
        if leader != self._last_leader:
            self._last_leader = leader
            self._effects.append(LeaderChanged(*leader))

    def _check_published(self, now: float) -> None:
        published = self.published
        if published.version == self._last_published.version:
            return
        if published.revision != self._last_published.revision:
            self.index = self._parse_index(published.document)
        if published.software != self._last_published.software:
            self._effects.append(SoftwareChanged(published.software))
        self._last_published = published
        self.fleet.apply_published(published, self.index)
        if self.is_ready_leader():
            self._effects.append(PushUpdates())

    def _on_applied(self, entry: Entry, outcome: Outcome, _now: float) -> None:
        self._proposals.on_applied(entry, outcome)
