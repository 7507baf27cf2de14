"""Runs a control VM: its disk, its links and its interfaces."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final

from lovagemast_core import (
    LogSynced,
    PeerReceived,
    PersistLog,
    SendPeer,
)
from lovagemast_core.adapters import Order
from lovagemast_core.control import (
    CommandDone,
    ControlConfig,
    ControlNode,
    HoldersChanged,
    LeaderChanged,
    PushUpdates,
    ReadDone,
    RelayFailed,
    RequestReport,
    SendOrder,
)
from lovagemast_core.deployment import DeploymentIndex
from lovagemast_core.targets import SyncAsk, SyncReply

from .._clock import now_s
from .._storage import LogStore
from ..http import HttpServer, ServerLimits, split_address
from ._dialect import ControlDialect
from ._engines import EngineClient
from ._lines import LineLog
from ._metrics import ControlMetrics, MetricsPage
from ._operators import OperatorApi
from ._peers import (
    STREAM_ERRORS,
    EntryService,
    PeerLinks,
    PeerService,
    SyncSession,
    serve_peers,
)
from ._settings import ControlSettings

PUSH_PAUSE_S: Final = 0.004  # between pushes to one and the next entry VM
LEAST_TICK_S: Final = 0.001
DRAIN_S: Final = 1.0  # for the answers that are under way
CONTROL_LIMITS: Final = ServerLimits(
    max_body_bytes=8_388_608,
    header_timeout_s=5.0,
    idle_timeout_s=30.0,
)


class ControlHost:
    """Owns the sockets and the disk of a control VM."""

    def __init__(self, cfg: ControlSettings, dialect: ControlDialect) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._log = LineLog(cfg.name)
        metrics = ControlMetrics()
        self._store = LogStore.open(Path(cfg.data_dir), cfg.vm)
        self._node = ControlNode(
            ControlConfig(
                cfg.vm,
                self._store.stored,
                cfg.seeds,
                cfg.bootstrap,
                cfg.voters_wanted,
                cfg.takeover_s,
                cfg.quota,
                now_s(),
            ),
            self._read_index,
            random.Random(secrets.randbits(64)),
        )
        self._api = OperatorApi(
            cfg,
            dialect,
            self._node,
            self._perform,
            self._log,
            metrics,
        )
        self._links = PeerLinks(cfg.vm, cfg.peer_port, self._log)
        self._entries = EntryService(self._on_ask, self._log)
        self._http = HttpServer(
            self._api.serve,
            CONTROL_LIMITS,
            self._on_broken,
        )
        self._engines = EngineClient(cfg.vm, dialect, self._log)
        self._metrics = metrics
        self._batches: asyncio.Queue[PersistLog] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._push_wanted = asyncio.Event()
        self._stopped = asyncio.Event()
        self._performers = self._handlers()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        self._log.unblock()
        self._log.write(
            'control',
            'start',
            zone=self._cfg.zone,
            identity=self._store.stored.identity,
            seeds=self._cfg.seeds,
            bootstrap=self._cfg.bootstrap,
        )
        server = await serve_peers(
            (PeerService(self._on_message, self._log), self._entries),
            self._cfg.vm,
            self._cfg.peer_port,
        )
        await self._http.listen(*split_address(self._cfg.control))
        page = MetricsPage(self._metrics.registry, self._log)
        await page.listen(self._cfg.metrics)
        self._spawn(self._write_log())
        self._spawn(self._push_news())
        self._tick()
        await self._stopped.wait()
        server.close()
        self._links.close()
        self._log.write('control', 'stop')

    def _on_term(self) -> None:
        self._http.drain()
        loop = asyncio.get_running_loop()
        loop.call_later(DRAIN_S, self._stopped.set)

    def _on_hup(self) -> None:
        self._log.write('control', 'reload: no setting changes while running')

    def _on_broken(self) -> None:
        self._log.write('control', 'a handler failed')

    def _read_index(self, document: str) -> DeploymentIndex | None:
        read = self._dialect.read_deployment(document)
        if isinstance(read, str):
            self._log.write('config', 'cannot be read', cause=read)
            return None
        return DeploymentIndex(read)

    def _perform(self) -> None:
        for effect in self._node.drain():
            self._performers[type(effect)](effect)
        self._plan_tick()

    def _handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendPeer: lambda one: self._links.send(one.vm, one.message),
            PersistLog: self._batches.put_nowait,
            CommandDone: lambda one: self._api.resolve(one.call, one.outcome),
            ReadDone: lambda one: self._api.resolve(one.call, one.published),
            SendOrder: lambda one: self._spawn(self._send_order(one.order)),
            RequestReport: lambda one: self._spawn(self._ask_report(one)),
            PushUpdates: lambda _one: self._push_wanted.set(),
            LeaderChanged: self._note_leader,
            HoldersChanged: self._note_holders,
            RelayFailed: self._note_not_sent,
        }

    def _note_leader(self, noticed: LeaderChanged) -> None:
        self._metrics.leader_noticed()
        self._log.write(
            'agree',
            'leader',
            leader=noticed.leader,
            term=noticed.term,
            voters=self._node.replica.voter_vms,
        )

    def _note_holders(self, noticed: HoldersChanged) -> None:
        self._log.write('agree', 'holders', **noticed._asdict())

    def _note_not_sent(self, effect: RelayFailed) -> None:
        outcome = effect.outcome
        self._metrics.ordered(outcome.result.value)
        self._log.write(
            'order',
            'not sent',
            target=outcome.order.target,
            label=str(outcome.order.label),
            fence=outcome.order.fence,
            result=outcome.result.value,
            detail=outcome.detail,
        )

    def _plan_tick(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        deadline = self._node.next_deadline()
        if deadline is None:
            return
        wait_s = max(LEAST_TICK_S, deadline - now_s())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._node.tick(now_s())
        self._perform()

    def _on_message(self, received: PeerReceived) -> None:
        self._node.receive(received.sender, received.message, now_s())
        self._perform()

    def _on_ask(self, ask: SyncAsk) -> SyncReply:
        reply = self._node.on_ask(ask, now_s())
        self._perform()
        return reply

    async def _write_log(self) -> None:
        while True:
            batches = [await self._batches.get()]
            while not self._batches.empty():
                batches.append(self._batches.get_nowait())
            await asyncio.to_thread(self._store.write, batches)
            synced = LogSynced(batches[-1].batch)
            self._node.on_log_synced(synced.batch, now_s())
            self._perform()

    async def _push_news(self) -> None:
        while True:
            await self._push_wanted.wait()
            self._push_wanted.clear()
            sessions = list(self._entries.sessions)
            for turn, session in enumerate(sessions):
                self._spawn(self._push_to(session, turn * PUSH_PAUSE_S))
            await asyncio.sleep(PUSH_PAUSE_S * len(sessions))

    async def _push_to(self, session: SyncSession, wait_s: float) -> None:
        await asyncio.sleep(wait_s)  # other tasks have their turn
        ask = session.last_ask
        if ask is None or not self._node.is_ready_leader():
            return
        now = now_s()
        age_s = self._node.quorum_age(now)
        try:
            await session.send(self._node.fleet.updates_for(ask, age_s, now))
        except STREAM_ERRORS as exc:
            self._log.write('sync', 'push failed', cause=repr(exc))

    async def _send_order(self, order: Order) -> None:
        outcome = await self._engines.send(order)
        self._metrics.ordered(outcome.result.value)
        self._node.on_order_answered(outcome, now_s())
        self._perform()

    async def _ask_report(self, effect: RequestReport) -> None:
        report = await self._engines.ask_report(effect.target, effect.address)
        if report:
            self._node.on_report(report, now_s())
            self._perform()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write('control', 'task failed', cause=repr(task.exception()))
        self._stopped.set()
