"""Runs a soak: traffic, fault injection and the checks at the end."""

import asyncio
import json
import random
import signal
import time
from pathlib import Path
from typing import Final, NamedTuple
from urllib.request import urlopen

from tests.platformworker import EVENTS

from ._callers import Caller, LoadBalancer
from ._cloud import SoakCloud
from ._cluster import CONTROL, GRACE_S, SoakCluster
from ._oracle import (
    ConfigObservation,
    Execution,
    NamedLimit,
    ReceivedOrder,
    SoakHistory,
    find_violations,
)
from ._plan import (
    Cut,
    CutSpan,
    Fault,
    FaultKind,
    LimitSpan,
    draw_cuts,
    draw_faults,
    draw_limits,
)
from ._proxy import Mode

START_TIMEOUT_S: Final = 20.0
# Covers the replacement of a wiped disk, elections and held orders.
SETTLE_S: Final = 16.0
LAST_CALLS: Final = 40
MIN_SERVED_FRACTION: Final = 0.9  # of the last calls, after the faults
FAULT_MARGIN_S: Final = 2.0  # responses may still break after a fault
STOP_WAIT_S: Final = 0.3  # for connections and workers to close
READ_INTERVAL_S: Final = 0.5
OK: Final = 200
MODES: Final = {
    FaultKind.DELAY: Mode.DELAY,
    FaultKind.SILENCE: Mode.SILENCE,
    FaultKind.ONE_WAY: Mode.ONE_WAY,
}
# Graceful restarts, reloads, configuration changes and delays must not
# truncate responses.
NON_DISRUPTIVE: Final = frozenset(
    (FaultKind.TERM, FaultKind.HUP, FaultKind.CONFIG, FaultKind.DELAY)
)


class Result(NamedTuple):
    """The counts and violations of a soak."""

    requests: int
    faults: int
    violations: list[str]


class Soak:
    """One soak with one seed."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        *,
        callers: int = 8,
        engines: int = 3,
        former_build: str = '',
    ) -> None:
        self._rng = random.Random(seed)
        self._cluster = SoakCluster(folder, engines, former_build)
        self._cloud = SoakCloud(seed, former_build)
        self._seconds = seconds
        self._balancer = LoadBalancer(self._cluster)
        self._callers = [
            Caller(
                self._cluster, self._balancer, random.Random(self._rng.random())
            )
            for _caller in range(callers)
        ]
        self._faults = draw_faults(seed, self._cluster.components, seconds)
        self._limits: list[LimitSpan] = []
        if self._cluster.knows_limits:
            self._limits = draw_limits(seed, self._cluster.components, seconds)
        self._cuts = draw_cuts(seed, self._cluster.components, seconds)
        self._named: list[NamedLimit] = []
        self._configs: list[ConfigObservation] = []
        self._upgrade_rng = random.Random(f'upgrades {seed}')
        self._upgrade_lock = asyncio.Lock()
        self._upgrades: list[tuple[float, float]] = []
        self._version = 0
        self._began_at = 0.0
        self._ended_at = 0.0

    async def run(self) -> Result:
        """Inject all faults under traffic and check the observations."""
        try:
            await self._start()
            await asyncio.wait_for(self._wait_until_serving(), START_TIMEOUT_S)
            await self._run_traffic()
        finally:
            self._stop()
            await asyncio.sleep(STOP_WAIT_S)
        return self._evaluate()

    async def _start(self) -> None:
        await self._cloud.start()
        self._cluster.cloud_address = self._cloud.address
        await self._cluster.start()

    def _stop(self) -> None:
        self._cluster.stop()
        self._cloud.stop()

    async def _run_traffic(self) -> None:
        runs = [one.run() for one in self._callers]
        tasks = [
            asyncio.create_task(one)
            for one in (*runs, self._balancer.run(), self._read_configs())
        ]
        self._began_at = time.monotonic()
        try:
            await asyncio.gather(
                *(self._inject(one) for one in self._faults),
                *(self._name_limit(one) for one in self._limits),
                *(self._cut_off(one) for one in self._cuts),
                self._upgrade_all(),
                self._cloud.misbehave(self._seconds),
            )
            await asyncio.sleep(SETTLE_S)
        finally:
            self._ended_at = time.monotonic()
            for task in tasks:
                task.cancel()

    async def _wait_until_serving(self) -> None:
        while not await self._put_config():
            await asyncio.sleep(READ_INTERVAL_S)

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        match fault.kind:
            case FaultKind.CONFIG:
                await self._change_keys()
            case FaultKind.CRASH:
                self._cluster.proxies[fault.component].reset()
                self._cluster.start_worker(fault.component)
            case FaultKind.RESET:
                self._cluster.proxies[fault.component].reset()
            case FaultKind.DELAY | FaultKind.SILENCE | FaultKind.ONE_WAY:
                self._cluster.proxies[fault.component].set_mode(
                    MODES[fault.kind]
                )
                await asyncio.sleep(fault.duration_s)
                self._cluster.proxies[fault.component].set_mode(Mode.PASS)
            case FaultKind.HUP:
                self._cluster.send(fault.component, signal.SIGHUP)
            case FaultKind.FREEZE:
                self._cluster.send(fault.component, signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                self._cluster.send(fault.component, signal.SIGCONT)
            case _:
                await self._restart_process(fault)

    async def _name_limit(self, span: LimitSpan) -> None:
        """Let a worker name a limit; one that replaces it names none."""
        await asyncio.sleep(span.at)
        worker = self._cluster.workers[span.component]
        began_at = time.monotonic()
        worker.limit = span.per_s
        try:
            await asyncio.sleep(span.duration_s)
        finally:
            worker.limit = None
            self._named.append(
                NamedLimit(worker.name, began_at, time.monotonic(), span.per_s)
            )

    async def _cut_off(self, span: CutSpan) -> None:
        """Let an entry VM reach no target for a while."""
        await asyncio.sleep(span.at)
        self._cluster.cut(span.component, span.how)
        await asyncio.sleep(span.duration_s)
        self._cluster.cut(span.component, Cut.NONE)

    async def _restart_process(self, fault: Fault) -> None:
        number = signal.SIGKILL
        if fault.kind is FaultKind.TERM:
            number = signal.SIGTERM
        async with self._cluster.restarts[fault.component]:
            await self._end_process(fault.component, number)
            if fault.kind is FaultKind.WIPE:
                self._cluster.wipe(fault.component)
            await asyncio.sleep(fault.duration_s)
            self._cluster.start_process(fault.component)

    async def _end_process(self, vm: str, number: signal.Signals) -> None:
        self._cluster.send(vm, number)
        if not await self._cluster.wait_ended(vm, GRACE_S):
            self._cluster.send(vm, signal.SIGKILL)
            await self._cluster.wait_ended(vm, GRACE_S)

    async def _upgrade_all(self) -> None:
        """Replace the VMs of an earlier build, one after the other."""
        vms = sorted(self._cluster.former)
        self._upgrade_rng.shuffle(vms)
        gap_s = self._seconds / (len(vms) + 1)
        await asyncio.gather(
            *(
                self._upgrade(vm, number * gap_s)
                for number, vm in enumerate(vms, start=1)
            )
        )

    async def _upgrade(self, vm: str, delay_s: float) -> None:
        """Replace a VM after a delay, and after the one before."""
        await asyncio.sleep(delay_s)
        async with self._upgrade_lock, self._cluster.restarts[vm]:
            began_at = time.monotonic()
            await self._end_process(vm, signal.SIGTERM)
            self._cluster.former.discard(vm)
            self._cluster.start_process(vm)
            self._upgrades.append((began_at, time.monotonic()))

    async def _change_keys(self) -> None:
        """Grant a key to a caller, then withdraw it while it is in use."""
        key = f'k{self._version + 100}'
        if not await self._put_config(key):
            return
        caller = self._rng.choice(self._callers)
        caller.key = key
        await asyncio.sleep(1.0)
        while not await self._put_config(withdraws=key):
            await asyncio.sleep(READ_INTERVAL_S)
        await asyncio.sleep(1.0)
        if caller.key == key:
            caller.key = 'k1'

    async def _put_config(self, grants: str = '', withdraws: str = '') -> bool:
        self._version += 1
        version = self._version
        keys = ('k1', grants) if grants else ('k1',)
        sent_at = time.monotonic()
        vm = self._rng.choice(CONTROL)
        put = self._cluster.put_config
        status = await asyncio.to_thread(put, vm, version, keys)
        if status != OK:
            return False
        now = time.monotonic()
        seen = ConfigObservation(sent_at, now, version, is_read=False)
        self._configs.append(seen._replace(withdraws=withdraws))
        return True

    async def _read_configs(self) -> None:
        while True:
            vm = self._rng.choice(CONTROL)
            sent_at = time.monotonic()
            version = await asyncio.to_thread(self._read_version, vm)
            if version is not None:
                now = time.monotonic()
                seen = ConfigObservation(sent_at, now, version, is_read=True)
                self._configs.append(seen)
            await asyncio.sleep(READ_INTERVAL_S)

    def _read_version(self, vm: str) -> int | None:
        """Return a VM's configuration version, ``None`` without a response."""
        try:
            with urlopen(
                f'{self._cluster.control_url(vm)}/config', timeout=2
            ) as response:
                return int(json.loads(response.read())['version'])
        except (OSError, ValueError):
            return None

    def _evaluate(self) -> Result:
        calls = [call for one in self._callers for call in one.calls]
        calls.sort(key=lambda call: call.sent_at)
        history = SoakHistory(
            calls,
            self._executions(),
            self._orders(),
            self._configs,
            self._disturbed(),
            self._named,
        )
        violations = find_violations(history, EVENTS)
        ended = [one for one in calls if one.ended_at < self._ended_at]
        last = ended[-LAST_CALLS:]
        served = sum(call.status == OK and call.whole for call in last)
        if served < MIN_SERVED_FRACTION * LAST_CALLS:
            violations.append(f'{served} of the last {LAST_CALLS} calls served')
        violations.extend(self._cluster.failures)
        violations.extend(
            self._cloud.find_violations(history.executions, self._ended_at)
        )
        faults = len(self._faults) + len(self._cuts)
        return Result(len(calls), faults, violations)

    def _executions(self) -> list[Execution]:
        return [
            Execution(
                run.at,
                worker.name,
                run.headers['X-Request-Id'],
                run.path,
                run.headers.get('X-Tenant', ''),
                run.headers.get('X-Model', ''),
                'Authorization' in run.headers,
            )
            for worker in self._cluster.all_workers()
            for run in worker.request_log
        ]

    def _orders(self) -> list[ReceivedOrder]:
        return [
            ReceivedOrder(
                at, worker.name, order['holder'], order['fencingToken']
            )
            for worker in self._cluster.all_workers()
            for at, order in worker.order_log
        ]

    def _disturbed(self) -> list[tuple[float, float]]:
        """Return the spans in which a fault may truncate responses."""
        began = self._began_at
        spans = [
            (began + one.at, began + one.ends_at + FAULT_MARGIN_S)
            for one in self._faults
            if one.kind not in NON_DISRUPTIVE
        ]
        cuts = [
            (began + one.at, began + one.at + one.duration_s + FAULT_MARGIN_S)
            for one in self._cuts
        ]
        upgrades = [
            (began_at, ended_at + FAULT_MARGIN_S)
            for began_at, ended_at in self._upgrades
        ]
        return [*spans, *cuts, *upgrades, (self._ended_at, float('inf'))]
