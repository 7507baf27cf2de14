"""Tests of the writer of a control VM's log."""

import asyncio
import errno
from collections.abc import Iterable

import pytest
from lovagemast_core import PersistLog
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._logwriter import LogWriter


class FullStore:
    """A store whose disk is full for a number of writes."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.written: list[int] = []

    def write(self, batches: Iterable[PersistLog]) -> None:
        """Write batches, or raise while the disk is full."""
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENOSPC, 'no space left on device')
        self.written.extend(batch.batch for batch in batches)


def make_batch(number: int) -> PersistLog:
    """Return a batch that changes nothing."""
    return PersistLog(number, None, None, (), None)


class TestFullDisk:
    @pytest.mark.parametrize('failures', [0, 1, 3])
    def test_full_disk_does_not_end_the_process(self, failures: int) -> None:
        """Writes are repeated until there is room, and reported once."""
        store = FullStore(failures)
        synced: list[int] = []

        async def write_two() -> None:
            writer = LogWriter(store, synced.append, JsonLog('c1'), 0.001)
            writer.put(make_batch(1))
            task = asyncio.create_task(writer.run())
            await asyncio.sleep(0)
            writer.put(make_batch(2))
            async with asyncio.timeout(5.0):
                while synced[-1:] != [2]:
                    await asyncio.sleep(0.001)
            task.cancel()

        asyncio.run(write_two())
        assert store.written == [1, 2]
        assert synced in ([1, 2], [2])
