"""The server process of a control VM: storage, peer links and HTTP API."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any, Final

from lovagemast_core import (
    PeerReceived,
    PersistLog,
    SendPeer,
)
from lovagemast_core.adapters import Order
from lovagemast_core.control import (
    CommandDone,
    ControlConfig,
    ControlEffect,
    ControlNode,
    FormatsNoticed,
    HoldersNoticed,
    LeaderChanged,
    LimitsChanged,
    PushUpdates,
    QuarantineChanged,
    ReadDone,
    RelayFailed,
    RequestReport,
    SendOrder,
    SoftwareChanged,
)
from lovagemast_core.deployment import DeploymentIndex
from lovagemast_core.streams import StreamMessage, retention_s
from lovagemast_core.targets import SyncAsk, SyncReply

from .._clock import now_s
from .._storage import LogStore
from ..http import HttpServer, ServerLimits, TargetPool, split_address
from ._codec import ControlCodec
from ._collector import tune_collector
from ._connectionlimits import ConnectionLimits
from ._controlapi import ControlApi
from ._dutyhost import PATH as DUTIES_PATH
from ._dutyhost import DutyHost
from ._engines import EngineClient, log_unsent_order
from ._jsonlog import JsonLog
from ._leaderwatch import watch_leader
from ._limitlog import log_limits
from ._limitsapi import PATH as LIMITS_PATH
from ._limitsapi import describe_limits
from ._logwriter import LogWriter
from ._metrics import ControlMetrics
from ._metricspage import MetricsPage
from ._peers import PeerLinks, PeerService, serve_peers
from ._quarantinelog import log_subject_changes, set_part_metrics
from ._relayhost import RelayHost
from ._settings import ControlSettings
from ._softwareapi import PATH as SOFTWARE_PATH
from ._stalls import StallDetector, watch_stalls
from ._sync import SYNC_ERRORS
from ._syncservice import RelaySyncService, SyncHandler, SyncSession

PUSH_SPACING_S: Final = 0.001  # between pushes to successive relays
PUSH_INTERVAL_S: Final = 0.02  # between pushes to the same relay
MIN_TICK_DELAY_S: Final = 0.001
SHUTDOWN_DELAY_S: Final = 1.0  # for responses that are in progress
# Three of the largest documents; the log and the states need the rest.
CONTROL_BODIES_BYTES: Final = 25_165_824
CONTROL_LIMITS: Final = ServerLimits(
    max_body_bytes=8_388_608,
    header_timeout_s=5.0,
    idle_timeout_s=30.0,
)


class ControlServer:
    """Connects a control node to the sockets and the disk of its VM.

    The node decides without I/O; the server feeds it events and runs the
    effects that it returns.
    """

    def __init__(self, cfg: ControlSettings, codec: ControlCodec) -> None:
        self._cfg = cfg
        self._codec = codec
        self._log = JsonLog(cfg.name)
        metrics = ControlMetrics()
        self._metrics = metrics
        self._limits = ConnectionLimits(
            cfg.limits, self._log, metrics.registry, CONTROL_BODIES_BYTES
        )
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
                cfg.cloud.duties if cfg.cloud else None,
            ),
            self._read_index,
            random.Random(secrets.randbits(64)),
        )
        self._stalls = StallDetector(now_s())
        self._api = ControlApi(
            cfg,
            codec,
            self._node,
            self._run_effects,
            self._log,
            metrics,
            {
                LIMITS_PATH: lambda: describe_limits(self._relay.limits()),
                SOFTWARE_PATH: lambda: self._relay.describe_software(),
                DUTIES_PATH: lambda: self._duties.describe(),
            },
            self._stalls,
        )
        self._duties = DutyHost(
            cfg,
            codec,
            self._node,
            self._run_effects,
            self._spawn,
            self._log,
            metrics,
        )
        self._links = PeerLinks(cfg.vm, cfg.peer_port, self._log)
        self._sync = SyncHandler(self._on_ask, lambda _session: None, self._log)
        self._relay = RelayHost(
            cfg,
            self._control_vms,
            lambda: self._node.published,
            self._node.on_records,
            self._links.send,
            self._spawn,
            self._log,
        )
        metrics.observe_relay(self._relay)
        metrics.observe_bytes(self._node.replica, self._api.room, self._links)
        self._http = HttpServer(
            self._api.serve,
            CONTROL_LIMITS,
            lambda: self._log.write(
                'control', 'unhandled error in an HTTP handler'
            ),
            self._limits.bodies,
            self._limits.table,
        )
        self._http.on_unread = self._limits.on_unread
        self._http.counts_responses = True
        pool = TargetPool(self._limits.bodies, cfg.limits.max_idle)
        self._engines = EngineClient(cfg.vm, codec, self._log, pool)
        self._log_writer = LogWriter(
            self._store, self._on_log_synced, self._log
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._push_requested = asyncio.Event()
        self._stopped = asyncio.Event()
        self._effect_handlers = self._make_effect_handlers()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        self._log.set_nonblocking()
        self._log.write(
            'control',
            'start',
            zone=self._cfg.zone,
            identity=self._store.stored.identity,
            seeds=self._cfg.seeds,
            bootstrap=self._cfg.bootstrap,
        )
        server = await serve_peers(
            (
                PeerService(self._on_message, self._log),
                RelaySyncService(self._sync),
                self._relay.service,
            ),
            self._cfg.vm,
            self._cfg.peer_port,
            self._limits,
        )
        await self._http.listen(*split_address(self._cfg.control))
        page = MetricsPage(self._metrics.registry, self._log, self._limits)
        await page.listen(self._cfg.metrics)
        for task in (
            self._log_writer.run(),
            self._push_updates(),
            self._relay.run(),
            watch_stalls(
                self._stalls,
                self._log,
                'control',
                self._metrics.record_lateness,
            ),
            watch_leader(self._node, self._log),
        ):
            self._spawn(task, is_essential=True)
        tune_collector()
        self._tick()
        await self._stopped.wait()
        server.close()
        self._links.close()
        self._log.write('control', 'stop')

    def _on_term(self) -> None:
        self._http.drain()
        loop = asyncio.get_running_loop()
        loop.call_later(SHUTDOWN_DELAY_S, self._stopped.set)

    def _on_hup(self) -> None:
        self._log.write(
            'control', 'SIGHUP ignored: settings are read only at start'
        )

    def _read_index(self, document: str) -> DeploymentIndex | None:
        parsed = self._codec.parse_deployment(document)
        if isinstance(parsed, str):
            self._log.write('config', 'cannot be parsed', cause=parsed)
            return None
        self._metrics.set_revision(parsed.revision)
        return DeploymentIndex(parsed.for_control())

    def _run_effects(self) -> None:
        for effect in self._node.take_effects():
            self._perform(effect)
        self._schedule_tick()

    def _perform(self, effect: ControlEffect) -> None:
        """Perform an effect; one that fails keeps back no other."""
        try:
            self._effect_handlers[type(effect)](effect)
        except Exception as exc:
            self._log.write(
                'control',
                'effect failed',
                effect=type(effect).__name__,
                cause=repr(exc),
            )

    def _make_effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendPeer: lambda effect: self._links.send(
                effect.vm, effect.message
            ),
            PersistLog: self._log_writer.put,
            CommandDone: lambda effect: self._api.resolve(
                effect.call, effect.outcome
            ),
            ReadDone: lambda effect: self._api.resolve(
                effect.call, effect.published
            ),
            SendOrder: lambda effect: self._spawn(
                self._send_order(effect.order)
            ),
            RequestReport: lambda effect: self._spawn(
                self._request_report(effect)
            ),
            PushUpdates: lambda _effect: self._push_requested.set(),
            LeaderChanged: self._log_leader,
            SoftwareChanged: lambda effect: self._relay.on_software(
                effect.software, retention_s(self._node.index)
            ),
            FormatsNoticed: lambda effect: self._log.write(
                'agree', 'formats of control VMs', **effect._asdict()
            ),
            HoldersNoticed: lambda effect: self._log.write(
                'agree', 'holder set changed', **effect._asdict()
            ),
            RelayFailed: lambda effect: log_unsent_order(
                self._log, self._metrics, effect.outcome
            ),
            **self._duties.effect_handlers(),
            QuarantineChanged: self._on_quarantine,
            LimitsChanged: lambda effect: log_limits(
                self._log, effect.reports, 'relay'
            ),
        }

    def _log_leader(self, effect: LeaderChanged) -> None:
        self._metrics.record_leader_change()
        self._log.write(
            'agree',
            'leader changed',
            leader=effect.leader,
            term=effect.term,
            voters=self._node.replica.voter_vms,
        )
        self._relay.on_leader_changed(effect.leader, effect.term)

    def _on_quarantine(self, effect: QuarantineChanged) -> None:
        set_part_metrics(self._metrics, effect.after)
        if self._node.is_ready_leader():
            log_subject_changes(self._log, effect.before, effect.after)

    def _schedule_tick(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        deadline = self._node.next_deadline()
        if deadline is None:
            return
        wait_s = max(MIN_TICK_DELAY_S, deadline - now_s())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._node.tick(now_s())
        self._run_effects()

    def _on_message(self, received: PeerReceived) -> None:
        if isinstance(received.message, StreamMessage):
            self._relay.on_stream_message(received.sender, received.message)
            return
        self._node.receive(received.sender, received.message, now_s())
        self._run_effects()

    def _control_vms(self) -> tuple[str, ...]:
        known = (*self._node.replica.voter_vms, *self._cfg.seeds)
        return tuple(dict.fromkeys(known))

    def _on_ask(self, _session: SyncSession, ask: SyncAsk) -> SyncReply:
        reply = self._node.on_ask(ask, now_s())
        self._run_effects()
        return reply

    def _on_log_synced(self, batch: int) -> None:
        self._node.on_log_synced(batch, now_s())
        self._run_effects()

    async def _push_updates(self) -> None:
        while True:
            await self._push_requested.wait()
            self._push_requested.clear()
            sessions = list(self._sync.sessions.values())
            for position, session in enumerate(sessions):
                self._spawn(self._push_to(session, position * PUSH_SPACING_S))
            await asyncio.sleep(PUSH_INTERVAL_S)

    async def _push_to(self, session: SyncSession, wait_s: float) -> None:
        await asyncio.sleep(wait_s)  # lets other tasks run between pushes
        try:
            await session.send(lambda: self._build_push(session))
        except SYNC_ERRORS as exc:
            self._log.write('sync', 'push to a relay failed', cause=repr(exc))

    def _build_push(self, session: SyncSession) -> SyncReply | None:
        if session.ask is None or not self._node.is_ready_leader():
            return None
        if not self._node.fleet.has_updates_for(session.ask):
            return None  # a reply has brought them meanwhile
        now = now_s()
        age_s = self._node.quorum_age(now)
        reply = self._node.fleet.updates_for(session.ask, age_s, now)
        return reply._replace(is_push=True)

    async def _send_order(self, order: Order) -> None:
        outcome = await self._engines.send(order)
        self._metrics.record_order(outcome.result.value)
        self._node.on_order_answered(outcome, now_s())
        self._run_effects()

    async def _request_report(self, effect: RequestReport) -> None:
        report = await self._engines.request_report(
            effect.target, effect.address
        )
        if report:
            self._node.on_report(report, now_s())
            self._run_effects()

    def _spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
        *,
        is_essential: bool = False,
    ) -> None:
        """Run a task; the process ends if an essential one fails."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(
            partial(self._on_task_done, is_essential=is_essential)
        )

    def _on_task_done(
        self, task: 'asyncio.Task[None]', *, is_essential: bool
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write(
            'control', 'background task failed', cause=repr(task.exception())
        )
        if is_essential:
            self._stopped.set()
