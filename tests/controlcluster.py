"""Control VMs in one process, over an in-memory network."""

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
)
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.targets import AdapterWish, SyncAsk, TargetHeartbeat

STEP_S = 0.01
TAKEOVER_S = 3.0
VMS = ('c1', 'c2', 'c3')


class SentOrder(NamedTuple):
    """An order as an engine gets it."""

    at: float  # s
    vm: str  # that sent it
    order: Order


def read_index(_document: str) -> DeploymentIndex:
    """Return a deployment with one pool of engines."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(8, 1_000, 200.0, 50, 4.0, 200.0, (model,))
    pool = PoolSpec('pool', '/health', 10, 0.0, 0.0, engine)
    return DeploymentIndex(Deployment(1, pools=(pool,)))


def make_beat(target: str, now: float) -> TargetHeartbeat:
    """Return an engine's heartbeat."""
    beat = TargetHeartbeat(
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
    return beat._replace(models=('m',))


def make_config(revision: int, text: str = 'doc') -> PutConfig:
    """Return a configuration change."""
    return PutConfig(revision, f'{text} {revision}')


class Cluster:
    """Control VMs whose messages and syncs arrive one step later."""

    def __init__(self, vms: tuple[str, ...] = VMS, seed: int = 1) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, ControlNode] = {}
        self.disks: dict[str, _Disk] = {}
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.stalled: set[str] = set()  # VMs whose disks do not answer
        self.answers: dict[int, Outcome] = {}
        self.reads: dict[int, PublishedState | None] = {}
        self.orders: list[SentOrder] = []
        self._answers: list[tuple[str, OrderOutcome]] = []
        self._sequences: Counter[str] = Counter()
        self._mail: list[tuple[str, str, object]] = []
        self._synced: list[tuple[str, int]] = []
        for vm in vms:
            self.disks[vm] = _Disk(f'{vm}#first')
            self.start(vm, bootstrap=True)

    def start(self, vm: str, *, bootstrap: bool = False) -> None:
        """Start a VM's process from its disk."""
        cfg = ControlConfig(
            vm,
            self.disks[vm].to_stored(),
            VMS,
            bootstrap,
            3,
            TAKEOVER_S,
            QuotaBounds(0.0, 1.0, 0.0),
            self.now,
        )
        rng = random.Random(self.rng.random())
        self.nodes[vm] = ControlNode(cfg, read_index, rng)

    def stop(self, vm: str) -> None:
        """Kill a VM's process; its disk stays."""
        self.nodes.pop(vm)
        self._mail = [mail for mail in self._mail if vm not in mail[:2]]
        self._synced = [one for one in self._synced if one[0] != vm]

    def wipe(self, vm: str, mark: str = 'new') -> None:
        """Give a VM an empty disk, and with it another identity."""
        self.disks[vm] = _Disk(f'{vm}#{mark}')

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            mail, self._mail = self._mail, []
            synced, self._synced = self._synced, []
            for vm, batch in synced:
                if vm in self.frozen | self.stalled:
                    self._synced.append((vm, batch))
                else:
                    self.nodes[vm].on_log_synced(batch, self.now)
            for sender, vm, message in mail:
                self._deliver(sender, vm, message)
            self._answer_orders()
            for vm, node in list(self.nodes.items()):
                if vm not in self.frozen:
                    node.tick(self.now)
            self.collect()

    def collect(self) -> None:
        """Carry out what the nodes want."""
        for vm, node in self.nodes.items():
            for effect in node.drain():
                self._perform(vm, effect)

    def send_heartbeats(self, *targets: str) -> None:
        """Let engines send their heartbeats to the VM that leads."""
        serving = [
            node for node in self.nodes.values() if node.is_ready_leader()
        ]
        for node in serving:
            for target in targets:
                node.on_heartbeat(make_beat(target, self.now), self.now)

    def wish(self, adapter: str) -> None:
        """Let an entry VM ask every VM that leads for an adapter."""
        wish = AdapterWish('pool', 'm', adapter, 1, 1.0)
        ask = SyncAsk(1, 'entry', 'z1', 0, 0, 0, wishes=(wish,))
        for vm, node in self.nodes.items():
            if vm not in self.frozen:
                node.on_ask(ask, self.now)
        self.collect()

    def leader(self) -> str:
        """Return the VM that leads the latest term."""
        leading = [
            vm for vm, node in self.nodes.items() if node.is_ready_leader()
        ]
        return max(leading, key=lambda vm: self.nodes[vm].replica.term)

    def propose(self, vm: str, command: object) -> int:
        """Let an operator send a change to a VM."""
        call = self.rng.getrandbits(40)
        self.nodes[vm].propose(call, command, self.now)  # type: ignore[arg-type]
        self.collect()
        return call

    def read(self, vm: str) -> int:
        """Let an operator read the configuration at a VM."""
        call = self.rng.getrandbits(40)
        self.nodes[vm].read(call, self.now)
        self.collect()
        return call

    def _deliver(self, sender: str, vm: str, message: object) -> None:
        node = self.nodes.get(vm)
        if node is None or self.cut & {sender, vm}:
            return
        if vm in self.frozen:
            self._mail.append((sender, vm, message))
            return
        node.receive(sender, message, self.now)  # type: ignore[arg-type]

    def _perform(self, vm: str, effect: object) -> None:
        match effect:
            case SendPeer():
                self._mail.append((vm, effect.vm, effect.message))
            case PersistLog():
                if vm not in self.stalled:
                    self.disks[vm].write(effect)
                self._synced.append((vm, effect.batch))
            case CommandDone():
                self.answers[effect.call] = effect.outcome
            case ReadDone():
                self.reads[effect.call] = effect.published
            case SendOrder():
                self._take_order(vm, effect.order)
            case RequestReport():
                self._report(vm, effect.target)

    def _take_order(self, vm: str, order: Order) -> None:
        self.orders.append(SentOrder(self.now, vm, order))
        result = OrderResult.BUSY
        if order.precondition == self._sequences[order.target]:
            self._sequences[order.target] += 1
            result = OrderResult.ACCEPTED
        self._answers.append((vm, OrderOutcome(order, result)))

    def _answer_orders(self) -> None:
        answers, self._answers = self._answers, []
        for vm, outcome in answers:
            if vm in self.frozen:
                self._answers.append((vm, outcome))
            elif vm in self.nodes:
                self.nodes[vm].on_order_answered(outcome, self.now)

    def _report(self, vm: str, target: str) -> None:
        report = TargetReport(
            target,
            self._sequences[target],
            busy=False,
            models=('m',),
            adapters=(),
            loading=(),
            running=0,
            waiting=0,
        )
        self.nodes[vm].on_report(report, self.now)


class _Disk:
    """What a VM's disk holds, as the log store keeps it."""

    def __init__(self, identity: str) -> None:
        self.stored = StoredLog(identity)

    def write(self, batch: PersistLog) -> None:
        stored = self.stored
        if batch.snapshot:
            last = batch.snapshot.last_index
            kept = tuple(one for one in stored.entries if one.log_index > last)
            stored = stored._replace(snapshot=batch.snapshot, entries=kept)
        if batch.truncate_from is not None:
            first = batch.truncate_from
            kept = tuple(one for one in stored.entries if one.log_index < first)
            stored = stored._replace(entries=kept)
        stored = stored._replace(entries=(*stored.entries, *batch.entries))
        if batch.hard_state:
            stored = stored._replace(hard_state=batch.hard_state)
        self.stored = stored

    def to_stored(self) -> StoredLog:
        return self.stored
