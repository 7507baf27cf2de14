"""Runs an entry VM: callers' connections, health checks, the sync."""

import asyncio
import signal
from typing import Final

from lovagemast_core.deployment import DeploymentIndex, EdgeLimits
from lovagemast_core.targets import SyncAsk, SyncReply

from .._clock import now_s
from ..http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    split_address,
)
from ._calls import Call
from ._dialect import EdgeDialect
from ._entrystate import EntryState
from ._lines import LineLog
from ._metrics import MetricsPage
from ._settings import EntrySettings
from ._sync import SyncClient

READY_AGE_S: Final = 4.0  # without word of a quorum, others serve better
LEAST_DRAIN_S: Final = 3.0  # for the balancer to notice
# From SIGTERM on; what is taken later could not be answered before the
# process is killed. Callers who are turned away by then ask another VM.
LISTEN_S: Final = 2.5
EXIT_MARGIN_S: Final = 0.5  # before the platform kills the process
CHECK_S: Final = 0.05
OK: Final = 200
UNAVAILABLE: Final = 503


class EntryHost:
    """Owns the sockets of an entry VM."""

    def __init__(self, cfg: EntrySettings, dialect: EdgeDialect) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._log = LineLog(cfg.vm)
        self._state = EntryState(cfg, dialect, self._log, self._ask_leader)
        self._sync = SyncClient(
            self._control_vms,
            cfg.peer_port,
            self._compose,
            self._on_reply,
            self._log,
        )
        limits = EdgeLimits()
        self._front = HttpServer(
            self._serve,
            ServerLimits(*limits),
            self._on_broken,
        )
        self._health = HttpServer(
            self._check_health,
            ServerLimits(),
            self._on_broken,
        )
        self._running = 0
        self._draining = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, then until all answers are out."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        self._log.unblock()
        self._log.write('entry', 'start', zone=self._cfg.zone)
        await self._health.listen(*split_address(self._cfg.ready))
        await self._front.listen(*split_address(self._cfg.front))
        page = MetricsPage(self._state.metrics.registry, self._log)
        await page.listen(self._cfg.metrics)
        sync = asyncio.create_task(self._sync.run())
        await self._draining.wait()
        await self._drain()
        sync.cancel()
        self._log.write('entry', 'stop', running=self._running)

    async def _drain(self) -> None:
        started = now_s()
        longest_s = self._cfg.drain_grace_s - EXIT_MARGIN_S
        while now_s() - started < longest_s:
            waited_s = now_s() - started
            idle = not self._running and not self._front.connections
            if idle and waited_s > LEAST_DRAIN_S:
                return
            await asyncio.sleep(CHECK_S)
            self._front.drain()
            if waited_s > LISTEN_S:
                self._front.stop_listening()

    def _on_term(self) -> None:
        self._log.write('entry', 'drain', running=self._running)
        self._front.drain()
        self._draining.set()

    def _on_hup(self) -> None:
        self._log.write('entry', 'reload: no setting changes while running')

    def _on_broken(self) -> None:
        self._log.write('entry', 'a handler failed')

    def _is_ready(self) -> bool:
        view = self._state.view
        if self._draining.is_set() or view.index is None:
            return False
        return view.age(now_s()) < READY_AGE_S

    async def _check_health(
        self,
        req: HttpRequest,
        responder: Responder,
    ) -> None:
        await responder.send(OK if self._is_ready() else UNAVAILABLE)

    async def _serve(self, req: HttpRequest, responder: Responder) -> None:
        self._running += 1
        try:
            await Call(self._state, req, responder).run()
        finally:
            self._running -= 1

    # Staying in step with the leader.

    def _control_vms(self) -> tuple[str, ...]:
        known = (*self._state.view.control, *self._cfg.seeds)
        return tuple(dict.fromkeys(known))

    def _ask_leader(self) -> None:
        self._sync.wake()

    def _compose(self, ask: int) -> SyncAsk:
        state = self._state
        view = state.view
        accounts = view.index.accounts if view.index else {}
        return SyncAsk(
            ask,
            self._cfg.vm,
            self._cfg.zone,
            view.published.version,
            view.stamp,
            view.term,
            state.tokens.wishes(accounts, view.entries, now_s()),
            state.work.take_wishes(),
            state.work.take_uses(),
            self._draining.is_set(),
            state.work.take_missing(),
            state.health.unreachable_targets(now_s()),
        )

    def _on_reply(self, reply: SyncReply, asked_at: float) -> None:
        state = self._state
        now = now_s()
        newer = state.view.apply(reply, asked_at, now)
        if newer:
            self._use_config()
        for lot in reply.lots:
            state.tokens.add(lot, now)
        if reply.targets:
            state.health.retain(set(state.view.targets))
            state.batch.retain(set(state.view.targets))
            state.prefill.retain(set(state.view.targets))
        state.announce_news()

    def _use_config(self) -> None:
        published = self._state.view.published
        read = self._dialect.read_deployment(published.document)
        if isinstance(read, str):
            self._log.write('config', 'cannot be read', cause=read)
            return
        self._state.view.set_index(DeploymentIndex(read))
        self._front.limits = ServerLimits(*read.limits)
        self._log.write(
            'config',
            'in force',
            revision=published.revision,
            version=published.version,
        )
