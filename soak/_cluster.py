"""The processes of a soak and their stand-in workers on loopback."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from tests.platformworker import Worker, put

from ._builds import (
    LIMIT_MESSAGE,
    SOFTWARE_MESSAGE,
    extract_build,
    knows_message,
)
from ._plan import Components, Cut
from ._proxy import Proxy

SIZES: Final = 4  # of successive configurations
ROUTES_STEP: Final = 450  # some 95 KB
CONTROL: Final = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
ENTRIES: Final = ('127.0.0.21', '127.0.0.22')
MODEL: Final = 'm'
ACCOUNT: Final = 't1'
HOST: Final = 'soak.example'
GRACE_S: Final = 8  # for a graceful shutdown
SOFTWARE: Final = ('v1', 'v2')


class Ports(NamedTuple):
    """The ports, which are the same on all VMs."""

    control: int
    peer: int
    front: int
    ready: int


class SoakCluster:
    """Three control VMs, two entry VMs and the workers behind proxies.

    With ``former_build`` the VMs run an earlier build until they are upgraded.
    """

    def __init__(
        self, folder: Path, engines: int, former_build: str = ''
    ) -> None:
        self.folder = folder
        self.former: set[str] = set()  # VMs that run the earlier build
        self._former_path = ''
        self.knows_limits = True
        self._software: tuple[str, ...] = SOFTWARE
        if former_build:
            build = folder / 'former'
            self._former_path = extract_build(former_build, build)
            self.former.update((*CONTROL, *ENTRIES))
            if not knows_message(build, SOFTWARE_MESSAGE):
                self._software = SOFTWARE[:1]
            self.knows_limits = knows_message(build, LIMIT_MESSAGE)
        self.cloud_address = ''
        self.ports = Ports(*(free_port() for _port in Ports._fields))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # One restart of a VM at a time: the process of another one would be
        # forgotten, and run on.
        self.restarts = {vm: asyncio.Lock() for vm in (*CONTROL, *ENTRIES)}
        self.proxies: dict[str, Proxy] = {}
        self.workers: dict[str, Worker] = {}
        self.former_workers: list[Worker] = []  # ended incarnations
        self.failures: list[str] = []  # of workers that ended by themselves
        self._worker_ports: dict[str, int] = {}
        self._worker_tasks: dict[str, asyncio.Task[None]] = {}
        self._first_start = True
        self._names = [f'w{index}' for index in range(engines)]

    @property
    def components(self) -> Components:
        """Return the components that faults may affect."""
        return Components(CONTROL, ENTRIES, tuple(self._names))

    async def start(self) -> None:
        """Start all VMs, proxies and workers."""
        for vm in CONTROL:
            self.start_process(vm)
        for vm in ENTRIES:
            self.start_process(vm)
        self._first_start = False
        for name in (*self._names, 'plain'):
            self._worker_ports[name] = free_port()
            self.proxies[name] = Proxy(free_port(), self._worker_ports[name])
        await asyncio.gather(*(one.start() for one in self.proxies.values()))
        for name in self.proxies:
            self.start_worker(name)

    def stop(self) -> None:
        """Kill the processes started here and stop workers and proxies."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for task in self._worker_tasks.values():
            task.cancel()
        for proxy in self.proxies.values():
            proxy.stop()

    def start_process(self, vm: str) -> None:
        """Start a VM's process, unless it runs.

        One of an earlier build can't be cut off from targets.
        """
        running = self.processes.get(vm)
        if running and running.poll() is None:
            return
        role = 'entry' if vm in ENTRIES else 'control'
        program = ['lovagemast_platform', role]
        if vm in ENTRIES and vm not in self.former:
            program = ['soak.cutentry', str(self._cut_path(vm))]
        path = self.folder / f'{vm}.toml'
        path.write_text(self._settings(vm), encoding='utf-8')
        with (self.folder / f'{vm}.log').open('ab') as log:
            self.processes[vm] = subprocess.Popen(
                [sys.executable, '-m', *program],
                env={
                    **os.environ,
                    'LOVAGEMAST_SETTINGS': str(path),
                    **self._import_path(vm),
                },
                stdout=log,
                stderr=log,
            )

    def cut(self, vm: str, how: Cut) -> None:
        """Cut an entry VM off from all targets, or no more if empty."""
        self._cut_path(vm).write_text(how, encoding='utf-8')

    def send(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process if it is running."""
        process = self.processes[vm]
        if process.poll() is None:
            process.send_signal(number)

    async def wait_ended(self, vm: str, timeout_s: float) -> bool:
        """Wait for a process to end; return whether it did in time."""
        process = self.processes[vm]
        try:
            await asyncio.to_thread(process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def wipe(self, vm: str) -> None:
        """Delete the data folder of a control VM."""
        shutil.rmtree(self._data_folder(vm), ignore_errors=True)

    def start_worker(self, name: str) -> None:
        """Start a worker, or a new incarnation that replaces it."""
        former = self.workers.get(name)
        if former:
            self._worker_tasks[name].cancel()
            self.former_workers.append(former)
        incarnation = sum(
            one.name.startswith(f'{name}-') for one in self.former_workers
        )
        controls = tuple(f'{vm}:{self.ports.control}' for vm in CONTROL)
        service = 's-plain' if name == 'plain' else 's-lm'
        worker = Worker(
            f'{name}-{incarnation}',
            service,
            self._worker_ports[name],
            controls[0],
            fallback_controls=controls[1:],
            advertised_port=self.proxies[name].port,
        )
        # Versions differ between workers and between their incarnations.
        number = self._names.index(name) if name in self._names else 0
        versions = self._software
        worker.software = versions[(number + incarnation) % len(versions)]
        self.workers[name] = worker
        task = asyncio.create_task(worker.serve(), name=worker.name)
        task.add_done_callback(self._on_worker_ended)
        self._worker_tasks[name] = task

    def all_workers(self) -> list[Worker]:
        """Return all incarnations of all workers."""
        return [*self.former_workers, *self.workers.values()]

    def control_url(self, vm: str) -> str:
        """Return a control VM's address for operators."""
        return f'http://{vm}:{self.ports.control}'

    def put_config(self, vm: str, version: int, keys: tuple[str, ...]) -> int:
        """Put a configuration; return the status, 0 without a response."""
        return put(f'{self.control_url(vm)}/config', _config(version, keys))

    def _on_worker_ended(self, task: 'asyncio.Task[None]') -> None:
        """Record a worker that could not listen, or failed."""
        if not task.cancelled():
            cause = f'{task.get_name()}: {task.exception()!r}'
            self.failures.append(f'stand-in ended: {cause}')

    def _import_path(self, vm: str) -> dict[str, str]:
        return {'PYTHONPATH': self._former_path} if vm in self.former else {}

    def _cut_path(self, vm: str) -> Path:
        return self.folder / f'{vm}.cut'

    def _data_folder(self, vm: str) -> Path:
        return self.folder / f'data-{vm}'

    def _settings(self, vm: str) -> str:
        ports = self.ports
        seeds = [f'{one}:{ports.control}' for one in CONTROL]
        self._data_folder(vm).mkdir(exist_ok=True)
        lines = (
            f'node = "{vm}"',
            f'ip = "{vm}"',
            'zone = "z1"',
            f'internalPorts = [{ports.peer}, {ports.peer}]',
            f'seeds = {json.dumps(seeds)}',
            f'bootstrap = {json.dumps(self._first_start)}',
            f'dataDir = "{self._data_folder(vm)}"',
            '[listen]',
            f'control = "{vm}:{ports.control}"',
            f'front = "{vm}:{ports.front}"',
            f'ready = "{vm}:{ports.ready}"',
            '[faultTolerance]',
            'machines = 1',
            '[bounds]',
            'failClosed = true',
            'revokeMs = 5000',
            'leaseMs = 3000',
            f'graceS = {GRACE_S}',
            'retrySlack = 50',
            '[cloud]',
            f'address = "{self.cloud_address}"',
            'duties = ["metering", "autoscale"]',
            'dutyPerS = 50.0',
        )
        return '\n'.join(lines)


def free_port() -> int:
    """Return an unused port on loopback."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def _config(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    engine = {
        'slots': 8,
        'weightsMb': 200,
        'adapterSlots': 3,
        'models': [{'name': MODEL, 'weightsMb': 100}],
    }
    return {
        'version': version,
        'routes': [
            _route('/lm/', 's-lm', resumable=True),
            _route('/once/', 's-lm', resumable=False),
            _route('/plain/', 's-plain', resumable=False),
            {**_route('/list/', 's-plain', resumable=False), 'kind': 'safe'},
            *_many_routes(version),
        ],
        'services': [{'name': 's-lm', 'engine': engine}, {'name': 's-plain'}],
        'tenants': [{'name': ACCOUNT, 'apiKeys': list(keys)}],
    }


def _many_routes(version: int) -> list[dict[str, Any]]:
    """Return routes by which successive configurations grow and shrink."""
    series, size = divmod(version, SIZES)
    return [
        _route(f'/more-{series}-{number}/', 's-plain', resumable=False)
        for number in range(size * ROUTES_STEP)
    ]


def _route(prefix: str, service: str, *, resumable: bool) -> dict[str, Any]:
    return {
        'name': prefix.strip('/'),
        'hostname': HOST,
        'pathPrefix': prefix,
        'kind': 'unsafe' if service == 's-plain' else 'streaming',
        'timeoutMs': 5_000,
        'targetLatencyMs': 600,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'resumable': resumable,
    }
