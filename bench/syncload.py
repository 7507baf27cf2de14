"""A leader, relays and entry VMs under load in one process, in virtual time.

It measures the processor time that each role takes, with the encoding of all
messages between them but without their sockets.
"""

import heapq
import itertools
import random
import time
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple

from lovagemast_core import PersistLog, PutConfig, StoredLog
from lovagemast_core.adapters import (
    AdapterLabel,
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from lovagemast_core.control import (
    ControlConfig,
    ControlNode,
    PushUpdates,
    RequestReport,
    SendOrder,
)
from lovagemast_core.deployment import (
    AccountSpec,
    Deployment,
    DeploymentIndex,
    EngineSpec,
    ModelSpec,
    PoolSpec,
)
from lovagemast_core.entry import FleetView, TargetRequirements
from lovagemast_core.quota import LocalTokens, QuotaBounds
from lovagemast_core.syncrelay import ENTRY_SYNC, RELAY_SYNC, SyncRelay
from lovagemast_core.targets import SyncAsk, SyncReply, TargetHeartbeat
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._loadtracker import LoadTracker
from lovagemast_node.fleet._metrics import EntryMetrics
from lovagemast_node.fleet._syncservice import SyncReplyEncoder
from lovagemast_node.fleet._targetpaces import PaceTracker
from lovagemast_wire import from_wire, lovagemast_pb2, to_wire

LATENCY_S: Final = 0.001  # one way, between VMs
HEARTBEAT_S: Final = 1.35
ORDER_S: Final = 0.05  # until an engine has answered an order
REPORT_S: Final = 0.02
REQUEST_S: Final = 1.5  # mean duration of a request
RETRY_S: Final = 0.02  # between the looks of a waiting request at the view
GIVE_UP_S: Final = 5.0
PUSH_INTERVAL_S: Final = 0.02  # as at the leader
RELAY_PUSH_DELAY_S: Final = 0.004  # as at a relay
ADAPTERS: Final = 10_000
ACCOUNTS: Final = 16
TOKENS: Final = 200.0  # of a request
QUOTA: Final = QuotaBounds(0.1, 8.0, 17_000.0)
LEADER: Final = 'c0'
POOL: Final = 'pool'
ENGINE_SLOTS: Final = 12
ADAPTER_SLOTS: Final = 9
CLOCK_READINGS: Final = 2_000  # to measure what one takes
SKEW: Final = 1.4  # exponent of the adapters' popularity


class LoadShape(NamedTuple):
    """The size of the fleet and of its load."""

    entries: int = 77
    relays: int = 6
    engines: int = 70
    requests_per_s: float = 320.0
    seconds: float = 10.0
    settle_s: float = 8.0  # under load, before the measurement starts


class RoleCosts(NamedTuple):
    """The processor time of each role, in ms per second of virtual time.

    ``relay_ms`` and ``entry_ms`` are of one relay and of one entry VM.
    """

    leader_ms: float
    relay_ms: float
    entry_ms: float
    relay_asks: float  # sync requests per second, of all relays
    entry_asks: float
    leader_kb: float  # sent to relays, per second
    relay_kb: float  # sent to entry VMs, per second and relay
    orders: float
    served: float  # requests/s


def make_index() -> DeploymentIndex:
    """Return a deployment with one pool of engines and several accounts."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(
        ENGINE_SLOTS, 100_000, 200.0, ADAPTER_SLOTS, 4.0, 200.0, (model,)
    )
    pool = PoolSpec(POOL, '/health', 10, 0.0, 0.0, engine)
    accounts = tuple(
        AccountSpec(f'a{number}', (f'k{number}',), None, 2e4, 2e4, True, 100.0)
        for number in range(ACCOUNTS)
    )
    return DeploymentIndex(Deployment(1, pools=(pool,), accounts=accounts))


class _Meter:
    """Sums the processor time of roles.

    What a reading of the clock takes is left out: on some machines, it takes
    longer than much of what is measured.
    """

    def __init__(self) -> None:
        self.spent: defaultdict[str, float] = defaultdict(float)
        self.counts: Counter[str] = Counter()
        self._overhead_s = 0.0
        for _ in range(CLOCK_READINGS):
            self.run('clock', int)
        self._overhead_s = self.spent.pop('clock') / CLOCK_READINGS

    def run(self, role: str, work: Callable[[], Any]) -> Any:
        """Return what some work returns, and add its time to a role."""
        started = time.process_time()
        outcome = work()
        spent_s = time.process_time() - started
        self.spent[role] += spent_s - self._overhead_s
        return outcome


class _Engine:
    """A stand-in engine: executes orders at once."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.adapters: dict[str, int] = {}
        self.sequence = 0
        self.beats = 0

    def heartbeat(self) -> TargetHeartbeat:
        self.beats += 1
        beat = TargetHeartbeat(
            self.name,
            POOL,
            f'{self.name}:80',
            f'z{self.number % 3}',
            ENGINE_SLOTS,
            leaving=False,
            cold_s=0.0,
            incarnation=1,
            sequence=self.beats,
        )
        labels = tuple(f'm/{name}@1' for name in self.adapters)
        return beat._replace(models=('m',), adapters=labels)

    def execute(self, order: Order) -> OrderOutcome:
        if order.precondition != self.sequence:
            return OrderOutcome(order, OrderResult.BUSY)
        if order.load and len(self.adapters) >= ADAPTER_SLOTS:
            return OrderOutcome(order, OrderResult.REFUSED)
        self.sequence += 1
        if order.load:
            self.adapters[order.adapter] = 1
        else:
            self.adapters.pop(order.adapter, None)
        return OrderOutcome(order, OrderResult.ACCEPTED)

    def report(self) -> TargetReport:
        labels = tuple(AdapterLabel('m', name, 1) for name in self.adapters)
        return TargetReport(
            self.name, self.sequence, False, ('m',), labels, (), 0, 0
        )


class _Client:
    """The client of a sync stream, with the timing of ``SyncClient``."""

    def __init__(self, name: str, server: str) -> None:
        self.name = name
        self.server = server
        self.number = 0
        self.sent: dict[int, float] = {}
        self.sent_at = 0.0
        self.answered = True
        self.woken = False
        self.due_event = 0  # number of the newest scheduled look
        self.seen = 0


class _Entry:
    """An entry VM, as far as its sync and its choice of targets go."""

    def __init__(self, client: _Client, zone: str) -> None:
        self.client = client
        self.zone = zone
        self.view = FleetView()
        self.tokens = LocalTokens(QUOTA)
        paces = PaceTracker(JsonLog('bench'), EntryMetrics())
        self.load = LoadTracker(paces)


class _Request(NamedTuple):
    entry: _Entry
    wanted: TargetRequirements
    account: AccountSpec
    arrived_at: float  # s
    is_waiting: bool  # for tokens, then for a target


class SyncLoad:
    """The fleet and its clock."""

    def __init__(self, shape: LoadShape, seed: int = 1) -> None:
        self.shape = shape
        self.now = 1_000.0
        self.meter = _Meter()
        self._rng = random.Random(seed)
        self._index = make_index()
        self._log = JsonLog('bench')
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        weights = [(rank + 1) ** -SKEW for rank in range(ADAPTERS)]
        self._weights = list(itertools.accumulate(weights))
        self._node = ControlNode(
            ControlConfig(
                LEADER,
                StoredLog(f'{LEADER}#1'),
                (LEADER,),
                True,
                1,
                3.0,
                QUOTA,
                self.now,
            ),
            lambda _document: self._index,
            random.Random(seed),
        )
        self._engines = {
            f'e{number}': _Engine(f'e{number}', number)
            for number in range(shape.engines)
        }
        self._encoder = SyncReplyEncoder(self._log)
        self._relays: dict[str, SyncRelay] = {}
        self._relay_encoders: dict[str, SyncReplyEncoder] = {}
        self._relay_clients: dict[str, _Client] = {}
        self._leader_asks: dict[str, SyncAsk] = {}
        self._pushed_at = 0.0
        self._is_push_due = False
        self._relay_push_due: set[str] = set()
        self._node_timer = 0.0
        for number in range(shape.relays):
            vm = f'r{number}'
            self._relays[vm] = SyncRelay(vm, f'z{number % 3}', number + 1)
            self._relay_encoders[vm] = SyncReplyEncoder(self._log)
            self._relay_clients[vm] = _Client(vm, LEADER)
        self._entries = [
            _Entry(
                _Client(f'v{number}', f'r{number % shape.relays}'),
                f'z{number % 3}',
            )
            for number in range(shape.entries)
        ]
        self._sessions = {
            one.client.name: number + 1
            for number, one in enumerate(self._entries)
        }

    def run(self) -> RoleCosts:
        """Run the load and return its costs per second."""
        shape = self.shape
        self._tick_node()
        self._run_until(self.now + 3.0)
        self._node.propose(1, PutConfig(1, 'doc'), self.now)
        self._run_effects()
        self._run_until(self.now + 1.0)
        self._start_clients()
        if shape.requests_per_s:
            self._arrive()
        self._run_until(self.now + shape.settle_s)
        self.meter.spent.clear()
        self.meter.counts.clear()
        self._run_until(self.now + shape.seconds)
        return self._costs()

    def _start_clients(self) -> None:
        for engine in self._engines.values():
            self._at(self._rng.random() * HEARTBEAT_S, self._beat, engine)
        for client in self._relay_clients.values():
            self._at(self._rng.random() * 0.1, self._ask_leader, client)
        for entry in self._entries:
            self._at(self._rng.random() * 0.2, self._ask_relay, entry)
        self._run_until(self.now + 3.0)

    def _costs(self) -> RoleCosts:
        shape = self.shape
        spent = self.meter.spent
        counts = self.meter.counts
        per_s = 1.0 / shape.seconds
        return RoleCosts(
            spent['leader'] * 1000 * per_s,
            spent['relay'] * 1000 * per_s / shape.relays,
            spent['entry'] * 1000 * per_s / shape.entries,
            counts['relay asks'] * per_s,
            counts['entry asks'] * per_s,
            counts['leader bytes'] * per_s / 1000,
            counts['relay bytes'] * per_s / 1000 / shape.relays,
            counts['orders'] * per_s,
            counts['served'] * per_s,
        )

    # The clock.

    def _at(
        self, delay_s: float, work: Callable[..., None], *args: Any
    ) -> None:
        item = (self.now + delay_s, next(self._numbers), lambda: work(*args))
        heapq.heappush(self._events, item)

    def _run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            at, _number, work = heapq.heappop(self._events)
            self.now = at
            work()
        self.now = end

    # The leader.

    def _tick_node(self) -> None:
        self.meter.run('leader', lambda: self._node.tick(self.now))
        self._run_effects()

    def _wake_node(self) -> None:
        deadline = self._node.next_deadline()
        if deadline is None:
            return
        if self._node_timer <= self.now or deadline < self._node_timer:
            self._node_timer = max(deadline, self.now + 0.001)
            self._at(self._node_timer - self.now, self._on_node_timer)

    def _on_node_timer(self) -> None:
        deadline = self._node.next_deadline()
        if deadline is not None and deadline <= self.now:
            self._tick_node()
        else:
            self._wake_node()

    def _run_effects(self) -> None:
        for effect in self._node.take_effects():
            self._run_effect(effect)
        self._wake_node()

    def _run_effect(self, effect: object) -> None:
        match effect:
            case PersistLog():
                self._at(0.001, self._synced, effect.batch)
            case SendOrder():
                self.meter.counts['orders'] += 1
                self._at(ORDER_S, self._execute, effect.order)
            case RequestReport():
                engine = self._engines[effect.target]
                self._at(REPORT_S, self._report, engine)
            case PushUpdates():
                self._schedule_push()

    def _synced(self, batch: int) -> None:
        self.meter.run(
            'leader', lambda: self._node.on_log_synced(batch, self.now)
        )
        self._run_effects()

    def _execute(self, order: Order) -> None:
        outcome = self._engines[order.target].execute(order)
        self.meter.run(
            'leader', lambda: self._node.on_order_answered(outcome, self.now)
        )
        self._run_effects()

    def _report(self, engine: _Engine) -> None:
        report = engine.report()
        self.meter.run('leader', lambda: self._node.on_report(report, self.now))
        self._run_effects()

    def _beat(self, engine: _Engine) -> None:
        beat = engine.heartbeat()
        self.meter.run(
            'leader', lambda: self._node.on_heartbeat(beat, self.now)
        )
        self._run_effects()
        self._at(HEARTBEAT_S, self._beat, engine)

    def _schedule_push(self) -> None:
        if not self._is_push_due:
            self._is_push_due = True
            wait_s = self._pushed_at + PUSH_INTERVAL_S - self.now
            self._at(max(0.0, wait_s), self._push_all)

    def _push_all(self) -> None:
        self._is_push_due = False
        self._pushed_at = self.now
        for vm in self._leader_asks:
            data = self.meter.run('leader', partial(self._leader_push, vm))
            if data:
                self._to_relay(vm, data)

    def _leader_push(self, vm: str) -> bytes:
        ask = self._leader_asks[vm]
        if not self._node.fleet.has_updates_for(ask):
            return b''
        age_s = self._node.quorum_age(self.now)
        reply = self._node.fleet.updates_for(ask, age_s, self.now)
        return self._encode_leader(vm, reply._replace(is_push=True))

    def _encode_leader(self, vm: str, reply: SyncReply) -> bytes:
        self._leader_asks[vm] = _held(self._leader_asks[vm], reply)
        return self._encoder.encode(reply)

    def _on_leader_ask(self, vm: str, data: bytes) -> None:
        def answer() -> bytes:
            message = lovagemast_pb2.SyncAsk.FromString(data)
            ask = from_wire(SyncAsk, message)
            self._leader_asks[vm] = ask
            return self._encode_leader(vm, self._node.on_ask(ask, self.now))

        answered = self.meter.run('leader', answer)
        self._run_effects()
        self._to_relay(vm, answered)

    def _to_relay(self, vm: str, data: bytes) -> None:
        self.meter.counts['leader bytes'] += len(data)
        self.meter.counts['leader replies'] += 1
        self._at(LATENCY_S, self._on_leader_reply, vm, data)

    # A relay.

    def _ask_leader(self, client: _Client) -> None:
        relay = self._relays[client.name]

        def build() -> bytes:
            ask = relay.build_ask(client.number, self.now)
            data: bytes = to_wire(ask).SerializeToString()
            return data

        self._start_ask(client)
        data = self.meter.run('relay', build)
        self.meter.counts['relay asks'] += 1
        self._at(LATENCY_S, self._on_leader_ask, client.name, data)

    def _on_leader_reply(self, vm: str, data: bytes) -> None:
        relay = self._relays[vm]
        client = self._relay_clients[vm]

        def apply() -> SyncReply:
            message = lovagemast_pb2.SyncReply.FromString(data)
            reply: SyncReply = from_wire(SyncReply, message)
            sent_at = client.sent.get(reply.ask)
            if sent_at is not None and reply.serves:
                relay.on_reply(reply, sent_at, self.now)
                self._node.on_records(reply.targets)
            return reply

        reply = self.meter.run('relay', apply)
        self._on_answered(client, reply, RELAY_SYNC, self._ask_leader, client)
        self._schedule_relay_push(vm, 0.0)

    def _schedule_relay_push(self, vm: str, delay_s: float) -> None:
        if vm not in self._relay_push_due:
            self._relay_push_due.add(vm)
            self._at(delay_s, self._push_entries, vm)

    def _push_entries(self, vm: str) -> None:
        self._relay_push_due.discard(vm)
        relay = self._relays[vm]
        due = self.meter.run('relay', lambda: relay.pushes_due(self.now))
        for name in due:
            self._push_entry(vm, name)
        next_at = self.meter.run('relay', relay.next_push_at)
        if next_at is not None:
            delay_s = max(RELAY_PUSH_DELAY_S, next_at - self.now)
            self._schedule_relay_push(vm, delay_s)

    def _push_entry(self, vm: str, name: str) -> None:
        encoder = self._relay_encoders[vm]

        def push() -> bytes | None:
            reply = self._relays[vm].make_push(name, self.now)
            return encoder.encode(reply) if reply else None

        data = self.meter.run('relay', push)
        if data:
            self.meter.counts['relay pushes'] += 1
            self._to_entry(vm, name, data)

    def _on_relay_ask(self, vm: str, name: str, data: bytes) -> None:
        relay = self._relays[vm]

        def answer() -> tuple[bytes, bool]:
            message = lovagemast_pb2.SyncAsk.FromString(data)
            ask = from_wire(SyncAsk, message)
            reply = relay.on_ask(self._sessions[name], ask, self.now)
            encoded = self._relay_encoders[vm].encode(reply)
            return encoded, relay.needs_leader(ask)

        answered, needs_leader = self.meter.run('relay', answer)
        if needs_leader:
            client = self._relay_clients[vm]
            self._wake(client, RELAY_SYNC, self._ask_leader, client)
        self._to_entry(vm, name, answered)

    def _to_entry(self, vm: str, name: str, data: bytes) -> None:
        self.meter.counts['relay bytes'] += len(data)
        entry = self._entries[self._sessions[name] - 1]
        self._at(LATENCY_S, self._on_relay_reply, entry, data)

    # An entry VM.

    def _ask_relay(self, entry: _Entry) -> None:
        client = entry.client

        def build() -> bytes:
            view = entry.view
            accounts = self._index.accounts
            ask = SyncAsk(
                client.number,
                client.name,
                entry.zone,
                view.published.version,
                view.stamp_to_ask(self.now),
                view.epoch,
                entry.tokens.wishes(accounts, view.entries, self.now),
                entry.load.take_wishes(),
                entry.load.take_uses(),
                missing=entry.load.take_missing(),
                seen=client.seen,
                host=client.name,
            )
            data: bytes = to_wire(ask).SerializeToString()
            return data

        self._start_ask(client)
        data = self.meter.run('entry', build)
        self.meter.counts['entry asks'] += 1
        self._at(
            LATENCY_S, self._on_relay_ask, client.server, client.name, data
        )

    def _on_relay_reply(self, entry: _Entry, data: bytes) -> None:
        client = entry.client

        def apply() -> SyncReply:
            message = lovagemast_pb2.SyncReply.FromString(data)
            reply: SyncReply = from_wire(SyncReply, message)
            client.seen = reply.number
            sent_at = client.sent.get(reply.ask)
            if sent_at is not None and reply.serves:
                entry.view.apply(reply, sent_at, self.now)
                entry.load.fleet_reported(reply.loads)
                for lot in reply.lots:
                    entry.tokens.add(lot, self.now)
            return reply

        reply = self.meter.run('entry', apply)
        self._on_answered(client, reply, ENTRY_SYNC, self._ask_relay, entry)

    # Requests; their cost is not measured here.

    def _arrive(self) -> None:
        entry = self._rng.choice(self._entries)
        point = self._rng.random() * self._weights[-1]
        adapter = f'ad{bisect_left(self._weights, point)}'
        account = self._index.accounts[f'a{self._rng.randrange(ACCOUNTS)}']
        wanted = TargetRequirements(POOL, 'm', adapter, None)
        entry.tokens.record_demand(account, TOKENS, self.now)
        entry.load.adapter_requested(wanted)
        self._await_tokens(_Request(entry, wanted, account, self.now, False))
        self._at(self._rng.expovariate(self.shape.requests_per_s), self._arrive)

    def _await_tokens(self, req: _Request) -> None:
        """Start a request once its account has tokens."""
        tokens = req.entry.tokens
        if tokens.spend(req.account, TOKENS, self.now):
            if req.is_waiting:
                tokens.add_waiting(req.account, -TOKENS, self.now)
            self._await_adapter(req._replace(is_waiting=False))
            return
        if not req.is_waiting:
            tokens.add_waiting(req.account, TOKENS, self.now)
        if self._may_wait(req):
            later = req._replace(is_waiting=True)
            self._at(RETRY_S, self._await_tokens, later)
        else:
            tokens.add_waiting(req.account, -TOKENS, self.now)

    def _await_adapter(self, req: _Request) -> None:
        """Send a request once a target holds its adapter."""
        load = req.entry.load
        target = self._find(req.entry, req.wanted)
        if target:
            if req.is_waiting:
                load.adapter_awaited(req.wanted, -1)
            label = AdapterLabel('m', req.wanted.adapter, 1)
            load.request_started(target, label)
            self.meter.counts['served'] += 1
            took_s = self._rng.expovariate(1 / REQUEST_S)
            self._at(took_s, load.request_ended, target, label)
            return
        if not req.is_waiting:
            load.adapter_awaited(req.wanted, 1)
        if self._may_wait(req):
            later = req._replace(is_waiting=True)
            self._at(RETRY_S, self._await_adapter, later)
        else:
            load.adapter_awaited(req.wanted, -1)

    def _may_wait(self, req: _Request) -> bool:
        """Return whether a request waits on; it asks at once at first."""
        if not req.is_waiting:
            entry = req.entry
            self._wake(entry.client, ENTRY_SYNC, self._ask_relay, entry)
        return self.now - req.arrived_at <= GIVE_UP_S

    def _find(self, entry: _Entry, wanted: TargetRequirements) -> str:
        ready = [
            known.record.target
            for known in entry.view.find_targets(POOL, 'm', wanted.adapter)
        ]
        ready = [
            name
            for name in ready
            if wanted.adapter in self._engines[name].adapters
        ]
        return min(ready, key=entry.load.running_at, default='')

    # Timing of sync requests, as in ``SyncClient``.

    def _start_ask(self, client: _Client) -> None:
        client.number += 1
        client.sent[client.number] = self.now
        client.sent_at = self.now
        client.answered = False
        client.woken = False
        client.due_event += 1

    def _on_answered(
        self,
        client: _Client,
        reply: SyncReply,
        timing: Any,
        ask: Callable[..., None],
        *args: Any,
    ) -> None:
        client.sent = {
            number: at
            for number, at in client.sent.items()
            if number >= reply.ask
        }
        if reply.is_push or client.answered:
            return
        client.answered = True
        delay_s = timing.min_interval_s
        if not client.woken:
            delay_s += timing.interval_s
        self._schedule_ask(client, client.sent_at + delay_s, ask, args)

    def _wake(
        self,
        client: _Client,
        timing: Any,
        ask: Callable[..., None],
        *args: Any,
    ) -> None:
        client.woken = True
        if client.answered:
            due_at = client.sent_at + timing.min_interval_s
            self._schedule_ask(client, due_at, ask, args)

    def _schedule_ask(
        self,
        client: _Client,
        due_at: float,
        ask: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        client.due_event += 1
        due = client.due_event

        def fire() -> None:
            if client.due_event == due:
                ask(*args)

        self._at(max(0.0, due_at - self.now), fire)


def _held(ask: SyncAsk, reply: SyncReply) -> SyncAsk:
    """Return a request brought up to date by a reply, as a session does."""
    version = ask.version
    if reply.published:
        version = reply.published.version
    return ask._replace(
        stamp=reply.stamp,
        epoch=reply.epoch,
        version=version,
        limit_stamp=reply.limit_stamp,
        tolerance_stamp=reply.tolerance_stamp,
    )
