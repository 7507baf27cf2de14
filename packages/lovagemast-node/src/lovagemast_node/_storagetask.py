"""Writes log batches in a worker thread, grouping those that are queued."""

import asyncio
from collections.abc import Callable

from lovagemast_core import LogSynced, PersistLog

from ._nodetask import Handler, NodeTask
from ._storage import LogStore


class StorageTask:
    """Persists log batches and reports to the node when they are synced."""

    def __init__(
        self,
        store: LogStore,
        node_task: NodeTask,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self._store = store
        self._node_task = node_task
        self._on_failure = on_failure
        self._batches: asyncio.Queue[PersistLog] = asyncio.Queue()

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""
        return {PersistLog: self._batches.put_nowait}

    async def run(self) -> None:
        """Write queued batches until cancelled.

        A failed write stops the process, since any part of the batch may
        have reached the disk.
        """
        while True:
            batches = [await self._batches.get()]
            while not self._batches.empty():
                batches.append(self._batches.get_nowait())
            try:
                await asyncio.to_thread(self._store.write, batches)
            except OSError as exc:
                self._on_failure(exc)
                raise
            self._node_task.post(LogSynced(batches[-1].batch))
