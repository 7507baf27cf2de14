"""Runs a soak: traffic, faults, and the checks at its end."""

import asyncio
import json
import random
import signal
import time
from pathlib import Path
from typing import Final, NamedTuple
from urllib.request import urlopen

from tests.platformworker import EVENTS

from ._callers import Balancer, Caller
from ._oracle import (
    ConfigSeen,
    Ordered,
    Record,
    Run,
    find_violations,
)
from ._plan import Fault, Kind, draw_faults
from ._proxy import Mode
from ._rig import CONTROL, GRACE_S, Rig

START_S: Final = 20.0
SETTLE_S: Final = 16.0  # for a wiped disk, elections and held orders
LAST_CALLS: Final = 40
LEAST_SERVED: Final = 0.9  # of the last calls, once faults are over
AROUND_S: Final = 2.0  # in which a fault may still cut answers
STOP_S: Final = 0.3  # for connections and workers to end
READ_EVERY_S: Final = 0.5
OK: Final = 200
MODES: Final = {
    Kind.DELAY: Mode.DELAY,
    Kind.SILENCE: Mode.SILENCE,
    Kind.ONE_WAY: Mode.ONE_WAY,
}
# Planned work cuts no answer; nor does a change of the configuration.
HARMLESS: Final = frozenset((Kind.TERM, Kind.HUP, Kind.CONFIG, Kind.DELAY))


class Result(NamedTuple):
    """What a soak showed."""

    requests: int
    faults: int
    violations: list[str]


class Soak:
    """One run with one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        *,
        callers: int = 8,
        engines: int = 3,
    ) -> None:
        self._rng = random.Random(seed)
        self._rig = Rig(folder, engines)
        self._balancer = Balancer(self._rig)
        self._callers = [
            Caller(self._rig, self._balancer, random.Random(self._rng.random()))
            for _caller in range(callers)
        ]
        self._faults = draw_faults(seed, self._rig.cast, seconds)
        self._configs: list[ConfigSeen] = []
        self._version = 0
        self._began_at = 0.0
        self._ended_at = 0.0

    async def run(self) -> Result:
        """Play all faults under traffic and check what was seen."""
        try:
            await self._rig.start()
            await asyncio.wait_for(self._until_serving(), START_S)
            await self._play_all()
        finally:
            self._rig.stop()
            await asyncio.sleep(STOP_S)
        return self._judge()

    async def _play_all(self) -> None:
        runs = [one.run() for one in self._callers]
        tasks = [
            asyncio.create_task(one)
            for one in (*runs, self._balancer.run(), self._read_configs())
        ]
        self._began_at = time.monotonic()
        try:
            await asyncio.gather(*(self._play(one) for one in self._faults))
            await asyncio.sleep(SETTLE_S)
        finally:
            self._ended_at = time.monotonic()
            for task in tasks:
                task.cancel()

    async def _until_serving(self) -> None:
        while not await self._put_config():
            await asyncio.sleep(READ_EVERY_S)

    async def _play(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        match fault.kind:
            case Kind.CONFIG:
                await self._change_keys()
            case Kind.CRASH:
                self._rig.proxies[fault.who].reset()
                self._rig.start_worker(fault.who)
            case Kind.RESET:
                self._rig.proxies[fault.who].reset()
            case Kind.DELAY | Kind.SILENCE | Kind.ONE_WAY:
                self._rig.proxies[fault.who].set_mode(MODES[fault.kind])
                await asyncio.sleep(fault.for_s)
                self._rig.proxies[fault.who].set_mode(Mode.PASS)
            case Kind.HUP:
                self._rig.send(fault.who, signal.SIGHUP)
            case Kind.FREEZE:
                self._rig.send(fault.who, signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                self._rig.send(fault.who, signal.SIGCONT)
            case _:
                await self._restart(fault)

    async def _restart(self, fault: Fault) -> None:
        number = signal.SIGKILL
        if fault.kind is Kind.TERM:
            number = signal.SIGTERM
        self._rig.send(fault.who, number)
        if not await self._rig.ended(fault.who, GRACE_S):
            self._rig.send(fault.who, signal.SIGKILL)
            await self._rig.ended(fault.who, GRACE_S)
        if fault.kind is Kind.WIPE:
            self._rig.wipe(fault.who)
        await asyncio.sleep(fault.for_s)
        self._rig.start_process(fault.who)

    async def _change_keys(self) -> None:
        """Grant a key to one caller, then withdraw it under its requests."""
        key = f'k{self._version + 100}'
        if not await self._put_config(key):
            return
        caller = self._rng.choice(self._callers)
        caller.key = key
        await asyncio.sleep(1.0)
        while not await self._put_config(withdraws=key):
            await asyncio.sleep(READ_EVERY_S)
        await asyncio.sleep(1.0)
        if caller.key == key:
            caller.key = 'k1'

    async def _put_config(self, grants: str = '', withdraws: str = '') -> bool:
        self._version += 1
        version = self._version
        keys = ('k1', grants) if grants else ('k1',)
        sent_at = time.monotonic()
        vm = self._rng.choice(CONTROL)
        put = self._rig.put_config
        status = await asyncio.to_thread(put, vm, version, keys)
        if status != OK:
            return False
        now = time.monotonic()
        seen = ConfigSeen(sent_at, now, version, is_read=False)
        self._configs.append(seen._replace(withdraws=withdraws))
        return True

    async def _read_configs(self) -> None:
        while True:
            vm = self._rng.choice(CONTROL)
            sent_at = time.monotonic()
            version = await asyncio.to_thread(self._read_version, vm)
            if version is not None:
                now = time.monotonic()
                seen = ConfigSeen(sent_at, now, version, is_read=True)
                self._configs.append(seen)
            await asyncio.sleep(READ_EVERY_S)

    def _read_version(self, vm: str) -> int | None:
        """Return the version that a VM answers with, if it answers."""
        try:
            with urlopen(
                f'{self._rig.control_url(vm)}/config', timeout=2
            ) as got:
                return int(json.loads(got.read())['version'])
        except (OSError, ValueError):
            return None

    def _judge(self) -> Result:
        calls = [call for one in self._callers for call in one.calls]
        calls.sort(key=lambda call: call.sent_at)
        record = Record(
            calls,
            self._runs(),
            self._orders(),
            self._configs,
            self._disturbed(),
        )
        violations = find_violations(record, EVENTS)
        ended = [one for one in calls if one.ended_at < self._ended_at]
        last = ended[-LAST_CALLS:]
        served = sum(call.status == OK and call.whole for call in last)
        if served < LEAST_SERVED * LAST_CALLS:
            violations.append(f'{served} of the last {LAST_CALLS} calls served')
        return Result(len(calls), len(self._faults), violations)

    def _runs(self) -> list[Run]:
        return [
            Run(
                run.at,
                worker.name,
                run.headers['X-Request-Id'],
                run.path,
                run.headers.get('X-Tenant', ''),
                run.headers.get('X-Model', ''),
                'Authorization' in run.headers,
            )
            for worker in self._rig.all_workers()
            for run in worker.request_log
        ]

    def _orders(self) -> list[Ordered]:
        return [
            Ordered(at, worker.name, order['holder'], order['fencingToken'])
            for worker in self._rig.all_workers()
            for at, order in worker.order_log
        ]

    def _disturbed(self) -> list[tuple[float, float]]:
        """Return the spans in which a fault may cut answers."""
        began = self._began_at
        spans = [
            (began + one.at, began + one.ends_at + AROUND_S)
            for one in self._faults
            if one.kind not in HARMLESS
        ]
        return [*spans, (self._ended_at, float('inf'))]
