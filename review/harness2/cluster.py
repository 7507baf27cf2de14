"""Starts the project's programs as processes on loopback addresses.

Three control VMs and some entry VMs run with the commands of the deploy file,
each with a settings file like one of a small deployment.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
from pathlib import Path
from typing import Final

REPOSITORY: Final = Path(__file__).resolve().parents[2]
DEPS: Final = REPOSITORY / 'target' / 'deps'
PYTHON: Final = 'python3'
ZONE: Final = 'z1'
CONTROL_HOSTS: Final = (11, 12, 13)
FIRST_ENTRY_HOST: Final = 21
WORKER_HOST: Final = 31
METRICS_PORT: Final = 9464
STOP_TIMEOUT_S: Final = 5.0
MAX_SUBNET_TRIES: Final = 200
# Of the sheet of a small deployment.
BOUNDS: Final = {
    'contactMs': 3000,
    'configApplyMs': 2000,
    'drainMs': 2000,
    'graceS': 8,
    'failClosed': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 54,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 17000,
    'leaseMs': 3000,
}


def free_port(host: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def find_subnet() -> str:
    """Return the first three numbers of loopback addresses nobody uses."""
    rng = random.SystemRandom()
    for _try in range(MAX_SUBNET_TRIES):
        subnet = f'127.{rng.randint(10, 250)}.{rng.randint(1, 250)}'
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f'{subnet}.{CONTROL_HOSTS[0]}', METRICS_PORT))
            return subnet
    raise OSError('no free loopback addresses')


class Cluster:
    """The processes of one run; ``close`` ends all of them."""

    def __init__(self, entries: int = 1) -> None:
        self.subnet = find_subnet()
        self.controls = [f'{self.subnet}.{host}' for host in CONTROL_HOSTS]
        self.entries = [
            f'{self.subnet}.{FIRST_ENTRY_HOST + index}'
            for index in range(entries)
        ]
        self.worker_host = f'{self.subnet}.{WORKER_HOST}'
        self.control_port = free_port(self.controls[0])
        self.peer_port = free_port(self.controls[1])
        self.front_port = free_port(self.entries[0])
        self.ready_port = free_port(self.controls[2])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._is_first_start = True

    @property
    def control_addresses(self) -> list[str]:
        """Return the addresses that serve operators and workers."""
        return [f'{vm}:{self.control_port}' for vm in self.controls]

    def start(self) -> None:
        """Start all control and entry VMs."""
        for vm in (*self.controls, *self.entries):
            self.start_vm(vm)
        self._is_first_start = False

    def start_vm(self, vm: str) -> None:
        """Start the process of one VM."""
        role = 'entry' if vm in self.entries else 'control'
        settings = self.folder / f'{vm}.toml'
        settings.write_text(self._settings(vm), encoding='utf-8')
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(DEPS),
            'LOVAGEMAST_SETTINGS': str(settings),
        }
        command = [PYTHON, '-m', 'lovagemast_platform', role]
        with (self.folder / f'{vm}.log').open('ab') as log:
            self.processes[vm] = subprocess.Popen(
                command, env=env, stdout=log, stderr=log, cwd=REPOSITORY
            )

    def start_stand_in(self, name: str, module: str, cfg: object) -> None:
        """Start a stand-in of this folder, with a JSON document."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(cfg), encoding='utf-8')
        command = [PYTHON, '-m', f'review.harness2.{module}', str(path)]
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=REPOSITORY
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what a process has written."""
        path = self.folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def stand_ins(self) -> list[str]:
        """Return the names of the stand-ins that were started."""
        vms = {*self.controls, *self.entries}
        return [name for name in self.processes if name not in vms]

    def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._temporary.cleanup()

    def _settings(self, vm: str) -> str:
        seeds = json.dumps(self.control_addresses)
        lines = [
            f'node = "{vm}"',
            f'ip = "{vm}"',
            f'zone = "{ZONE}"',
            f'internalPorts = [{self.peer_port}, {self.peer_port}]',
            f'seeds = {seeds}',
            f'bootstrap = {json.dumps(self._is_first_start)}',
        ]
        if vm in self.entries:
            lines += [
                '[listen]',
                f'front = "{vm}:{self.front_port}"',
                f'ready = "{vm}:{self.ready_port}"',
            ]
        else:
            data = self.folder / f'data-{vm}'
            data.mkdir(exist_ok=True)
            lines += [
                f'dataDir = "{data}"',
                '[listen]',
                f'control = "{vm}:{self.control_port}"',
            ]
        lines += ['[limits]', 'memoryMb = 300', 'maxFds = 4100']
        lines += ['[faultTolerance]', 'machines = 1', 'zones = 1']
        lines.append('[bounds]')
        lines += [f'{name} = {json.dumps(v)}' for name, v in BOUNDS.items()]
        return '\n'.join(lines) + '\n'
