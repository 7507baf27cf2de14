"""The server process of an entry VM: HTTP front end and sync with a relay."""

import asyncio
import signal
from typing import Final

from lovagemast_core.deployment import CallerLimits, DeploymentIndex
from lovagemast_core.duties import VmUsage
from lovagemast_core.entry import DrainWindow
from lovagemast_core.streams import StreamStart, retention_s
from lovagemast_core.syncrelay import ENTRY_SYNC, RelaySearch
from lovagemast_core.targetlimits import LimitNews
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import EntriesStub

from .._clock import now_s
from ..http import (
    READ_ONLY_LIMITS,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    split_address,
)
from ._codec import EntryCodec
from ._collector import tune_collector
from ._entrystate import EntryState
from ._forwardservice import ForwardService
from ._jsonlog import JsonLog
from ._limitlog import log_limits, log_tolerances
from ._metricspage import MetricsPage
from ._peers import serve_peers
from ._requesthandler import RequestHandler
from ._settings import EntrySettings
from ._stalls import StallDetector, watch_stalls
from ._sync import SyncClient
from ._transfers import DocumentTransfers

# A VM whose view a quorum has not confirmed for this long reports not ready,
# so that the load balancer prefers others.
READY_MAX_VIEW_AGE_S: Final = 4.0
MIN_DRAIN_S: Final = 3.0  # for the load balancer to notice the drain
# Counted from SIGTERM. Requests accepted later could not be completed before
# the process is killed; callers that are refused now try another VM.
STOP_LISTENING_AFTER_S: Final = 2.5
EXIT_MARGIN_S: Final = 0.5  # before the platform sends SIGKILL
ANSWER_MARGIN_S: Final = 0.3  # to answer what is still in progress then
DRAIN_POLL_INTERVAL_S: Final = 0.05
OK: Final = 200
UNAVAILABLE: Final = 503


class EntryServer:
    """Serves callers and health checks, and syncs with a relay."""

    def __init__(self, cfg: EntrySettings, codec: EntryCodec) -> None:
        self._cfg = cfg
        self._codec = codec
        self._log = JsonLog(cfg.vm)
        self._state = EntryState(
            cfg, codec, self._log, self._request_sync, now_s()
        )
        documents = self._state.view.documents
        documents.activate = self._put_in_force
        self._transfers = DocumentTransfers(
            documents, self._request_sync, self._log
        )
        self._sync = SyncClient(
            EntriesStub,
            cfg.peer_port,
            ENTRY_SYNC,
            RelaySearch(cfg.vm, cfg.zone, cfg.seeds),
            self._build_ask,
            self._on_reply,
            self._transfers.on_lost,
            self._log,
        )
        limits = CallerLimits()
        self._front = HttpServer(
            self._serve,
            ServerLimits(*limits),
            self._on_handler_error,
            self._state.limits.bodies,
            self._state.limits.table,
        )
        self._health = HttpServer(
            self._check_health,
            READ_ONLY_LIMITS,
            self._on_handler_error,
            self._state.limits.bodies,
            self._state.limits.table,
        )
        for server in (self._front, self._health):
            server.on_unread = self._state.limits.on_unread
        self._forwards = ForwardService(self._state)
        self._running = 0
        self._draining = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in progress."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        self._log.set_nonblocking()
        self._log.write('entry', 'start', zone=self._cfg.zone)
        await self._health.listen(*split_address(self._cfg.ready))
        await self._front.listen(*split_address(self._cfg.front))
        page = MetricsPage(
            self._state.metrics.registry, self._log, self._state.limits
        )
        await page.listen(self._cfg.metrics)
        host = split_address(self._cfg.front)[0]
        peers = await serve_peers(
            (self._forwards,), host, self._cfg.peer_port, self._state.limits
        )
        tasks = self._start_tasks()
        await self._draining.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        peers.close()
        self._state.peers.close()
        self._log.write('entry', 'stop', running=self._running)

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        tune_collector()
        return [
            asyncio.create_task(self._sync.run()),
            asyncio.create_task(self._state.prober.run()),
            asyncio.create_task(
                watch_stalls(
                    StallDetector(now_s()),
                    self._log,
                    'entry',
                    self._state.metrics.record_lateness,
                )
            ),
        ]

    async def _drain(self) -> None:
        started_at = now_s()
        max_drain_s = self._cfg.drain_grace_s - EXIT_MARGIN_S
        while now_s() - started_at < max_drain_s:
            waited_s = now_s() - started_at
            is_serving = self._running or self._forwards.running
            idle = not is_serving and not self._front.connections
            if idle and waited_s > MIN_DRAIN_S:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            self._front.drain()
            if waited_s > STOP_LISTENING_AFTER_S:
                self._front.stop_listening()

    def _on_term(self) -> None:
        self._log.write('entry', 'drain', running=self._running)
        started_at = now_s()
        drain_s = self._cfg.drain_grace_s - EXIT_MARGIN_S - ANSWER_MARGIN_S
        self._state.start_drain(DrainWindow(started_at, started_at + drain_s))
        self._front.drain()
        self._draining.set()

    def _on_hup(self) -> None:
        self._log.write(
            'entry', 'SIGHUP ignored: settings are read only at start'
        )

    def _on_handler_error(self) -> None:
        self._log.write('entry', 'unhandled error in an HTTP handler')

    def _is_ready(self) -> bool:
        view = self._state.view
        if self._draining.is_set() or view.index is None:
            return False
        return view.age(now_s()) < READY_MAX_VIEW_AGE_S

    async def _check_health(
        self,
        req: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send(OK if self._is_ready() else UNAVAILABLE)

    async def _serve(self, req: HttpRequest, responder: Responder) -> None:
        self._running += 1
        try:
            await RequestHandler(self._state, req, responder).run()
        finally:
            self._running -= 1

    # Callbacks of the sync with a relay.

    def _request_sync(self) -> None:
        self._sync.wake()

    def _build_ask(self, ask: int) -> SyncAsk:
        state = self._state
        view = state.view
        accounts = view.index.accounts if view.index else {}
        return SyncAsk(
            ask,
            self._cfg.vm,
            self._cfg.zone,
            view.published.version,
            view.stamp_to_ask(now_s()),
            view.epoch,
            state.tokens.wishes(accounts, view.entries, now_s()),
            state.load.take_wishes(),
            state.load.take_uses(),
            self._draining.is_set(),
            state.load.take_missing(),
            self._unreachable_targets(),
            seen=self._sync.seen,
            quarantine=state.guard.version,
            crashes=state.guard.reports.crashes(ask),
            answered=state.guard.reports.answered(ask),
            trials=state.guard.take_wishes(),
            limits=state.sends.exchange.reports(ask, now_s()),
            limit_stamp=state.sends.exchange.server_stamp,
            sends=state.sends.wishes(now_s()),
            streams=self._begun_streams(ask),
            lookups=state.lookups.pending(),
            host=split_address(self._cfg.front)[0],
            wants_peers=bool(state.paths.lost_pools()),
            tolerances=state.rejections.exchange.reports(ask, now_s()),
            tolerance_stamp=state.rejections.exchange.server_stamp,
            usage=self._usage_reports(ask),
            revision=view.documents.revision,
            reads_parts=True,
            document=view.documents.wish(),
        )

    def _usage_reports(self, ask: int) -> tuple[VmUsage, ...]:
        usage = self._state.usage
        return usage.reports(ask, now_s()) if usage else ()

    def _unreachable_targets(self) -> tuple[str, ...]:
        """Return the targets that no VM reaches, as far as this one knows."""
        state = self._state
        lost = frozenset(
            known.record.target
            for pool in state.paths.lost_pools()
            for known in state.view.find_targets(pool, '', '')
        )
        unreachable = state.health.unreachable_targets(now_s())
        return tuple(name for name in unreachable if name not in lost)

    def _begun_streams(self, ask: int) -> tuple[StreamStart, ...]:
        streams = self._state.streams
        if not self._sync.seen:  # nothing came on this stream yet
            streams.restart()
        return streams.take(ask)

    def _on_reply(self, reply: SyncReply, asked_at: float) -> None:
        state = self._state
        now = now_s()
        was_behind = state.view.is_relay_behind
        newer = state.view.apply(reply, asked_at, now)
        self._transfers.on_reply(reply)
        if state.view.is_relay_behind != was_behind:
            self._log_behind()
        state.guard.reports.on_reply(reply.ask)
        state.streams.on_reply(reply.ask)
        self._apply_answers(reply, asked_at, now)
        if reply.quarantine:
            self._apply_quarantine(now)
        self._apply_tokens_and_limits(reply, now)
        self._apply_loads(reply)
        if reply.removed or reply.is_complete:
            self._drop_absent(now)
        if newer or _has_news(reply):
            state.notify_update()

    def _drop_absent(self, now: float) -> None:
        """Drop what is known of targets that are gone."""
        state = self._state
        present = set(state.view.targets)
        state.health.retain(present, now)
        state.batch.retain(present)
        state.prefill.retain(present)
        state.load.paces.known.retain(present)
        state.sends.retain(present, now)
        state.rejections.retain(present, now)

    def _apply_loads(self, reply: SyncReply) -> None:
        """Apply the fleet's sums; a slot may be free by them."""
        if reply.loads:
            self._state.load.fleet_reported(reply.loads)
            self._state.queues.notify_all()

    def _log_behind(self) -> None:
        view = self._state.view
        self._log.write(
            'sync',
            'relay is behind' if view.is_relay_behind else 'relay caught up',
            age_s=round(view.age(now_s()), 3),
            revision=view.documents.revision,
        )

    def _apply_answers(
        self, reply: SyncReply, asked_at: float, now: float
    ) -> None:
        """Apply what this VM has asked for or reported."""
        if self._state.usage:
            self._state.usage.exchange.on_reply(reply, asked_at, now)
        self._state.lookups.add(reply.found)
        self._state.peers.directory.update(reply.peers, now)

    def _apply_tokens_and_limits(self, reply: SyncReply, now: float) -> None:
        for lot in reply.lots:
            self._state.tokens.add(lot, now)
        sends = self._state.sends
        news = LimitNews(reply.limits, reply.limit_stamp)
        changes = sends.exchange.on_reply(reply, news, now)
        log_limits(self._log, changes, 'sync')
        for lot in reply.send_lots:
            sends.add(lot, now)
        news = LimitNews(reply.tolerances, reply.tolerance_stamp)
        changes = self._state.rejections.exchange.on_reply(reply, news, now)
        log_tolerances(self._log, changes, 'sync')
        limited = sends.exchange.known.current()
        self._state.metrics.set_limited_targets(len(limited))

    def _apply_quarantine(self, now: float) -> None:
        guard = self._state.guard
        guard.update(self._state.view.quarantine, now)
        if guard.reports:
            self._request_sync()

    def _put_in_force(self, revision: int, document: str) -> bool:
        """Put a configuration in force; return whether it is readable."""
        parsed = self._codec.parse_deployment(document)
        if isinstance(parsed, str):
            self._log.write(
                'config', 'cannot be parsed', revision=revision, cause=parsed
            )
            return False
        index = DeploymentIndex(parsed)
        self._state.view.index = index
        self._state.retries.retain(frozenset(index.pools))
        self._state.load.paces.retain_pools(frozenset(index.pools))
        self._state.queues.set_index(index)
        self._state.streams.retention_s = retention_s(index)
        self._front.limits = ServerLimits(*parsed.limits)
        self._state.metrics.set_revision(revision)
        self._log.write(
            'config',
            'in force',
            revision=revision,
            version=self._state.view.published.version,
        )
        return True


def _has_news(reply: SyncReply) -> bool:
    """Return whether requests may wait for what a reply brings.

    One that only confirms the state wakes none.
    """
    return any(
        (
            reply.lots,
            reply.send_lots,
            reply.targets,
            reply.removed,
            reply.limits,
            reply.tolerances,
            reply.quarantine,
            reply.found,
            reply.peers,
        )
    )
