"""A small deployment: its configuration, its workers and its start."""

import asyncio
import secrets
import time
from typing import Any, Final, NamedTuple

from .cluster import Cluster, free_port
from .http1 import Channel, call
from .worker import COLD_S, MODEL, OK, SLOTS

HOST: Final = 'review.example'
KEY: Final = 'k-review-1'
ACCOUNT: Final = 't1'
STREAM_PATH: Final = '/lm/'
POST_PATH: Final = '/post/'
POST_TIMEOUT_S: Final = 1.0  # ``timeoutMs`` of the route
POST_DEADLINE_MS: Final = 4000  # that clients of this route will wait
STREAM_TIMEOUT_S: Final = 12.0
WORK_PATH: Final = '/work/'
WORK_TIMEOUT_S: Final = 3.0
COLD_PER_S: Final = 20.0
START_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.2


class WorkerSpec(NamedTuple):
    """One worker of the deployment."""

    name: str
    service: str
    trouble: str = ''
    more: dict[str, Any] = {}  # what the worker is told beside

    @property
    def is_engine(self) -> bool:
        """Return whether the worker runs a model."""
        return self.service == 's-lm'


def configuration(version: int = 1) -> dict[str, Any]:
    """Return the configuration that the operator puts."""
    engine = {
        'slots': SLOTS,
        'kvCapacity': 151_140,
        'weightsMb': 76_100.0,
        'adapterSlots': 8,
        'loadsPerS': 3.2,
        'models': [{'name': MODEL, 'weightsMb': 72_700.0, 'loadS': 2.1}],
    }
    return {
        'version': version,
        'routes': [
            {
                'name': 'lm',
                'hostname': HOST,
                'pathPrefix': STREAM_PATH,
                'kind': 'streaming',
                'timeoutMs': int(STREAM_TIMEOUT_S * 1000),
                'targetLatencyMs': 600,
                'priority': 0,
                'service': 's-lm',
                'maxAttempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
                'gapTargetMs': 250,
            },
            {
                'name': 'post',
                'hostname': HOST,
                'pathPrefix': POST_PATH,
                'kind': 'unsafe',
                'timeoutMs': int(POST_TIMEOUT_S * 1000),
                'targetLatencyMs': 150,
                'priority': 2,
                'service': 's-app',
                'maxAttempts': 1,
                'public': False,
            },
            {
                'name': 'work',
                'hostname': HOST,
                'pathPrefix': WORK_PATH,
                'kind': 'unsafe',
                'timeoutMs': int(WORK_TIMEOUT_S * 1000),
                'targetLatencyMs': 400,
                'priority': 2,
                'service': 's-app',
                'maxAttempts': 1,
                'public': False,
            },
        ],
        'services': [
            {
                'name': 's-lm',
                'maxConnections': 360,
                'coldStartS': COLD_S,
                'coldPerS': COLD_PER_S,
                'engine': engine,
            },
            {'name': 's-app', 'maxConnections': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': ACCOUNT, 'apiKeys': [KEY], 'priority': 1}],
    }


def request_headers(**more: str) -> dict[str, str]:
    """Return the headers that each client sends, with a new id."""
    headers = {
        'Host': HOST,
        'X-Request-Id': secrets.token_hex(8),
        'Authorization': f'Bearer {KEY}',
    }
    headers.update({name.replace('_', '-'): v for name, v in more.items()})
    return headers


def start_workers(cluster: Cluster, specs: list[WorkerSpec]) -> None:
    """Start the workers as processes."""
    for spec in specs:
        start_worker(cluster, spec)


def start_worker(cluster: Cluster, spec: WorkerSpec) -> None:
    """Start a worker as a process, at an address of its own."""
    port = free_port(cluster.worker_host)
    cfg = {
        'name': spec.name,
        'service': spec.service,
        'address': f'{cluster.worker_host}:{port}',
        'controls': cluster.control_addresses,
        'engine': spec.is_engine,
        'trouble': spec.trouble,
        **spec.more,
    }
    cluster.start_stand_in(spec.name, 'worker', cfg)


async def wait_until_serving(cluster: Cluster) -> bool:
    """Put the configuration, and wait until both routes answer."""
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while await _put(cluster) != OK:
        if time.monotonic() > give_up_at:
            return False
        await asyncio.sleep(POLL_S)
    for entry in cluster.entries:
        front = f'{entry}:{cluster.front_port}'
        while not await answers(front):
            if time.monotonic() > give_up_at:
                return False
            await asyncio.sleep(POLL_S)
    return True


async def answers(front: str) -> bool:
    """Return whether an ordinary request is answered with 200."""
    try:
        async with asyncio.timeout(1.0):
            channel = await Channel.open(front)
            deadline = str(POST_DEADLINE_MS)
            headers = request_headers(X_Deadline_Ms=deadline)
            channel.send('POST', f'{POST_PATH}ready', headers, b'{}')
            head = await channel.read_head()
            await channel.read_body(head)
            channel.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    return head.status == OK


async def _put(cluster: Cluster) -> int:
    address = cluster.control_addresses[0]
    return await call(address, 'PUT', '/config', configuration())
