"""An order to take a zone back is carried out after a newer evacuation.

A control machine is frozen while the operator takes an evacuated zone back.
Another machine acknowledges that, and then the evacuation that the operator
orders next. The frozen machine, once it goes on, carries out the first order.
"""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Final

from harness.callers import Callers
from harness.cluster import CONTROL, ZONES, free_port
from harness.deployment import PATH, SERVICE, config
from harness.runner import BROKEN, HELD, NOT_RUN, Stage, main, start
from harness.worker import Worker

ZONE: Final = ZONES[1]
FROZEN: Final = 2  # position of the machine that is frozen
FREEZE_S: Final = 4.0
SETTLE_S: Final = 4.0
CALL_INTERVAL_S: Final = 0.1
PAUSE_S: Final = 1.0  # between the two orders of the operator
# evacuateMs, and maxStretchMs because the core was not stable.
BOUND_S: Final = 5.0 + 5.0
OBSERVED_S: Final = 6.0  # after the bound


async def play(stage: Stage) -> int:
    """Run the case; return the exit status."""
    record = stage.record
    workers = [
        Worker(f'w-{zone}', SERVICE, zone, free_port(), record)
        for zone in ZONES
    ]
    if not await start(stage, config(), workers):
        return NOT_RUN
    callers = Callers(
        stage.cluster.front_addresses(), PATH, CALL_INTERVAL_S, record
    )
    duration_s = 3 * SETTLE_S + FREEZE_S + BOUND_S + OBSERVED_S
    calls = asyncio.create_task(callers.run(duration_s))
    await asyncio.sleep(SETTLE_S)
    begins_at = await _give_orders(stage) + BOUND_S
    await asyncio.sleep(begins_at + OBSERVED_S - record.now())
    span = (begins_at, record.now())
    await calls
    for worker in workers:
        await worker.stop()
    return _judge(stage, workers[1], callers, span)


async def _give_orders(stage: Stage) -> float:
    """Evacuate the zone, take it back, evacuate it again.

    Return when the last order was acknowledged.
    """
    path = f'/evacuations/{ZONE}'
    await stage.operator.order('POST', path)
    await asyncio.sleep(SETTLE_S)
    freeze = asyncio.create_task(_freeze(stage))
    await asyncio.sleep(0)
    await stage.operator.order('DELETE', path, first=FROZEN)
    await asyncio.sleep(PAUSE_S)
    evacuated_at = await stage.operator.order('POST', path)
    await freeze
    return evacuated_at


async def _freeze(stage: Stage) -> None:
    if not stage.trouble:
        return
    stage.record.write(f'{CONTROL[FROZEN]} is frozen for {FREEZE_S} s')
    stage.cluster.send_signal(CONTROL[FROZEN], signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    stage.cluster.send_signal(CONTROL[FROZEN], signal.SIGCONT)
    stage.record.write(f'{CONTROL[FROZEN]} goes on')


def _judge(
    stage: Stage, worker: Worker, callers: Callers, span: tuple[float, float]
) -> int:
    begins_at, ends_at = span
    late = [one for one in worker.arrivals if begins_at < one.at < ends_at]
    served = sum(status == 200 for status in callers.statuses.values())
    stage.record.write(f'{served} of {len(callers.statuses)} were served')
    if served < len(callers.statuses) / 2:
        stage.record.write('the case could not run: too few were served')
        return NOT_RUN
    stage.record.write(
        f'{len(late)} requests reached {ZONE} from {begins_at:.3f} s to '
        f'{ends_at:.3f} s, while its evacuation was in force'
    )
    return BROKEN if late else HELD


if __name__ == '__main__':
    sys.exit(main(Path(__file__), play))
