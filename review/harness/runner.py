"""Runs a case: starts the system, serves requests, and tells the result."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final

from .cluster import DEPS, ENTRIES, Cluster
from .deployment import wait_ready
from .operator import Operator
from .record import Record
from .worker import Worker

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
START_S: Final = 2.0  # until the control machines have a leader
MAX_RUN_S: Final = 110.0


class Stage:
    """What a case works with."""

    def __init__(
        self, record: Record, entries: tuple[str, ...], *, trouble: bool
    ) -> None:
        self.record = record
        self.trouble = trouble
        self.cluster = Cluster(entries)
        self.operator = Operator(self.cluster.control_addresses(), record)


Play = Callable[[Stage], Awaitable[int]]


async def start(
    stage: Stage, config: dict[str, Any], workers: Sequence[Worker]
) -> bool:
    """Start the system and its targets; return whether it serves."""
    stage.cluster.start()
    await asyncio.sleep(START_S)
    ended = stage.cluster.ended()
    if ended:
        stage.record.write(f'ended by themselves at the start: {ended}')
        return False
    await stage.operator.put_config(config)
    for worker in workers:
        await worker.start(stage.cluster.control_addresses())
    is_ready = await wait_ready(stage.cluster)
    if not is_ready:
        stage.record.write('the entry machines did not get ready')
    return is_ready


def main(case: Path, play: Play, entries: tuple[str, ...] = ENTRIES) -> int:
    """Run a case; return the exit status of its script."""
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(NOT_RUN))
    record = Record(case.with_name('record.txt'))
    if not (DEPS / 'lovagemast_platform').is_dir():
        record.write('the build of the deploy file is missing')
        return NOT_RUN
    trouble = os.environ.get('TROUBLE', '1') != '0'
    stage = Stage(record, entries, trouble=trouble)
    try:
        return asyncio.run(_play(stage, play))
    except (OSError, TimeoutError) as exc:
        record.write(f'the case could not run: {exc!r}')
        return NOT_RUN
    finally:
        stage.cluster.stop()
        record.close()


async def _play(stage: Stage, play: Play) -> int:
    async with asyncio.timeout(MAX_RUN_S):
        return await play(stage)
