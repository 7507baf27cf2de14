"""The configuration of the cases, and the wait until it serves."""

import asyncio
from typing import Any, Final

from . import http1
from .callers import HOST, KEY
from .cluster import Cluster

SERVICE: Final = 'app'
PATH: Final = '/app/read'
READY_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.2


def config(version: int = 1) -> dict[str, Any]:
    """Return a configuration with one safe route and one tenant."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'read',
                'hostname': HOST,
                'pathPrefix': '/app/',
                'kind': 'safe',
                'timeoutMs': 3000,
                'targetLatencyMs': 1000,
                'priority': 0,
                'service': SERVICE,
                'maxAttempts': 2,
                'public': False,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'healthPath': '/health',
                'maxConnections': 100,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant', 'apiKeys': [KEY]}],
    }


async def wait_ready(cluster: Cluster) -> bool:
    """Wait until all entry machines say that they are ready."""
    for _poll in range(int(READY_TIMEOUT_S / POLL_S)):
        answers = [
            await http1.call(address, 'GET', '/ready', timeout_s=1.0)
            for address in cluster.ready_addresses()
        ]
        if all(one and one.status == 200 for one in answers):
            return True
        await asyncio.sleep(POLL_S)
    return False
