"""A cluster of control VMs in one process, over an in-memory network."""

import random
from collections import Counter
from typing import NamedTuple

from lovagemast_core import (
    Outcome,
    PersistLog,
    PublishedState,
    PutConfig,
    SendPeer,
    StoredLog,
)
from lovagemast_core.adapters import (
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from lovagemast_core.control import (
    CommandDone,
    ControlConfig,
    ControlNode,
    ReadDone,
    RequestReport,
    SendOrder,
)
from lovagemast_core.deployment import (
    Deployment,
    DeploymentIndex,
    EngineSpec,
    ModelSpec,
    PoolSpec,
    ScalingSpec,
)
from lovagemast_core.duties import DutyConfig
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.targets import AdapterWish, SyncAsk, TargetHeartbeat

STEP_S = 0.01
TAKEOVER_S = 3.0
VMS = ('c1', 'c2', 'c3')


class SentOrder(NamedTuple):
    """An order as an engine receives it."""

    at: float  # s
    vm: str  # that sent it
    order: Order


class _PendingSync(NamedTuple):
    """A batch that a disk has not synced, and what the disk then holds."""

    vm: str
    batch: int
    stored: StoredLog


def parse_index(
    _document: str, scaling: ScalingSpec | None = None
) -> DeploymentIndex:
    """Return a deployment with one pool of engines."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(8, 1_000, 200.0, 50, 4.0, 200.0, (model,))
    pool = PoolSpec('pool', '/health', 10, 0.0, 0.0, engine)
    pool = pool._replace(scaling=scaling)
    return DeploymentIndex(Deployment(1, pools=(pool,)))


def make_heartbeat(target: str, now: float) -> TargetHeartbeat:
    """Return a heartbeat of an engine with one model."""
    heartbeat = TargetHeartbeat(
        target,
        'pool',
        f'{target}:80',
        'z1',
        8,
        leaving=False,
        cold_s=0.0,
        incarnation=1,
        sequence=int(now * 1_000),
    )
    return heartbeat._replace(models=('m',))


def make_config(revision: int, text: str = 'doc') -> PutConfig:
    """Return a configuration with a document that names its revision."""
    return PutConfig(revision, f'{text} {revision}')


class Cluster:
    """Control VMs whose messages and disk syncs complete one step later.

    ``cut`` VMs neither send nor receive messages, ``frozen`` ones do not run,
    and the disks of ``stalled`` ones complete no write.
    """

    duties: DutyConfig | None = None
    scaling: ScalingSpec | None = None  # of the pool

    def __init__(self, vms: tuple[str, ...] = VMS, seed: int = 1) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, ControlNode] = {}
        self.disks: dict[str, _Disk] = {}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.stalled: set[str] = set()
        self.outcomes: dict[int, Outcome] = {}
        self.reads: dict[int, PublishedState | None] = {}
        self.orders: list[SentOrder] = []
        self._pending_outcomes: list[tuple[str, OrderOutcome]] = []
        self._applied_orders: Counter[str] = Counter()
        self._in_transit: list[tuple[str, str, object]] = []
        self._pending_syncs: list[_PendingSync] = []
        self._synced: dict[str, StoredLog] = {}
        for vm in vms:
            self.wipe_disk(vm, 'first')
            self.start(vm, bootstrap=True)

    def start(self, vm: str, *, bootstrap: bool = False) -> None:
        """Start a VM's process with the contents of its disk."""
        cfg = ControlConfig(
            vm,
            self.disks[vm].to_stored(),
            VMS,
            bootstrap,
            3,
            TAKEOVER_S,
            QuotaBounds(0.0, 1.0, 0.0),
            self.now,
            self.duties,
        )
        rng = random.Random(self.rng.random())
        self.nodes[vm] = ControlNode(
            cfg, lambda document: parse_index(document, self.scaling), rng
        )

    def stop(self, vm: str) -> None:
        """Kill a VM's process; its disk is kept."""
        self.nodes.pop(vm)
        self._in_transit = [
            message for message in self._in_transit if vm not in message[:2]
        ]
        self._pending_syncs = [
            sync for sync in self._pending_syncs if sync.vm != vm
        ]

    def lose_power(self, vm: str) -> None:
        """Kill a VM's process; what its disk has not synced is lost."""
        self.stop(vm)
        self.disks[vm].stored = self._synced[vm]

    def wipe_disk(self, vm: str, mark: str = 'new') -> None:
        """Replace a VM's disk by an empty one, which has another identity."""
        self.disks[vm] = _Disk(f'{vm}#{mark}')
        self._synced[vm] = self.disks[vm].stored

    def run(self, seconds: float) -> None:
        """Run the cluster for some simulated time."""
        for _step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            delivered, self._in_transit = self._in_transit, []
            synced, self._pending_syncs = self._pending_syncs, []
            for sync in synced:
                if sync.vm in self.frozen | self.stalled:
                    self._pending_syncs.append(sync)
                else:
                    self._synced[sync.vm] = sync.stored
                    self.nodes[sync.vm].on_log_synced(sync.batch, self.now)
            for sender, vm, message in delivered:
                self._deliver(sender, vm, message)
            self._deliver_outcomes()
            for vm, node in list(self.nodes.items()):
                if vm not in self.frozen:
                    node.tick(self.now)
            self.perform_effects()

    def perform_effects(self) -> None:
        """Perform the pending effects of all nodes."""
        for vm, node in self.nodes.items():
            for effect in node.take_effects():
                self._perform(vm, effect)

    def send_heartbeats(self, *targets: str) -> None:
        """Send heartbeats of some engines to all ready leaders."""
        leaders = [
            node for node in self.nodes.values() if node.is_ready_leader()
        ]
        for node in leaders:
            for target in targets:
                node.on_heartbeat(make_heartbeat(target, self.now), self.now)

    def request_adapter(self, adapter: str) -> None:
        """Send an entry VM's wish for an adapter to all VMs that run."""
        wish = AdapterWish('pool', 'm', adapter, 1, 1.0)
        ask = SyncAsk(1, 'entry', 'z1', 0, 0, 0, wishes=(wish,))
        for vm, node in self.nodes.items():
            if vm not in self.frozen:
                node.on_ask(ask, self.now)
        self.perform_effects()

    def leader(self) -> str:
        """Return the ready leader with the highest term."""
        leading = [
            vm for vm, node in self.nodes.items() if node.is_ready_leader()
        ]
        return max(leading, key=lambda vm: self.nodes[vm].replica.term)

    def propose(self, vm: str, command: object) -> int:
        """Propose an operator's change at a VM and return its call id."""
        call = self.rng.getrandbits(40)
        self.nodes[vm].propose(call, command, self.now)  # type: ignore[arg-type]
        self.perform_effects()
        return call

    def read(self, vm: str) -> int:
        """Start an operator's read at a VM and return its call id."""
        call = self.rng.getrandbits(40)
        self.nodes[vm].read(call, self.now)
        self.perform_effects()
        return call

    def _deliver(self, sender: str, vm: str, message: object) -> None:
        node = self.nodes.get(vm)
        if node is None or self.cut & {sender, vm}:
            return
        if vm in self.frozen:
            self._in_transit.append((sender, vm, message))
            return
        node.receive(sender, message, self.now)  # type: ignore[arg-type]

    def _perform(self, vm: str, effect: object) -> None:
        match effect:
            case SendPeer():
                self._in_transit.append((vm, effect.vm, effect.message))
            case PersistLog():
                if vm not in self.stalled:
                    self.disks[vm].write(effect)
                stored = self.disks[vm].stored
                sync = _PendingSync(vm, effect.batch, stored)
                self._pending_syncs.append(sync)
            case CommandDone():
                self.outcomes[effect.call] = effect.outcome
            case ReadDone():
                self.reads[effect.call] = effect.published
            case SendOrder():
                self._handle_order(vm, effect.order)
            case RequestReport():
                self._send_report(vm, effect.target)

    def _handle_order(self, vm: str, order: Order) -> None:
        self.orders.append(SentOrder(self.now, vm, order))
        result = OrderResult.BUSY
        if order.precondition == self._applied_orders[order.target]:
            self._applied_orders[order.target] += 1
            result = OrderResult.ACCEPTED
        self._pending_outcomes.append((vm, OrderOutcome(order, result)))

    def _deliver_outcomes(self) -> None:
        outcomes, self._pending_outcomes = self._pending_outcomes, []
        for vm, outcome in outcomes:
            if vm in self.frozen:
                self._pending_outcomes.append((vm, outcome))
            elif vm in self.nodes:
                self.nodes[vm].on_order_answered(outcome, self.now)

    def _send_report(self, vm: str, target: str) -> None:
        report = TargetReport(
            target,
            self._applied_orders[target],
            busy=False,
            models=('m',),
            adapters=(),
            loading=(),
            running=0,
            waiting=0,
        )
        self.nodes[vm].on_report(report, self.now)


class _Disk:
    """The contents of a VM's disk, with the semantics of the log store."""

    def __init__(self, identity: str) -> None:
        self.stored = StoredLog(identity)

    def write(self, batch: PersistLog) -> None:
        stored = self.stored
        if batch.snapshot:
            last = batch.snapshot.last_index
            kept = tuple(
                entry for entry in stored.entries if entry.log_index > last
            )
            stored = stored._replace(snapshot=batch.snapshot, entries=kept)
        if batch.truncate_from is not None:
            first = batch.truncate_from
            kept = tuple(
                entry for entry in stored.entries if entry.log_index < first
            )
            stored = stored._replace(entries=kept)
        stored = stored._replace(entries=(*stored.entries, *batch.entries))
        if batch.hard_state:
            stored = stored._replace(hard_state=batch.hard_state)
        self.stored = stored

    def to_stored(self) -> StoredLog:
        return self.stored
