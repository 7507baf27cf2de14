"""Composes the parts of the daemon and runs them until it is drained."""

import argparse
import asyncio
import random
import secrets
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from lovagemast_core import (
    DrainRequested,
    Node,
    NodeConfig,
    Record,
    Tick,
)

from ._admin import AdminServer
from ._callers import CallerServer
from ._logs import PartLogger, configure_logs
from ._metrics import Metrics
from ._nodetask import Clock, Handler, NodeTask
from ._peers import PeerLinks, serve_peers
from ._settings import Settings, load_settings
from ._storage import DamagedLogError, LogStore
from ._storagetask import StorageTask
from ._targets import TargetCalls
from ._timeline import Timeline

_log = PartLogger.from_part('daemon')
EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
EXIT_DAMAGED_LOG: Final = 3
EXIT_BROKEN: Final = 70
DRAIN_POLL_S: Final = 0.05
REFRESH_S: Final = 1.0
BOOT_RANDOM_BYTES: Final = 3


class Daemon:
    """One VM's process."""

    def __init__(self, settings: Settings, store: LogStore | None) -> None:
        self._settings = settings
        self._store = store
        self._clock = Clock()
        self._drain_asked = asyncio.Event()
        self._broken: BaseException | None = None
        self._metrics = Metrics()
        self._timeline = Timeline(settings.timeline_events)
        self._node_task = NodeTask(
            Node.from_config(self._node_config(), random.Random()),
            self._clock,
            self._on_broken,
        )
        self._callers = CallerServer(
            self._node_task,
            settings.limits,
            self._metrics,
        )
        self._targets = TargetCalls(self._node_task, self._callers)
        self._links = PeerLinks(settings.vm, self._node_task)
        self._admin = AdminServer(
            settings,
            self._node_task,
            self._timeline,
            self._metrics,
            self._drain_asked.set,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def handlers(self) -> dict[type, Handler]:
        """Return the effects that the daemon itself carries out."""
        return {Record: self._record}

    async def run(self) -> int:
        """Serve until drained and return the exit status."""
        self._attach_parts()
        await self._start()
        _log.info('VM %s serves', self._settings.vm)
        await self._drain_asked.wait()
        if self._broken is None:
            await self._drain()
        await self._stop()
        if self._broken:
            _log.critical('stopped: %r', self._broken)
            return EXIT_BROKEN
        return EXIT_OK

    def _node_config(self) -> NodeConfig:
        boot = f'{time.time_ns():020d}'
        random_part = secrets.token_hex(BOOT_RANDOM_BYTES)
        return NodeConfig(
            self._settings.entry,
            f'{boot}-{random_part}',
            self._settings.seed_entries,
            self._clock.now(),
            self._store.stored if self._store else None,
        )

    def _attach_parts(self) -> None:
        self._node_task.attach(self)
        for part in (
            self._callers,
            self._targets,
            self._links,
            self._admin.operations,
        ):
            self._node_task.attach(part)
        if self._store:
            storage = StorageTask(self._store, self._node_task, self._on_broken)
            self._node_task.attach(storage)
            self._tasks.append(asyncio.create_task(storage.run()))

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._drain_asked.set)
        await self._targets.start()
        settings = self._settings
        self._peer_server = await serve_peers(settings.peers, self._node_task)
        await self._callers.start(settings.callers.host, settings.callers.port)
        self._tasks.append(asyncio.create_task(self._admin.run()))
        self._tasks.append(asyncio.create_task(self._refresh_links()))
        self._node_task.post(Tick())

    async def _refresh_links(self) -> None:
        while True:
            self._links.refresh()
            await asyncio.sleep(REFRESH_S)

    async def _drain(self) -> None:
        _log.info('draining')
        self._node_task.post(DrainRequested())
        while not self._node_task.node.is_drained(self._clock.now()):
            await asyncio.sleep(DRAIN_POLL_S)
        _log.info('drained')

    async def _stop(self) -> None:
        await self._callers.stop()
        self._node_task.stop()
        self._admin.stop()
        await self._targets.stop()
        self._links.close()
        self._peer_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._store:
            self._store.close()

    def _record(self, effect: Record) -> None:
        self._timeline.add(effect.event)
        self._metrics.noted(effect.event)

    def _on_broken(self, exc: BaseException) -> None:
        self._broken = exc
        self._drain_asked.set()


def main(argv: Sequence[str] | None = None) -> int:
    """Run ``lovagemastd``; return its exit status.

    0 after a drain, 2 for bad settings, 3 for a damaged log, 70 after a
    broken invariant or a failed write.
    """
    parser = argparse.ArgumentParser(
        prog='lovagemastd',
        description='Serves LoRA adapters as one VM of a lovagemast fleet.',
    )
    parser.add_argument('settings', type=Path, help='settings file, JSON')
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    options = parser.parse_args(argv)
    settings, faults = load_settings(options.settings)
    if settings is None:
        for fault in faults:
            print(f'{options.settings}: {fault}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        return EXIT_OK
    configure_logs(settings.vm, settings.log_level)
    try:
        store = _open_store(settings)
    except DamagedLogError as exc:
        _log.critical('the log is damaged: %s', exc)
        return EXIT_DAMAGED_LOG
    return asyncio.run(_run(settings, store))


async def _run(settings: Settings, store: LogStore | None) -> int:
    return await Daemon(settings, store).run()


def _open_store(settings: Settings) -> LogStore | None:
    if not settings.control or settings.data_dir is None:
        return None
    return LogStore.open(Path(settings.data_dir), settings.vm)
