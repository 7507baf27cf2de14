"""Callers with persistent connections, and their load balancer."""

import asyncio
import random
import secrets
import time
from typing import Final

import aiohttp

from ._cluster import ENTRIES, HOST, MODEL, SoakCluster
from ._oracle import Call, complete_events, event_ids

PAUSE_S: Final = (0.01, 0.12)  # between two requests of a caller
TIMEOUT_S: Final = 6.0
ADAPTERS: Final = 7
CHECK_INTERVAL_S: Final = 1.0  # between readiness checks
MAX_FAILED_CHECKS: Final = 2  # that take an entry VM out of rotation
OK: Final = 200
ROUTES: Final = ('plain', 'lm', 'once')


class LoadBalancer:
    """Assigns new connections to entry VMs that pass readiness checks."""

    def __init__(self, cluster: SoakCluster) -> None:
        self._cluster = cluster
        self._failed_checks = dict.fromkeys(ENTRIES, 0)

    def pick(self, rng: random.Random) -> str:
        """Return an entry VM for a new connection."""
        ready = [
            vm for vm in ENTRIES if self._failed_checks[vm] < MAX_FAILED_CHECKS
        ]
        return rng.choice(ready or ENTRIES)

    async def run(self) -> None:
        """Check all entry VMs periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = (self._check(session, vm) for vm in ENTRIES)
                await asyncio.gather(*checks)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, session: aiohttp.ClientSession, vm: str) -> None:
        url = f'http://{vm}:{self._cluster.ports.ready}/ready'
        status = 0
        try:
            async with session.get(url) as answer:
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0  # no answer counts as a failed check
        self._failed_checks[vm] = (
            0 if status == OK else self._failed_checks[vm] + 1
        )


class Caller:
    """Sends one request after the other over a persistent connection.

    It picks another entry VM only after its connection was closed.
    """

    def __init__(
        self,
        cluster: SoakCluster,
        balancer: LoadBalancer,
        rng: random.Random,
    ) -> None:
        self.calls: list[Call] = []
        self.key = 'k1'
        self._cluster = cluster
        self._rng = rng
        self._balancer = balancer
        self._entry = balancer.pick(rng)
        self._reuses_connection = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(TIMEOUT_S),
        ) as session:
            while True:
                if not self._reuses_connection:
                    self._entry = self._balancer.pick(self._rng)
                call = await self.call(session, self._rng.choice(ROUTES))
                while call.can_be_resumed:
                    self._entry = self._balancer.pick(self._rng)
                    call = await self._resume(session, call)
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def call(self, session: aiohttp.ClientSession, route: str) -> Call:
        """Send one request and record its outcome."""
        request_id = secrets.token_hex(8)
        path = f'/{route}/{request_id}'
        model = ''
        if route != 'plain':
            model = f'{MODEL}/a{self._rng.randrange(ADAPTERS)}'
        call = Call(
            request_id,
            path,
            self.key,
            model,
            repeatable=route == 'lm',
            sent_at=time.monotonic(),
            ended_at=0.0,
            status=0,
            body=b'',
            whole=False,
            entry=self._entry,
        )
        return await self._record(session, call)

    async def _resume(
        self, session: aiohttp.ClientSession, broken: Call
    ) -> Call:
        """Go on with a stream that broke off, maybe at another entry VM."""
        call = broken._replace(
            request_id=secrets.token_hex(8),
            sent_at=time.monotonic(),
            status=0,
            body=b'',
            entry=self._entry,
            resumes=broken.resumes or broken.request_id,
            received=broken.received + broken.body,
            resumptions=broken.resumptions + 1,
        )
        return await self._record(session, call)

    async def _record(self, session: aiohttp.ClientSession, call: Call) -> Call:
        try:
            call = await self._send(session, call)
        finally:  # also records a call that the end of the soak cancels
            call = call._replace(ended_at=time.monotonic())
            self.calls.append(call)
        return call

    async def _send(self, session: aiohttp.ClientSession, call: Call) -> Call:
        headers = {
            'Host': HOST,
            'X-Request-Id': call.request_id,
            'Authorization': f'Bearer {call.key}',
            'X-Deadline-Ms': str(int(TIMEOUT_S * 1_000)),
        }
        if call.model:
            headers['X-Model'] = call.model
            headers['X-Token-Count'] = '10,10'
        if call.resumes:
            headers['Resumes'] = call.resumes
            headers['Last-Event-Id'] = str(event_ids(call.received)[-1])
        url = f'http://{call.entry}:{self._cluster.ports.front}{call.path}'
        self._reuses_connection = False
        body = b''
        try:
            async with session.post(url, headers=headers, data=b'{}') as answer:
                call = call._replace(status=answer.status)
                async for chunk in answer.content.iter_any():
                    body += chunk
                closes = answer.headers.get('Connection', '').lower()
                self._reuses_connection = closes != 'close'
        except (aiohttp.ClientError, OSError, TimeoutError):
            return call._replace(body=complete_events(body))
        return call._replace(body=body, whole=True)
