"""The pause that a target asked for is forgotten when its record is dropped.

A target turns requests away with 503 and Retry-After. It is cut off from the
control machines for some seconds and registers itself anew afterwards. The
entry machines, which were not restarted, frozen or cut, send it requests
again before its pause has ended.
"""

import asyncio
import math
import sys
from collections import Counter
from pathlib import Path
from typing import Final

from harness import http1
from harness.callers import Callers
from harness.cluster import ZONES, free_port
from harness.deployment import PATH, SERVICE, config
from harness.runner import BROKEN, HELD, NOT_RUN, Stage, main, start
from harness.worker import Worker

CUT_S: Final = 5.0
SETTLE_S: Final = 4.0
PAUSE_S: Final = 20.0
TOLERANCE_S: Final = 0.5  # after the answer that asks for the pause
ALLOWED: Final = 2  # requests from one machine within the pause
WORK_S: Final = 0.4
REFUSAL_S: Final = 0.1  # in its queue
CALL_INTERVAL_S: Final = 0.01


class PausingWorker(Worker):
    """A target that wants nothing for a time, and says so."""

    pause_until = 0.0  # s since the start of the run

    async def run(self, request_id: str, echoed: dict[str, str]) -> bytes:
        """Turn a request away within the pause; run others."""
        if self.record.now() >= self.pause_until:
            return await super().run(request_id, echoed)
        await asyncio.sleep(REFUSAL_S)
        left_s = math.ceil(max(1.0, self.pause_until - self.record.now()))
        self.record.write(f'{self.name} turns {request_id} away')
        refusal = {'X-Not-Executed': '1', 'Retry-After': str(left_s)}
        return http1.encode(
            'HTTP/1.1 503 Service Unavailable', {**echoed, **refusal}
        )


async def play(stage: Stage) -> int:
    """Run the case; return the exit status."""
    record = stage.record
    pausing = PausingWorker('w-pausing', SERVICE, ZONES[0], free_port(), record)
    others = [
        Worker(f'w-{number}', SERVICE, zone, free_port(), record)
        for number, zone in enumerate(ZONES)
    ]
    for worker in (pausing, *others):
        worker.work_s = WORK_S
    if not await start(stage, config(), [pausing, *others]):
        return NOT_RUN
    callers = Callers(
        stage.cluster.front_addresses(), PATH, CALL_INTERVAL_S, record
    )
    calls = asyncio.create_task(callers.run(2 * SETTLE_S + PAUSE_S))
    await asyncio.sleep(SETTLE_S)
    pausing.pause_until = record.now() + PAUSE_S
    record.write(f'{pausing.name} wants a pause of {PAUSE_S} s')
    await asyncio.sleep(SETTLE_S)
    if stage.trouble:
        record.write(f'{pausing.name} is cut off from control for {CUT_S} s')
        pausing.is_cut_from_control = True
        await asyncio.sleep(CUT_S)
        pausing.is_cut_from_control = False
        record.write(f'{pausing.name} reaches control again')
    await calls
    for worker in (pausing, *others):
        await worker.stop()
    return _judge(stage, pausing, callers)


def _judge(stage: Stage, pausing: PausingWorker, callers: Callers) -> int:
    record = stage.record
    served = sum(status == 200 for status in callers.statuses.values())
    record.write(f'{served} of {len(callers.statuses)} were served')
    asked_at = pausing.pause_until - PAUSE_S
    within = [one for one in pausing.arrivals if one.at > asked_at]
    first_by_front: dict[str, float] = {}
    counts: Counter[str] = Counter()
    for arrival in within:
        front = callers.fronts[arrival.request_id]
        answered_at = arrival.at + REFUSAL_S
        begins_at = first_by_front.setdefault(front, answered_at) + TOLERANCE_S
        if begins_at < arrival.at < pausing.pause_until:
            counts[front] += 1
    if not first_by_front:
        record.write('the case could not run: no request was turned away')
        return NOT_RUN
    for front, count in sorted(counts.items()):
        record.write(f'{count} requests came from {front} within the pause')
    if any(count > ALLOWED for count in counts.values()):
        return BROKEN
    record.write('no machine sent more than two requests within the pause')
    return HELD


if __name__ == '__main__':
    sys.exit(main(Path(__file__), play))
