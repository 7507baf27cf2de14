"""Runs a case: starts the processes, plays it and ends them."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NoReturn

from .cluster import Cluster
from .record import NOT_RUN, Record

Play = Callable[[Cluster, Record], Awaitable[int]]


async def _await(play: Play, cluster: Cluster, record: Record) -> int:
    return await play(cluster, record)


def _on_term(_number: int, _frame: object) -> NoReturn:
    sys.exit(NOT_RUN)


def run_case(case_file: str, play: Play, entries: int = 1) -> int:
    """Return the exit status of a case; its record is beside its file."""
    signal.signal(signal.SIGTERM, _on_term)
    record = Record(Path(case_file).parent)
    cluster = Cluster(entries)
    try:
        return asyncio.run(_await(play, cluster, record))
    except (OSError, asyncio.IncompleteReadError) as exc:
        record.write(f'not run: {exc!r}')
        return NOT_RUN
    finally:
        for name in cluster.stand_ins():
            record.append_log(name, cluster.log_of(name))
        cluster.close()
