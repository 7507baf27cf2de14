"""Callers that keep their connections open and note what they get."""

import asyncio
import random
import secrets
import time
from typing import Final

import aiohttp

from ._oracle import Call
from ._rig import ENTRIES, HOST, MODEL, Rig

PAUSE_S: Final = (0.01, 0.12)  # between the requests of a caller
TIMEOUT_S: Final = 6.0
ADAPTERS: Final = 7
CHECK_S: Final = 1.0  # between looks at /ready
MISSES: Final = 2  # that take an entry VM out of rotation
OK: Final = 200
ROUTES: Final = ('plain', 'lm', 'once')


class Balancer:
    """Sends new connections to entry VMs that say they are ready."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._misses = dict.fromkeys(ENTRIES, 0)

    def pick(self, rng: random.Random) -> str:
        """Return an entry VM for a new connection."""
        ready = [vm for vm in ENTRIES if self._misses[vm] < MISSES]
        return rng.choice(ready or ENTRIES)

    async def run(self) -> None:
        """Look at all entry VMs until cancelled."""
        timeout = aiohttp.ClientTimeout(CHECK_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = (self._check(session, vm) for vm in ENTRIES)
                await asyncio.gather(*checks)
                await asyncio.sleep(CHECK_S)

    async def _check(self, session: aiohttp.ClientSession, vm: str) -> None:
        url = f'http://{vm}:{self._rig.ports.ready}/ready'
        status = 0
        try:
            async with session.get(url) as answer:
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0  # no answer is a miss as well
        self._misses[vm] = 0 if status == OK else self._misses[vm] + 1


class Caller:
    """Sends one request after the other to one entry VM.

    It stays on its connection until the entry VM closes it.
    """

    def __init__(
        self,
        rig: Rig,
        balancer: Balancer,
        rng: random.Random,
    ) -> None:
        self.calls: list[Call] = []
        self.key = 'k1'
        self._rig = rig
        self._rng = rng
        self._balancer = balancer
        self._entry = balancer.pick(rng)
        self._keeps = False  # the connection is kept for another request

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(TIMEOUT_S),
        ) as session:
            while True:
                if not self._keeps:
                    self._entry = self._balancer.pick(self._rng)
                await self.call(session, self._rng.choice(ROUTES))
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def call(self, session: aiohttp.ClientSession, route: str) -> Call:
        """Send one request and note its end."""
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
        try:
            call = await self._send(session, call)
        finally:  # a call that the soak's end cancels counts as well
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
        url = f'http://{call.entry}:{self._rig.ports.front}{call.path}'
        self._keeps = False
        try:
            async with session.post(url, headers=headers, data=b'{}') as answer:
                call = call._replace(status=answer.status)
                body = await answer.read()
                closes = answer.headers.get('Connection', '').lower()
                self._keeps = closes != 'close'
        except (aiohttp.ClientError, OSError, TimeoutError):
            return call
        return call._replace(body=body, whole=True)
