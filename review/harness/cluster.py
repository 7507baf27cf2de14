"""Starts the programs of the deploy file as separate processes."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
from pathlib import Path
from typing import Final, NamedTuple

ROOT: Final = Path(__file__).resolve().parents[2]
DEPS: Final = ROOT / 'target' / 'deps'
CONTROL: Final = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
ENTRIES: Final = ('127.0.0.21', '127.0.0.22')
ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
PORT_RANGE: Final = range(20_000, 32_000)
# The bounds of the sheets in SYSTEM.md.
BOUNDS: Final = {
    'seedLagS': 3,
    'contactMs': 3000,
    'ackTimeoutMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'failClosed': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 52,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 17000,
    'coldOverage': 1.5,
    'coldSlack': 5,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'fencingRequired': False,
    'leaseMs': 3000,
}


class Ports(NamedTuple):
    """The ports, which are the same on all machines."""

    control: int
    peer: int
    front: int
    ready: int


class Cluster:
    """Three control machines and some entry machines in three zones."""

    def __init__(self, entries: tuple[str, ...] = ENTRIES) -> None:
        self.entries = entries
        self.folder = Path(tempfile.mkdtemp(prefix='lovagemast-review-'))
        self.ports = Ports(*(free_port() for _port in Ports._fields))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._bootstrap = True

    def start(self) -> None:
        """Start all programs, for the first time."""
        for vm in (*CONTROL, *self.entries):
            self.start_process(vm)
        self._bootstrap = False

    def start_process(self, vm: str) -> None:
        """Start the program of one machine."""
        role = 'entry' if vm in self.entries else 'control'
        path = self.folder / f'{vm}.toml'
        path.write_text(self._settings(vm, role), encoding='utf-8')
        environment = {
            **os.environ,
            'LOVAGEMAST_SETTINGS': str(path),
            'PYTHONPATH': str(DEPS),
        }
        with (self.folder / f'{vm}.log').open('ab') as log:
            self.processes[vm] = subprocess.Popen(
                ['python3', '-m', 'lovagemast_platform', role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, vm: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine, if it runs."""
        process = self.processes[vm]
        if process.poll() is None:
            process.send_signal(number)

    def ended(self) -> list[str]:
        """Return the machines whose processes have ended."""
        return [
            vm
            for vm, process in self.processes.items()
            if process.poll() is not None
        ]

    def stop(self) -> None:
        """End all processes that were started here."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_of(self, vm: str) -> str:
        """Return what the process of a machine has written."""
        return (self.folder / f'{vm}.log').read_text(errors='replace')

    def control_addresses(self) -> list[str]:
        """Return the addresses of the operator's interface."""
        return [f'{vm}:{self.ports.control}' for vm in CONTROL]

    def front_addresses(self) -> list[str]:
        """Return the addresses that clients connect to."""
        return [f'{vm}:{self.ports.front}' for vm in self.entries]

    def ready_addresses(self) -> list[str]:
        """Return the addresses that tell whether a machine is ready."""
        return [f'{vm}:{self.ports.ready}' for vm in self.entries]

    def _settings(self, vm: str, role: str) -> str:
        ports = self.ports
        data = self.folder / f'data-{vm}'
        data.mkdir(exist_ok=True)
        group = self.entries if role == 'entry' else CONTROL
        is_entry = role == 'entry'
        listen = [f'control = "{vm}:{ports.control}"']
        if is_entry:
            listen = [
                f'front = "{vm}:{ports.front}"',
                f'ready = "{vm}:{ports.ready}"',
            ]
        lines = [
            f'node = "{role}-{vm}"',
            f'role = "{role}"',
            f'machineClass = "{"front" if is_entry else "core"}"',
            f'serves = ["{"front" if is_entry else "control"}"]',
            f'ip = "{vm}"',
            f'zone = "{ZONES[group.index(vm) % len(ZONES)]}"',
            'region = "region"',
            f'internalPorts = [{ports.peer}, {ports.peer}]',
            f'seeds = {json.dumps(self.control_addresses())}',
            f'bootstrap = {json.dumps(self._bootstrap)}',
            f'lossCounts = {json.dumps(not is_entry)}',
            'heartbeatMs = 1200',
            'configMode = "highest"',
            f'dataDir = "{data}"',
            '[zones]',
            *(f'{zone} = "region"' for zone in ZONES),
            '[listen]',
            *listen,
            '[limits]',
            'memoryMb = 300',
            'maxFds = 4096',
            '[faultTolerance]',
            'machines = 1',
            'zones = 1',
            'regions = 0',
            '[bounds]',
            *(f'{key} = {json.dumps(value)}' for key, value in BOUNDS.items()),
        ]
        return '\n'.join(lines) + '\n'


def free_port() -> int:
    """Return an unused port on loopback.

    It is below the ports that the system gives to outgoing connections.
    """
    while True:
        port = random.choice(PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
