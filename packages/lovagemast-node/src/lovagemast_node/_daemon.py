"""Sets up the components of the daemon and runs them until drained."""

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
from ._boundedloop import BoundedReadsLoop
from ._callers import CallerServer
from ._logs import PartLogger, configure_logs
from ._metrics import Metrics
from ._nodetask import Clock, Handler, NodeTask
from ._peers import PeerLinks, serve_peers
from ._settings import Settings, load_settings
from ._storage import DamagedLogError, LogStore
from ._storagetask import StorageTask
from ._targets import TargetClient
from ._timeline import Timeline

_log = PartLogger.from_part('daemon')
EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2
EXIT_DAMAGED_LOG: Final = 3
EXIT_FAILURE: Final = 70
DRAIN_POLL_INTERVAL_S: Final = 0.05
LINK_REFRESH_INTERVAL_S: Final = 1.0
BOOT_ID_RANDOM_BYTES: Final = 3


class Daemon:
    """The serving process of one VM."""

    def __init__(self, settings: Settings, store: LogStore | None) -> None:
        self._settings = settings
        self._store = store
        self._clock = Clock()
        self._drain_requested = asyncio.Event()
        self._failure: BaseException | None = None
        self._metrics = Metrics()
        self._timeline = Timeline(settings.timeline_events)
        self._node_task = NodeTask(
            Node.from_config(self._node_config(), random.Random()),
            self._clock,
            self._on_failure,
        )
        self._callers = CallerServer(
            self._node_task,
            settings.limits,
            self._metrics,
        )
        self._target_client = TargetClient(self._node_task, self._callers)
        self._peer_links = PeerLinks(settings.vm, self._node_task)
        self._admin = AdminServer(
            settings,
            self._node_task,
            self._timeline,
            self._metrics,
            self._drain_requested.set,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def handlers(self) -> dict[type, Handler]:
        """Return the daemon's own effect handlers by effect type."""
        return {Record: self._record_event}

    async def run(self) -> int:
        """Serve until drained and return the exit status."""
        self._register_components()
        await self._start()
        _log.info('VM %s is serving', self._settings.vm)
        await self._drain_requested.wait()
        if self._failure is None:
            await self._drain()
        await self._stop()
        if self._failure:
            _log.critical('stopped after a failure: %r', self._failure)
            return EXIT_FAILURE
        return EXIT_OK

    def _node_config(self) -> NodeConfig:
        boot_time = f'{time.time_ns():020d}'
        random_suffix = secrets.token_hex(BOOT_ID_RANDOM_BYTES)
        return NodeConfig(
            self._settings.roster_entry,
            f'{boot_time}-{random_suffix}',
            self._settings.seed_entries,
            self._clock.now(),
            self._store.stored if self._store else None,
        )

    def _register_components(self) -> None:
        self._node_task.register(self)
        for component in (
            self._callers,
            self._target_client,
            self._peer_links,
            self._admin.operations,
        ):
            self._node_task.register(component)
        if self._store:
            storage = StorageTask(
                self._store, self._node_task, self._on_failure
            )
            self._node_task.register(storage)
            self._tasks.append(asyncio.create_task(storage.run()))

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._drain_requested.set)
        await self._target_client.start()
        settings = self._settings
        self._peer_server = await serve_peers(settings.peers, self._node_task)
        await self._callers.start(settings.callers.host, settings.callers.port)
        self._tasks.append(asyncio.create_task(self._admin.run()))
        self._tasks.append(asyncio.create_task(self._refresh_links()))
        self._node_task.post(Tick())

    async def _refresh_links(self) -> None:
        while True:
            self._peer_links.refresh()
            await asyncio.sleep(LINK_REFRESH_INTERVAL_S)

    async def _drain(self) -> None:
        _log.info('draining')
        self._node_task.post(DrainRequested())
        while not self._node_task.node.is_drained(self._clock.now()):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        _log.info('drained')

    async def _stop(self) -> None:
        await self._callers.stop()
        self._node_task.stop()
        self._admin.stop()
        await self._target_client.stop()
        self._peer_links.close()
        self._peer_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._store:
            self._store.close()

    def _record_event(self, effect: Record) -> None:
        self._timeline.add(effect.event)
        self._metrics.record_event(effect.event)

    def _on_failure(self, exc: BaseException) -> None:
        self._failure = exc
        self._drain_requested.set()


def main(argv: Sequence[str] | None = None) -> int:
    """Run ``lovagemastd``; return its exit status.

    0 after a drain, 2 for invalid settings, 3 for a corrupt log, 70 after a
    violated invariant or a failed write.
    """
    parser = argparse.ArgumentParser(
        prog='lovagemastd',
        description='Serves LoRA adapters as one VM of a lovagemast fleet.',
    )
    parser.add_argument(
        'settings', type=Path, help='path of the JSON settings file'
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings and exit',
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
        _log.critical('write-ahead log is corrupt: %s', exc)
        return EXIT_DAMAGED_LOG
    with asyncio.Runner(loop_factory=BoundedReadsLoop) as runner:
        return runner.run(_run(settings, store))


async def _run(settings: Settings, store: LogStore | None) -> int:
    return await Daemon(settings, store).run()


def _open_store(settings: Settings) -> LogStore | None:
    if not settings.control or settings.data_dir is None:
        return None
    return LogStore.open(Path(settings.data_dir), settings.vm)
