"""A prompt part that crashes engines, and callers that send it.

The engines come back some seconds after a crash. Sound requests share their
caller and their other parts with the deadly ones; no two requests are alike.
"""

import asyncio
import itertools
import os
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final

from . import http1
from .callers import HOST, KEY
from .cluster import ZONES, free_port
from .deployment import config
from .engine import MODEL, Engine
from .runner import BROKEN, HELD, NOT_RUN, Stage, start

ENTRY_VMS: Final = tuple(f'127.0.0.{number}' for number in range(21, 27))
ENGINES: Final = 6
DEADLY_PART: Final = 'deadbeef'
SETTLE_S: Final = 4.0
RESTART_S: Final = 3.0
SOUND_INTERVAL_S: Final = 0.05
DEADLY_INTERVAL_S: Final = 0.6
TIMEOUT_S: Final = 12.0
CONTACT_S: Final = 3.0  # contactMs
CRASHES: Final = 5
ALLOWED: Final = 3


class Fleet:
    """The engines, which come back some seconds after a crash."""

    def __init__(self, stage: Stage, rng: random.Random) -> None:
        self.crashes: list[float] = []  # s since the start of the run
        self.error_share = 0.0  # of requests that are answered with 500
        self.deadly_part = DEADLY_PART
        self.crashes_after_event = False
        self.engines: list[Engine] = []
        self._stage = stage
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def add_all(self) -> None:
        """Add the engines, which are not started yet."""
        for number in range(ENGINES):
            self._add(ZONES[number % len(ZONES)], free_port())

    def _add(self, zone: str, port: int) -> Engine:
        name = f'engine-{next(self._numbers)}'
        engine = Engine(name, zone, port, self._stage.record, self._on_crash)
        engine.fails = self._fails
        engine.is_deadly = lambda prefix: self.deadly_part in prefix
        engine.crashes_after_event = self.crashes_after_event
        self.engines.append(engine)
        return engine

    def _fails(self) -> bool:
        return self._rng.random() < self.error_share

    def _on_crash(self, engine: Engine, request_id: str) -> None:
        record = self._stage.record
        record.write(f'{engine.name} crashes at {request_id}')
        self.crashes.append(record.now())
        engine.end()
        task = asyncio.create_task(self._replace(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, crashed: Engine) -> None:
        await asyncio.sleep(RESTART_S)
        engine = self._add(crashed.zone, crashed.port)
        await engine.start(self._stage.cluster.control_addresses())

    async def stop(self) -> None:
        """Stop all engines."""
        for task in self._tasks:
            task.cancel()
        for engine in self.engines:
            await engine.stop()


class Requests:
    """Sends sound requests and those with the deadly part."""

    def __init__(self, stage: Stage, rng: random.Random) -> None:
        self.statuses: dict[str, int] = {}
        self._stage = stage
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    def stop(self) -> None:
        """Send no further requests."""
        self._is_stopped = True

    async def run(self, kind: str, interval_s: float) -> None:
        """Send requests of a kind at a steady pace until stopped."""
        while not self._is_stopped:
            task = asyncio.create_task(self._send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(interval_s)
        await asyncio.gather(*self._tasks)

    async def _send(self, kind: str) -> None:
        number = next(self._numbers)
        request_id = f'{kind}-{number:04}'
        middle = DEADLY_PART if kind == 'deadly' else 'bb'
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(int(TIMEOUT_S * 1000)),
            'Authorization': f'Bearer {KEY}',
            'X-Model': MODEL,
            'X-Token-Count': '100,20',
            'X-Prompt-Prefix': f'aa:50,{middle}:30,{number:x}:20',
        }
        front = self._rng.choice(self._stage.cluster.front_addresses())
        body = f'prompt {number}'.encode()
        response = await http1.call(
            front, 'POST', '/app/ask', headers, body, timeout_s=TIMEOUT_S
        )
        status = response.status if response else 0
        self.statuses[request_id] = status
        self._stage.record.write(f'{front} answers {status} to {request_id}')


def deployment() -> dict[str, Any]:
    """Return a configuration with a resumable stream to engines."""
    document = config()
    route = {
        **document['routes'][0],
        'kind': 'streaming',
        'service': 'engines',
        'timeoutMs': int(TIMEOUT_S * 1000),
        'targetLatencyMs': 600,
        'gapTargetMs': 300,
        'sticky': True,
        'resumable': True,
    }
    model = {'name': MODEL, 'weightsMb': 100, 'loadS': 1.0, 'adapters': 0}
    engine = {
        'slots': 64,
        'kvCapacity': 135227,
        'weightsMb': 200,
        'adapterSlots': 4,
        'loadsPerS': 3.9,
        'models': [{**model, 'adapterMb': 66}],
    }
    service = {**document['services'][0], 'name': 'engines', 'engine': engine}
    return {**document, 'routes': [route], 'services': [service]}


Disruption = Callable[[Fleet], Awaitable[float]]


async def play(
    stage: Stage, fleet: Fleet, requests: Requests, disrupt: Disruption
) -> int:
    """Send both kinds of requests, the deadly ones after some seconds.

    Return the exit status. ``disrupt`` runs beside the deadly requests, and
    returns for how long they go on after it.
    """
    fleet.add_all()
    if not await start(stage, deployment(), list(fleet.engines)):
        return NOT_RUN
    sound = asyncio.create_task(requests.run('sound', SOUND_INTERVAL_S))
    await asyncio.sleep(SETTLE_S)
    deadly = asyncio.create_task(requests.run('deadly', DEADLY_INTERVAL_S))
    await asyncio.sleep(await disrupt(fleet))
    requests.stop()
    await sound
    await deadly
    await fleet.stop()
    return judge(stage, fleet, requests)


def seeded(stage: Stage) -> random.Random:
    """Return a source of random numbers, by the variable ``SEED`` if set."""
    seed = int(os.environ.get('SEED', random.randrange(10_000)))
    stage.record.write(f'seed {seed}')
    return random.Random(seed)


def judge(stage: Stage, fleet: Fleet, requests: Requests) -> int:
    """Tell whether too many requests came after the fifth crash."""
    record = stage.record
    sound = [
        status
        for name, status in requests.statuses.items()
        if name.startswith('sound')
    ]
    served = sum(status == 200 for status in sound)
    record.write(f'{served} of {len(sound)} sound requests were served')
    record.write(f'{len(fleet.crashes)} crashes')
    if len(fleet.crashes) < CRASHES:
        return HELD if served > len(sound) / 2 else NOT_RUN
    begins_at = fleet.crashes[CRASHES - 1] + CONTACT_S
    late = [
        arrival
        for engine in fleet.engines
        for arrival in engine.arrivals
        if arrival.at > begins_at and arrival.request_id.startswith('deadly')
    ]
    record.write(
        f'{len(late)} requests with the part reached engines later than '
        f'{CONTACT_S} s after the fifth crash, at {begins_at:.3f} s'
    )
    return BROKEN if len(late) > ALLOWED else HELD
