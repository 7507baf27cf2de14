"""Starts the project's programs on loopback, as a small deployment."""

import json
import os
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CONTROL = ('127.0.0.51', '127.0.0.52', '127.0.0.53')
FRONTS = ('127.0.0.61', '127.0.0.62', '127.0.0.63', '127.0.0.64')
HOST = 'review.example'
KEY = 'review-key'
MEMORY_MB = 300
PUT_TRIES = 40


def free_port() -> int:
    """Return a port that is free on loopback now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


class Cluster:
    """Three control machines and four fronts, as separate processes."""

    def __init__(self) -> None:
        """Choose ports and a temporary folder."""
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.control, self.peer, self.front, self.ready = (
            free_port() for _port in range(4)
        )
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._is_first = True

    def start(self) -> None:
        """Start all machines, which form the group."""
        for machine in (*CONTROL, *FRONTS):
            self.start_machine(machine)
        self._is_first = False

    def start_machine(self, machine: str) -> None:
        """Start one machine's program with the command of the deploy file."""
        role = 'entry' if machine in FRONTS else 'control'
        settings = self.folder / f'{machine}.toml'
        settings.write_text(self._settings(machine, role), encoding='utf-8')
        with (self.folder / f'{machine}.log').open('ab') as log:
            self.processes[machine] = subprocess.Popen(
                ['python3', '-m', 'lovagemast_platform', role],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LOVAGEMAST_SETTINGS': str(settings),
                },
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """Kill all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def anon_mb(self, machine: str) -> float:
        """Return the anonymous memory of a machine's process, in MiB."""
        process = self.processes[machine]
        try:
            status = Path(f'/proc/{process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def put_config(self, config: dict[str, Any]) -> bool:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        for number in range(PUT_TRIES):
            url = f'http://{CONTROL[number % 3]}:{self.control}/config'
            request = urllib.request.Request(url, data=body, method='PUT')
            try:
                with urllib.request.urlopen(request, timeout=2) as response:
                    return bool(response.status == 200)
            except (urllib.error.HTTPError, OSError):
                time.sleep(0.2)
        return False

    def _settings(self, machine: str, role: str) -> str:
        data = self.folder / f'data-{machine}'
        data.mkdir(exist_ok=True)
        seeds = [f'{one}:{self.control}' for one in CONTROL]
        return '\n'.join(
            (
                f'node = "{machine}"',
                f'role = "{role}"',
                f'ip = "{machine}"',
                'zone = "z1"',
                'region = "r1"',
                f'internalPorts = [{self.peer},{self.peer}]',
                f'seeds = {json.dumps(seeds)}',
                f'bootstrap = {json.dumps(self._is_first)}',
                f'dataDir = "{data}"',
                '[listen]',
                f'control = "{machine}:{self.control}"',
                f'front = "{machine}:{self.front}"',
                f'ready = "{machine}:{self.ready}"',
                '[limits]',
                f'memoryMb = {MEMORY_MB}',
                'maxFds = 4100',
                '[faultTolerance]',
                'machines = 1',
                'zones = 1',
                '[bounds]',
                'contactMs = 3000',
                'drainMs = 2000',
                'graceS = 8',
                'configApplyMs = 2000',
                'failClosed = true',
                'revokeMs = 5000',
                'retryBudgetRatio = 0.2',
                'budgetWindowS = 10',
                'retrySlack = 52',
                'leaseMs = 3000',
                'fencingRequired = false',
            )
        )
