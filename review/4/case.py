"""A target that has deregistered is used again because of a late heartbeat.

A target is cut off from the control machines until its registration expires.
Then it leaves: it deregisters, which is acknowledged. A heartbeat that it
sent during the cut arrives afterwards, and registers it anew.
"""

import asyncio
import sys
from pathlib import Path
from typing import Final

from harness.callers import Callers
from harness.cluster import ZONES, free_port
from harness.deployment import PATH, SERVICE, config
from harness.runner import BROKEN, HELD, NOT_RUN, Stage, main, start
from harness.worker import Worker

CUT_S: Final = 5.0
SETTLE_S: Final = 5.0
LATE_S: Final = 1.0  # by which the heartbeat arrives after the departure
DRAIN_S: Final = 2.0  # drainMs
SERVING_S: Final = 8.0  # for which the target goes on after its departure
WORK_S: Final = 0.3
CALL_INTERVAL_S: Final = 0.02


async def play(stage: Stage) -> int:
    """Run the case; return the exit status."""
    record = stage.record
    leaving = Worker('w-leaving', SERVICE, ZONES[0], free_port(), record)
    others = [
        Worker(f'w-{number}', SERVICE, zone, free_port(), record)
        for number, zone in enumerate(ZONES)
    ]
    for worker in (leaving, *others):
        worker.work_s = WORK_S
    if not await start(stage, config(), [leaving, *others]):
        return NOT_RUN
    callers = Callers(
        stage.cluster.front_addresses(), PATH, CALL_INTERVAL_S, record
    )
    calls = asyncio.create_task(callers.run(SETTLE_S + CUT_S + SERVING_S))
    await asyncio.sleep(SETTLE_S)
    left_at = await _leave(stage, leaving)
    await calls
    for worker in (leaving, *others):
        await worker.stop()
    if left_at is None:
        record.write('the case could not run: nobody took the departure')
        return NOT_RUN
    return _judge(stage, leaving, callers, left_at)


async def _leave(stage: Stage, worker: Worker) -> float | None:
    """Have the target leave; return when that was acknowledged."""
    record = stage.record
    controls = stage.cluster.control_addresses()
    worker.is_cut_from_control = stage.trouble
    if stage.trouble:
        record.write(f'{worker.name} is cut off from control for {CUT_S} s')
    await asyncio.sleep(CUT_S / 2)
    late_beat = worker.next_beat()
    record.write(f'{worker.name} sends a heartbeat that is held up')
    await asyncio.sleep(CUT_S / 2)
    worker.is_cut_from_control = True  # sends no more heartbeats
    record.write(f'{worker.name} deregisters')
    left_at = await worker.call_control('DELETE', controls)
    record.write(f'its departure is acknowledged: {left_at}')
    await asyncio.sleep(LATE_S)
    taken_at = await worker.call_control('PUT', controls, late_beat)
    record.write(f'the late heartbeat arrives: {taken_at}')
    return left_at


def _judge(
    stage: Stage, worker: Worker, callers: Callers, left_at: float
) -> int:
    record = stage.record
    served = sum(status == 200 for status in callers.statuses.values())
    record.write(f'{served} of {len(callers.statuses)} were served')
    before = [one for one in worker.arrivals if one.at < left_at - CUT_S]
    if not before:
        record.write('the case could not run: the target got no request')
        return NOT_RUN
    late = [one for one in worker.arrivals if one.at > left_at + DRAIN_S]
    record.write(
        f'{len(late)} requests reached {worker.name} later than {DRAIN_S} s '
        'after its departure was acknowledged'
    )
    return BROKEN if late else HELD


if __name__ == '__main__':
    sys.exit(main(Path(__file__), play))
