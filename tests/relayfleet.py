"""A leader, relays and entry VMs in one process, in virtual time."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from lovagemast_core import PublishedState
from lovagemast_core.control._fleet import FleetController
from lovagemast_core.deployment import (
    AccountSpec,
    Deployment,
    DeploymentIndex,
    EngineSpec,
    ModelSpec,
    PoolSpec,
)
from lovagemast_core.entry import (
    FleetView,
    PeerDirectory,
    RejectionGuard,
    SendLimiter,
)
from lovagemast_core.quota import LocalTokens, QuotaBounds
from lovagemast_core.syncrelay import (
    ENTRY_SYNC,
    RELAY_SYNC,
    RelaySearch,
    SyncRelay,
)
from lovagemast_core.targetlimits import LimitNews
from lovagemast_core.targets import (
    AdapterWish,
    SyncAsk,
    SyncReply,
    TargetHeartbeat,
)

STEP_S = 0.005
ZONE_DELAY_S = 0.0014  # one way, between zones
QUOTA = QuotaBounds(0.1, 8.0, 17_000.0)
ACCOUNT = AccountSpec('acc', ('k',), None, 20_000.0, 20_000.0, True, 100.0)
Link = tuple[str, str]


def make_index(rate: float = ACCOUNT.rate) -> DeploymentIndex:
    """Return a deployment with one account and one pool of engines."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(8, 1_000, 200.0, 50, 4.0, 200.0, (model,))
    pool = PoolSpec('pool', '/health', 10, 0.0, 0.0, engine)
    account = ACCOUNT._replace(rate=rate)
    return DeploymentIndex(Deployment(1, pools=(pool,), accounts=(account,)))


def make_heartbeat(
    target: str, incarnation: int, number: int, *, leaving: bool = False
) -> TargetHeartbeat:
    """Return the heartbeat of an engine that holds an adapter."""
    address = f'{target}:80'
    heartbeat = TargetHeartbeat(
        target, 'pool', address, 'z0', 8, leaving, 0.0, incarnation, number
    )
    return heartbeat._replace(models=('m',), adapters=(f'm/{target}@1',))


class Entry:
    """An entry VM as far as its sync goes."""

    def __init__(self, vm: str, zone: str, seeds: tuple[str, ...]) -> None:
        self.vm = vm
        self.zone = zone
        self.view = FleetView()
        self.tokens = LocalTokens(QUOTA)
        self.sends = SendLimiter()
        self.rejections = RejectionGuard()
        self.search = RelaySearch(vm, zone, seeds)
        self.waiting = 0.0  # tokens
        self.spent = 0.0
        self.wishes: tuple[AdapterWish, ...] = ()
        self.seen = 0
        self.peers = PeerDirectory(vm, zone)
        self.is_cut_off = False  # from all targets

    def build_ask(self, number: int, now: float) -> SyncAsk:
        """Return the next sync request."""
        index = {ACCOUNT.name: ACCOUNT}
        return SyncAsk(
            number,
            self.vm,
            self.zone,
            self.view.published.version,
            self.view.stamp_to_ask(now),
            self.view.epoch,
            self.tokens.wishes(index, self.view.entries, now),
            self.wishes,
            seen=self.seen,
            limits=self.sends.exchange.reports(number, now),
            limit_stamp=self.sends.exchange.server_stamp,
            sends=self.sends.wishes(now),
            host=f'{self.vm}.ip',
            wants_peers=self.is_cut_off,
            tolerances=self.rejections.exchange.reports(number, now),
            tolerance_stamp=self.rejections.exchange.server_stamp,
            revision=self.view.documents.revision,
            reads_parts=True,
            document=self.view.documents.wish(),
        )

    def on_reply(self, reply: SyncReply, asked_at: float, now: float) -> None:
        """Apply a relay's reply."""
        self.seen = reply.number
        self.view.apply(reply, asked_at, now)
        self.peers.update(reply.peers, now)
        for lot in reply.lots:
            self.tokens.add(lot, now)
        news = LimitNews(reply.limits, reply.limit_stamp)
        self.sends.exchange.on_reply(reply, news, now)
        news = LimitNews(reply.tolerances, reply.tolerance_stamp)
        self.rejections.exchange.on_reply(reply, news, now)
        for lot in reply.send_lots:
            self.sends.add(lot, now)
        if self.waiting and self.tokens.spend(ACCOUNT, self.waiting, now):
            self.tokens.add_waiting(ACCOUNT, -self.waiting, now)
            self.spent += self.waiting
            self.waiting = 0.0

    def request(self, cost: float, now: float) -> None:
        """Spend tokens for a request, now or once they have come."""
        self.tokens.record_demand(ACCOUNT, cost, now)
        if self.tokens.spend(ACCOUNT, cost, now):
            self.spent += cost
        elif not self.waiting:
            self.waiting = cost
            self.tokens.add_waiting(ACCOUNT, cost, now)

    def held(self, now: float) -> float:
        """Return the tokens that may still be spent."""
        state = self.tokens._account(ACCOUNT.name, now)
        state.expire(now)
        return state.held()


class _Stream:
    """The state of one client's stream to its server."""

    def __init__(self, server: str, session: int, now: float) -> None:
        self.server = server
        self.session = session
        self.opened_at = now
        self.heard_at = now
        self.asked_at: dict[int, float] = {}
        self.answered = True
        self.is_stalled = False  # a message was lost, and all after it
        self.next_at = now


class RelayFleet:
    """Runs everything in steps; ``cut`` holds the links that lose messages.

    One relay stands in each zone. A link is a pair of names in sorted order;
    the leader's name is ``leader``.
    """

    def __init__(self, zones: int, entries: int, seed: int = 1) -> None:
        self.now = 1_000.0
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.issued = 0.0
        self.published: list[tuple[float, int]] = []
        self.cut: set[Link] = set()
        self.quorum_at = self.now  # s, when a quorum last confirmed the leader
        self.has_quorum = True
        self._sessions = itertools.count(1)
        self._numbers = itertools.count(1)
        self._beats = itertools.count(1)
        self._mail: list[tuple[float, int, Callable[[], None]]] = []
        self._streams: dict[str, _Stream] = {}
        names = [f'r{zone}' for zone in range(zones)]
        self.zones = {name: f'z{name[1:]}' for name in names}
        self.relays: dict[str, SyncRelay] = {}
        for name in names:
            self.start_relay(name)
        self.entries = {
            f'e{number}': Entry(
                f'e{number}', f'z{number % zones}', tuple(names[:3])
            )
            for number in range(entries)
        }
        self.targets: set[str] = set()
        self._departures: Counter[str] = Counter()
        self.index = make_index()
        self.state = PublishedState()
        self.term = 0
        self.elect()

    def start_relay(self, name: str) -> None:
        """Start a relay, or replace it by one that knows nothing."""
        epoch = self.rng.getrandbits(60) + 1
        self.relays[name] = SyncRelay(name, self.zones[name], epoch)
        for client, stream in list(self._streams.items()):
            if name in {client, stream.server}:
                self._streams.pop(client)

    def streams(self) -> list[_Stream]:
        """Return the open streams of all relays and entry VMs."""
        return list(self._streams.values())

    def close_streams(self, relay: str) -> None:
        """Close the streams of all entry VMs to a relay, as when it ends."""
        for client, stream in list(self._streams.items()):
            if stream.server == relay and client in self.entries:
                self._disconnect(client, failed=True)

    def elect(self) -> None:
        """Replace the leader by one that knows no targets yet."""
        self.term += 1
        self.leader = FleetController('leader', takeover_s=3.0, quota=QUOTA)
        self.leader.apply_published(self.state, self.index)
        self.leader.start_term(self.term, tuple(self.relays), self.now)
        self.quorum_at = self.now

    def publish(self) -> int:
        """Publish a new version of the state and return it."""
        version = self.state.version + 1
        self.state = self.state._replace(
            version=version,
            revision=version,
            document=self.make_document(version),
        )
        self.published.append((self.now, version))
        self.leader.apply_published(self.state, self.index)
        self._push_from_leader()
        return version

    def make_document(self, version: int) -> str:
        """Return the document of a version."""
        return f'{{"version": {version}}}'

    def send_heartbeats(self, *leaving: str) -> None:
        """Send the heartbeats of all targets to the leader."""
        for target in sorted(self.targets):
            beat = make_heartbeat(
                target,
                self._departures[target] + 1,
                next(self._beats),
                leaving=target in leaving,
            )
            self.leader.on_heartbeat(beat, self.now)
        self._push_from_leader()

    def deregister(self, target: str) -> None:
        """Deregister a target; it registers again as a new incarnation."""
        self.targets.discard(target)
        self._departures[target] += 1
        self.leader.on_departure(target, 1, self.now)
        self._push_from_leader()

    def run(self, seconds: float) -> None:
        """Run for some time."""
        for _step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if self.has_quorum:
                self.quorum_at = self.now
            while self._mail and self._mail[0][0] <= self.now:
                heapq.heappop(self._mail)[2]()
            for name in self.relays:
                self._run_client(name)
            for name in self.entries:
                self._run_client(name)
            for name, relay in self.relays.items():
                self._push_from_relay(name, relay)
            self._end_step()

    def run_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Run until a check holds; return how long it took, in seconds."""
        started_at = self.now
        while not check():
            if self.now - started_at > limit_s:
                raise AssertionError(f'not within {limit_s} s')
            self.run(STEP_S)
        return self.now - started_at

    def _end_step(self) -> None:
        """Run what a subclass adds to each step."""

    def _run_client(self, name: str) -> None:
        stream = self._streams.get(name)
        if stream is None:
            self._connect(name)
            return
        timing = RELAY_SYNC if name in self.relays else ENTRY_SYNC
        if self.now - stream.heard_at > timing.silence_timeout_s:
            self._disconnect(name, failed=True)
            return
        if not stream.answered or self.now < stream.next_at:
            return
        number = next(self._numbers)
        stream.asked_at[number] = self.now
        stream.answered = False
        entry = self.entries.get(name)
        if entry:
            ask = entry.build_ask(number, self.now)
            is_waiting = bool(entry.waiting or entry.wishes or ask.sends)
        else:
            ask = self.relays[name].build_ask(number, self.now)
            is_waiting = bool(ask.tokens or ask.wishes or ask.sends)
        delay_s = timing.min_interval_s if is_waiting else timing.interval_s
        stream.next_at = self.now + delay_s
        self._send(name, stream, lambda: self._serve(name, stream, ask))

    def _connect(self, name: str) -> None:
        server = 'leader'
        if name in self.entries:
            server = self.entries[name].search.next_vm(self.now)
            self.entries[name].seen = 0
        session = next(self._sessions)
        self._streams[name] = _Stream(server, session, self.now)

    def _disconnect(self, name: str, *, failed: bool = False) -> None:
        stream = self._streams.pop(name)
        if name in self.entries:
            if failed:
                search = self.entries[name].search
                search.record_failure(stream.server, self.now)
            relay = self.relays[stream.server]
            relay.on_disconnect(name, stream.session)

    def _serve(self, client: str, stream: _Stream, ask: SyncAsk) -> None:
        if self._streams.get(client) is not stream:
            return
        if stream.server == 'leader':
            self.counts['leader asks'] += 1
            age_s = self.now - self.quorum_at
            reply = self.leader.on_ask(ask, age_s, self.now)
            self.issued += sum(lot.tokens for lot in reply.lots)
            self.counts['leader records'] += len(reply.targets)
        else:
            relay = self.relays[stream.server]
            reply = relay.on_ask(stream.session, ask, self.now)
            self.counts['entry records'] += len(reply.targets)
        self._send(client, stream, self._delivery(client, stream, reply))

    def _receive(self, client: str, stream: _Stream, reply: SyncReply) -> None:
        if self._streams.get(client) is not stream:
            return
        stream.heard_at = self.now
        stream.answered = stream.answered or not reply.is_push
        asked_at = stream.asked_at.get(reply.ask)
        if asked_at is not None and reply.serves:
            owner = self.relays.get(client) or self.entries[client]
            owner.on_reply(reply, asked_at, self.now)
            has_news = reply.published or reply.document
            if has_news and owner.view.documents.wish():
                stream.next_at = min(stream.next_at, self.now)
        if client in self.entries:
            search = self.entries[client].search
            if search.check_reply(
                stream.server, reply, stream.opened_at, self.now
            ):
                self._disconnect(client)

    def _push_from_relay(self, name: str, relay: SyncRelay) -> None:
        for vm in relay.pushes_due(self.now):
            stream = self._streams.get(vm)
            if stream is None or stream.session != relay.session_of(vm):
                continue
            reply = relay.make_push(vm, self.now)
            assert reply is not None
            self.counts['entry records'] += len(reply.targets)
            self._send(vm, stream, self._delivery(vm, stream, reply))

    def _push_from_leader(self) -> None:
        for name in self.relays:
            stream = self._streams.get(name)
            if stream is None or not stream.asked_at:
                continue
            view = self.relays[name].view
            ask = SyncAsk(
                max(stream.asked_at),
                name,
                self.zones[name],
                view.published.version,
                view.stamp_to_ask(self.now),
                view.epoch,
                reads_parts=True,
            )
            age_s = self.now - self.quorum_at
            reply = self.leader.updates_for(ask, age_s, self.now)
            self.counts['leader pushes'] += 1
            push = reply._replace(is_push=True)
            self._send(name, stream, self._delivery(name, stream, push))

    def _delivery(
        self, client: str, stream: _Stream, reply: SyncReply
    ) -> Callable[[], None]:
        return lambda: self._receive(client, stream, reply)

    def _send(
        self, client: str, stream: _Stream, deliver: Callable[[], None]
    ) -> None:
        """Deliver a message of a stream later, in order and without gaps."""
        link = (min(client, stream.server), max(client, stream.server))
        if link in self.cut:
            stream.is_stalled = True
        if stream.is_stalled:
            return
        mail = (self.now + ZONE_DELAY_S, next(self._numbers), deliver)
        heapq.heappush(self._mail, mail)
