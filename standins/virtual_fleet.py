"""A discrete-event simulation of nodes on an in-memory network."""

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Final

from lovagemast_core import (
    DEFAULT_POLICY,
    CallerRequest,
    CancelCall,
    ConfigChangeRequested,
    Effect,
    EndResponse,
    Event,
    LogSynced,
    Node,
    NodeConfig,
    OpenCall,
    OrderAnswered,
    OrderTarget,
    Outcome,
    PeerReceived,
    PersistLog,
    Policy,
    ProbeFailure,
    ProbeTarget,
    Record,
    Refusal,
    ReplyToOperator,
    RequestArrived,
    RosterEntry,
    SendPeer,
    SendRefusal,
    SendResponseChunk,
    SendStoredResponse,
    StartResponse,
    TargetAnnounced,
    TargetFacts,
    TargetProbed,
    Tick,
    TimelineEvent,
)

from .virtual_host import Answer, Disk, Faults, Host
from .virtual_target import TargetHooks, VirtualStore, VirtualTarget, Work

INTRA_ZONE_DELAY_S: Final = 0.0005
CROSS_ZONE_DELAY_S: Final = 0.0015
DISK_SYNC_S: Final = 0.002
PROBE_TIMEOUT_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 5.0
ANNOUNCE_INTERVAL_S: Final = 2.0


class VirtualFleet:
    """Simulates nodes, targets and callers on one virtual clock."""

    def __init__(
        self,
        entries: Iterable[RosterEntry],
        seed: int,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self.policy = policy
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hosts = {entry.vm: Host(entry) for entry in entries}
        self.targets: dict[str, VirtualTarget] = {}
        self.store = VirtualStore()
        self.answers: dict[str, Answer] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.timeline: list[TimelineEvent] = []
        self.keep_timeline = True
        self.faults = Faults()
        self.blocked_links: set[tuple[str, str]] = set()  # sender, receiver
        self.on_event: Callable[[TimelineEvent], None] | None = None
        self.handled_events = 0
        self._work_by_request: dict[str, Work] = {}
        self._call_works: dict[str, Work] = {}
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._last_seq = 0
        self._requests = 0

    # Setup

    def start(self, vm: str, *, lost_disk: bool = False) -> None:
        """Start a VM, or restart it after a crash."""
        host = self.hosts[vm]
        host.boot_count += 1
        if host.entry.control and (host.disk is None or lost_disk):
            host.disk = Disk(f'{vm}#{host.boot_count}')
        cfg = NodeConfig(
            host.entry,
            f'{host.boot_count:06d}',
            tuple(one.entry for one in self.hosts.values()),
            host.clock(self.now),
            host.disk.stored if host.disk else None,
            self.policy,
        )
        host.tick_at = float('inf')
        seed = self.rng.getrandbits(32)
        host.node = Node.from_config(cfg, random.Random(seed))
        self._feed(vm, Tick())

    def start_all(self) -> None:
        """Start all VMs."""
        for vm in self.hosts:
            self.start(vm)

    def crash(self, vm: str) -> None:
        """Crash a VM; unsynced writes and open calls are lost."""
        host = self.hosts[vm]
        host.node = None
        host.backlog = None
        host.tick_at = float('inf')
        for target in self.targets.values():
            target.disconnect_vm(vm, self.now)

    def add_target(
        self,
        facts: TargetFacts,
        *,
        fencing: bool = True,
    ) -> VirtualTarget:
        """Add a target, which announces itself periodically."""
        hooks = TargetHooks(
            lambda wait, callback: self.call_at(self.now + wait, callback),
            lambda vm, event: self._deliver_from_target(
                facts.target, vm, event
            ),
        )
        target = VirtualTarget(facts, self.store, hooks, fencing=fencing)
        self.targets[facts.target] = target
        self._announce_loop(facts.target)
        return target

    def announce(self, target: VirtualTarget) -> None:
        """Announce a target at a reachable VM, preferably in its zone."""
        target.facts = target.facts._replace(seq=target.facts.seq + 1)
        name = target.facts.target
        reachable = [
            vm
            for vm, host in self.hosts.items()
            if host.node and (name, vm) not in self.blocked_links
        ]
        local = [
            vm
            for vm in reachable
            if self.hosts[vm].entry.zone == target.facts.zone
        ]
        if local or reachable:
            vm = self.rng.choice(local or reachable)
            self._feed(vm, TargetAnnounced(target.facts))

    # Time

    def call_at(self, when: float, callback: Callable[[float], None]) -> None:
        """Schedule a callback at a virtual time."""
        self._last_seq += 1
        heapq.heappush(self._queue, (when, self._last_seq, callback))

    def run_until(self, when: float) -> None:
        """Run all callbacks that are due up to a virtual time."""
        while self._queue and self._queue[0][0] <= when:
            at, _, callback = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            callback(self.now)
        self.now = when

    def run_for(self, seconds: float) -> None:
        """Advance the virtual clock by some seconds."""
        self.run_until(self.now + seconds)

    # Callers and operators

    def next_request(self) -> str:
        """Return the id of the next request."""
        return f'r{self._requests + 1}'

    def is_fully_replicated(self) -> bool:
        """Return whether every control VM is a voter with the complete log."""
        replicas = [
            host.node.replica_status()
            for host in self.hosts.values()
            if host.entry.control and host.node
        ]
        leaders = [one for one in replicas if one and one.leads]
        control = [host for host in self.hosts.values() if host.entry.control]
        if len(leaders) != 1 or len(replicas) < len(control):
            return False
        identities = {
            host.disk.stored.identity for host in control if host.disk
        }
        newest = leaders[0].commit_index
        return identities == set(leaders[0].voters) and all(
            one is not None and one.synced_index >= newest for one in replicas
        )

    def request(self, vm: str, req: CallerRequest, work: Work) -> str:
        """Send a request to a VM and return its id."""
        self._requests += 1
        name = f'r{self._requests}'
        self.answers[name] = Answer(self.now)
        self._work_by_request[name] = work
        self._feed(vm, RequestArrived(req._replace(request=name)))
        return name

    def apply(self, vm: str, op_id: str, expected: int, document: str) -> str:
        """Apply a configuration at a VM and return the operation's id."""
        self._requests += 1
        operation = f'o{self._requests}'
        event = ConfigChangeRequested(operation, op_id, expected, document)
        self._feed(vm, event)
        return operation

    def feed(self, vm: str, event: Event) -> None:
        """Pass an event to a VM."""
        self._feed(vm, event)

    # Faults

    def freeze(self, vm: str) -> None:
        """Suspend a VM's process; events that arrive are queued."""
        self.hosts[vm].backlog = []

    def thaw(self, vm: str) -> None:
        """Resume a suspended VM, which then handles its queued events."""
        host = self.hosts[vm]
        backlog = host.backlog or []
        host.backlog = None
        for event in backlog:
            self._feed(vm, event)
        self._feed(vm, Tick())

    def partition(self, group: Iterable[str], others: Iterable[str]) -> None:
        """Drop all messages between two groups, in both directions."""
        for one in group:
            for other in others:
                self.blocked_links.add((one, other))
                self.blocked_links.add((other, one))

    def heal(self) -> None:
        """End all network partitions."""
        self.blocked_links.clear()

    # Nodes

    def _feed(self, vm: str, event: Event) -> None:
        host = self.hosts[vm]
        if host.node is None:
            return
        if host.backlog is not None:
            host.backlog.append(event)
            return
        self.handled_events += 1
        effects = host.node.handle(event, host.clock(self.now))
        for effect in effects:
            self._perform(host, effect)
        self._schedule_tick(host)

    def _schedule_tick(self, host: Host) -> None:
        deadline = host.node.next_deadline() if host.node else None
        if deadline is None:
            return
        due = max(self.now, host.virtual_time(deadline) + 1e-9)
        if due >= host.tick_at:
            return
        host.tick_at = due
        node = host.node

        def tick(now: float) -> None:
            if host.node is node and host.tick_at == due:
                host.tick_at = float('inf')
                self._feed(host.entry.vm, Tick())

        self.call_at(due, tick)

    def _perform(self, host: Host, effect: Effect) -> None:
        vm = host.entry.vm
        match effect:
            case SendPeer(receiver, message):
                self._send(vm, receiver, PeerReceived(vm, message))
            case PersistLog():
                self._sync_log(host, effect)
            case OpenCall():
                self._open_call(vm, effect)
            case CancelCall(attempt):
                self._cancel_call(vm, attempt)
            case OrderTarget():
                self._send_order(vm, effect)
            case ProbeTarget():
                self._send_probe(vm, effect)
            case Record(event):
                self._record_event(event)
            case ReplyToOperator(operation, outcome):
                self.outcomes[operation] = outcome
            case _:
                self._handle_response(effect)

    def _handle_response(self, effect: Effect) -> None:
        match effect:
            case StartResponse(request, status, _):
                self.answers[request].status = status
            case SendResponseChunk(request, chunk):
                answer = self.answers[request]
                answer.chunks.append(chunk)
                if answer.first_at is None:
                    answer.first_at = self.now
            case EndResponse(request, failure):
                self._end_response(request, failure)
            case SendRefusal(request, refusal):
                self._end_response(request, refusal)
            case SendStoredResponse(request, status, _, body):
                self.answers[request].status = status
                self.answers[request].chunks.append(body)
                self._end_response(request, None)

    def _end_response(self, request: str, failure: Refusal | None) -> None:
        answer = self.answers[request]
        answer.end_count += 1
        answer.ended_at = self.now
        answer.refusal = failure
        answer.complete = failure is None

    def _record_event(self, event: TimelineEvent) -> None:
        if self.keep_timeline:
            self.timeline.append(event)
        if self.on_event:
            self.on_event(event)

    # Network

    def _delay(self, one: str, other: str) -> float:
        zones = {self._zone(one), self._zone(other)}
        return INTRA_ZONE_DELAY_S if len(zones) == 1 else CROSS_ZONE_DELAY_S

    def _zone(self, name: str) -> str:
        host = self.hosts.get(name)
        return host.entry.zone if host else self.targets[name].facts.zone

    def _send(self, sender: str, receiver: str, event: Event) -> None:
        if (
            receiver not in self.hosts
            or (sender, receiver) in self.blocked_links
        ):
            return
        copies = 1
        if self.faults.drop and self.rng.random() < self.faults.drop:
            return
        if self.faults.duplicate:
            copies += self.rng.random() < self.faults.duplicate
        for _ in range(copies):
            extra = self.rng.random() * self.faults.delay_s
            self.call_at(
                self.now + self._delay(sender, receiver) + extra,
                lambda now: self._feed(receiver, event),
            )

    def _deliver_from_target(self, target: str, vm: str, event: Event) -> None:
        if (target, vm) in self.blocked_links:
            return
        boots = self.hosts[vm].boot_count

        def arrive(now: float) -> None:
            if self.hosts[vm].boot_count == boots:
                self._feed(vm, event)

        self.call_at(self.now + self._delay(target, vm), arrive)

    def _sync_log(self, host: Host, effect: PersistLog) -> None:
        node = host.node

        def synced(now: float) -> None:
            if host.node is node and host.disk:
                host.disk.write(effect)
                self._feed(host.entry.vm, LogSynced(effect.batch))

        self.call_at(self.now + DISK_SYNC_S, synced)

    # Targets

    def _open_call(self, vm: str, effect: OpenCall) -> None:
        target = self.targets.get(effect.target)
        if target is None or (vm, effect.target) in self.blocked_links:
            return
        work = self._work_by_request[effect.request]
        self.call_at(
            self.now + self._delay(vm, effect.target),
            lambda now: target.open_call(
                vm,
                effect.attempt,
                effect.request,
                effect.label,
                work,
                now,
            ),
        )

    def _cancel_call(self, vm: str, attempt: str) -> None:
        for name, target in self.targets.items():
            if attempt in target.calls and (vm, name) not in self.blocked_links:
                target.cancel_call(attempt, self.now)

    def _send_order(self, vm: str, effect: OrderTarget) -> None:
        answered: list[bool] = []

        def answer(accepted: bool, detail: str) -> None:
            if not answered:
                answered.append(True)
                event = OrderAnswered(effect.order, accepted, detail)
                self._deliver_from_target(effect.target, vm, event)

        def time_out(now: float) -> None:
            if not answered:
                answered.append(True)
                event = OrderAnswered(effect.order, False, 'time-out', False)
                self._feed(vm, event)

        self.call_at(self.now + ORDER_TIMEOUT_S, time_out)
        if (vm, effect.target) not in self.blocked_links:
            self.call_at(
                self.now + self._delay(vm, effect.target),
                lambda now: self.targets[effect.target].order(
                    effect,
                    answer,
                    now,
                ),
            )

    def _send_probe(self, vm: str, effect: ProbeTarget) -> None:
        target = self.targets[effect.target]
        probed = None
        if (vm, effect.target) not in self.blocked_links:
            probed = target.probe(effect.sent_at)
        if probed:
            self._deliver_from_target(effect.target, vm, probed)
            return
        silent = TargetProbed(effect.target, ProbeFailure.SILENT)
        self.call_at(
            self.now + PROBE_TIMEOUT_S,
            lambda now: self._feed(vm, silent),
        )

    def _announce_loop(self, name: str) -> None:
        target = self.targets.get(name)
        if target is None:
            return
        if target.up and not target.silent:
            self.announce(target)
        self.call_at(
            self.now + ANNOUNCE_INTERVAL_S,
            lambda now: self._announce_loop(name),
        )


__all__ = ['Answer', 'Faults', 'Host', 'VirtualFleet', 'Work']
