"""Registers a stand-in target at entry VMs, as real targets do."""

import argparse
import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

import aiohttp

ANNOUNCE_INTERVAL_S: Final = 2.0
RETRY_INTERVAL_S: Final = 0.2


class Announcer:
    """Registers a target periodically, at one entry VM after the other."""

    def __init__(
        self,
        facts: dict[str, Any],
        vms: list[str],
        key: str,
        incarnation: Callable[[], str],
    ) -> None:
        self._facts = facts
        self._vms = vms
        self._headers = {'Authorization': f'Bearer {key}'}
        self._incarnation = incarnation
        self._attempts = 0

    @classmethod
    def add_options(cls, parser: argparse.ArgumentParser) -> None:
        """Add the options that :meth:`from_options` reads."""
        parser.add_argument('--name', required=True)
        parser.add_argument('--zone', required=True)
        parser.add_argument('--pool', required=True)
        parser.add_argument('--port', type=int, required=True)
        parser.add_argument('--vms', required=True, help='host:port,…')
        parser.add_argument('--key', default='')

    @classmethod
    def from_options(
        cls,
        options: argparse.Namespace,
        incarnation: Callable[[], str],
    ) -> 'Announcer':
        """Return an announcer for parsed command-line options."""
        facts = {
            'target': options.name,
            'zone': options.zone,
            'pool': options.pool,
            'address': f'127.0.0.1:{options.port}',
            'adapter_slots': getattr(options, 'adapter_slots', 1),
            'max_in_flight': options.max_in_flight,
        }
        vms = options.vms.split(',')
        return cls(facts, vms, options.key, incarnation)

    async def run(self) -> None:
        """Register periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                accepted = await self._register(session)
                await asyncio.sleep(
                    ANNOUNCE_INTERVAL_S if accepted else RETRY_INTERVAL_S
                )

    async def _register(self, session: aiohttp.ClientSession) -> bool:
        vm = self._vms[self._attempts % len(self._vms)]
        self._attempts += 1
        document = {
            **self._facts,
            'incarnation': self._incarnation(),
            'seq': time.time_ns(),
        }
        try:
            async with session.post(
                f'http://{vm}/targets/register',
                json=document,
                headers=self._headers,
            ) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
