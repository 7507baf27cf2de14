"""A leader, relays and entry VMs under load in one process, in virtual time.

It measures the processor time that each role takes, with the encoding of all
messages between them but without their sockets.
"""

import random
from functools import partial

from lovagemast_core import PersistLog, PutConfig, StoredLog
from lovagemast_core.adapters import (
    Order,
)
from lovagemast_core.control import (
    ControlConfig,
    ControlNode,
    PushUpdates,
    RequestReport,
    SendOrder,
)
from lovagemast_core.syncrelay import ENTRY_SYNC, RELAY_SYNC, SyncRelay
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._syncservice import SyncReplyEncoder
from lovagemast_wire import from_wire, lovagemast_pb2, to_wire

from .syncparts import (
    HEARTBEAT_S,
    LATENCY_S,
    LEADER,
    ORDER_S,
    PUSH_INTERVAL_S,
    QUOTA,
    RELAY_PUSH_DELAY_S,
    REPORT_S,
    Client,
    Engine,
    Entry,
    LoadShape,
    RoleCosts,
)
from .syncrequests import RequestLoad


class SyncLoad(RequestLoad):
    """The fleet and its clock."""

    def __init__(self, shape: LoadShape, seed: int = 1) -> None:
        super().__init__(shape, seed)
        self._log = JsonLog('bench')
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
        self._encoder = SyncReplyEncoder(self._log)
        self._relays: dict[str, SyncRelay] = {}
        self._relay_encoders: dict[str, SyncReplyEncoder] = {}
        self._relay_clients: dict[str, Client] = {}
        self._leader_asks: dict[str, SyncAsk] = {}
        self._pushed_at = 0.0
        self._is_push_due = False
        self._relay_push_due: set[str] = set()
        self._node_timer = 0.0
        for number in range(shape.relays):
            vm = f'r{number}'
            self._relays[vm] = SyncRelay(vm, f'z{number % 3}', number + 1)
            self._relay_encoders[vm] = SyncReplyEncoder(self._log)
            self._relay_clients[vm] = Client(vm, LEADER)
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

    def _report(self, engine: Engine) -> None:
        report = engine.report()
        self.meter.run('leader', lambda: self._node.on_report(report, self.now))
        self._run_effects()

    def _beat(self, engine: Engine) -> None:
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

    def _ask_leader(self, client: Client) -> None:
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

    def _ask_relay(self, entry: Entry) -> None:
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

    def _on_relay_reply(self, entry: Entry, data: bytes) -> None:
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
