"""Writes a control VM's log in a thread, and repeats writes that fail."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from lovagemast_core import PersistLog

from ._jsonlog import JsonLog

RETRY_DELAY_S: Final = 0.25


class BatchStore(Protocol):
    """Persists batches of log writes."""

    def write(self, batches: Iterable[PersistLog]) -> None:
        """Write batches and return once they are synced to disk.

        Raises :exc:`OSError` if they were not; they may be written again.
        """


class LogWriter:
    """Writes batches in order and reports the last one that is synced.

    While the disk takes no writes, nothing is reported, so that the replica
    acknowledges nothing; the other control VMs go on without it.
    """

    def __init__(
        self,
        store: BatchStore,
        on_synced: Callable[[int], None],
        log: JsonLog,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        self._store = store
        self._on_synced = on_synced
        self._log = log
        self._retry_delay_s = retry_delay_s
        self._batches: asyncio.Queue[PersistLog] = asyncio.Queue()

    def put(self, batch: PersistLog) -> None:
        """Queue a batch."""
        self._batches.put_nowait(batch)

    async def run(self) -> None:
        """Write queued batches until cancelled."""
        while True:
            batches = [await self._batches.get()]
            while not self._batches.empty():
                batches.append(self._batches.get_nowait())
            await self._write(batches)
            self._on_synced(batches[-1].batch)

    async def _write(self, batches: list[PersistLog]) -> None:
        failures = 0
        while not await self._try_write(batches, failures):
            failures += 1
            await asyncio.sleep(self._retry_delay_s)
        if failures:
            self._log.write('disk', 'write succeeded', failures=failures)

    async def _try_write(
        self, batches: list[PersistLog], failures: int
    ) -> bool:
        try:
            await asyncio.to_thread(self._store.write, batches)
        except OSError as exc:
            if not failures:
                self._log.write('disk', 'write failed', cause=repr(exc))
            return False
        return True
