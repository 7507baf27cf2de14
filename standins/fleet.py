"""Runs a small fleet on loopback: VMs, engines, a service and a store.

The sample keys are valid only in such a fleet.
"""

import argparse
import hashlib
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import urllib3

ROOT: Final = Path(__file__).parent.parent
EXAMPLE: Final = ROOT / 'examples' / 'skovgaard.template.json'
CALLER_KEY: Final = 'sample-key-norfisk'
ADMIN_KEY: Final = 'sample-admin-key'
TARGET_KEY: Final = 'sample-target-key'
ADMIN_OFFSET: Final = 1000
PEER_OFFSET: Final = 2000
TARGET_OFFSET: Final = 3000
START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.1
MAX_CONTROL_VMS: Final = 3
MODEL: Final = 'yield-base:norfisk-summary@1'


def digest(key: str) -> str:
    """Return the digest that stands for a key in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


class Layout(NamedTuple):
    """The size, location and engine parameters of a fleet."""

    port: int
    vms: int = 1
    zones: int = 1
    engines: int = 2  # per zone
    folder: Path = ROOT / 'run'
    step_s: float = 0.02
    step_growth: float = 0.02
    max_in_flight: int = 16
    rate: int = 20_000  # tokens/s, of the first sample account

    def zone_of(self, number: int) -> str:
        """Return the zone of a VM or target."""
        return f'z{number % self.zones + 1}'

    def admin_addresses(self) -> list[str]:
        """Return the VMs' administration addresses."""
        first = self.port + ADMIN_OFFSET
        return [f'127.0.0.1:{first + number}' for number in range(self.vms)]


class Fleet:
    """Starts and stops the processes of a fleet."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start all VMs and targets in an empty folder."""
        shutil.rmtree(self.layout.folder, ignore_errors=True)
        self.layout.folder.mkdir(parents=True)
        for number in range(self.layout.vms):
            self.start_vm(number)
        self._start_targets()

    def start_vm(self, number: int) -> None:
        """Start a VM with the data folder of its last run, if any."""
        path = self.layout.folder / f'vm{number + 1}.json'
        path.write_text(json.dumps(self._settings(number), indent=2))
        self.start_program(f'vm{number + 1}', 'lovagemast_node', str(path))

    def stop(self) -> None:
        """Stop the VMs, which drain first, then the other processes."""
        names = sorted(self.processes, key=lambda name: name.startswith('vm'))
        for name in reversed(names):
            self.processes[name].send_signal(signal.SIGTERM)
            self.processes[name].wait(STOP_TIMEOUT_S)

    def apply_template(self) -> None:
        """Apply the example template with ``lovagectl``."""
        parameters = self.layout.folder / 'parameters.json'
        document = _parameters(self.layout.rate)
        parameters.write_text(json.dumps(document, indent=2))
        self.ctl('apply', str(EXAMPLE), str(parameters))

    def ctl(self, *args: str, check: bool = True) -> str:
        """Run ``lovagectl`` and return its standard output.

        Raises :exc:`RuntimeError` if ``check`` is set and it fails.
        """
        environment = {
            **os.environ,
            'LOVAGECTL_KEY': ADMIN_KEY,
            'LOVAGECTL_VMS': ','.join(self.layout.admin_addresses()),
        }
        completed = subprocess.run(
            [sys.executable, '-m', 'lovagemast_cli', *args],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        if check and completed.returncode:
            raise RuntimeError(completed.stdout + completed.stderr)
        return completed.stdout

    def wait_for_targets(self) -> None:
        """Wait until every target has an owner and is ready.

        Raises :exc:`TimeoutError` if that takes too long.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        expected = self.layout.zones * (self.layout.engines + 1)
        while time.monotonic() < deadline:
            targets = self._status().get('targets', ())
            if len(targets) == expected and all(
                target['ready'] for target in targets
            ):
                return
            time.sleep(POLL_S)
        raise TimeoutError('targets not ready within the start time-out')

    def wait_for_vms(self) -> None:
        """Wait until all VMs are connected to each other.

        Raises :exc:`TimeoutError` if that takes too long.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            vms = self._status().get('vms', ())
            if len(vms) == self.layout.vms and all(vm['alive'] for vm in vms):
                return
            time.sleep(POLL_S)
        raise TimeoutError('VMs not connected within the start time-out')

    def _status(self) -> dict[str, Any]:
        printed = self.ctl('--json', 'status', check=False)
        status: dict[str, Any] = json.loads(printed or '{}')
        return status

    def _settings(self, number: int) -> dict[str, Any]:
        layout = self.layout
        name = f'vm{number + 1}'
        seeds = [
            {
                'vm': f'vm{other + 1}',
                'zone': layout.zone_of(other),
                'address': f'127.0.0.1:{layout.port + PEER_OFFSET + other}',
                'control': other < MAX_CONTROL_VMS,
            }
            for other in range(layout.vms)
        ]
        return {
            'vm': name,
            'zone': layout.zone_of(number),
            'callers': _listen(layout.port + number),
            'admin': _listen(layout.port + ADMIN_OFFSET + number),
            'peers': _listen(layout.port + PEER_OFFSET + number),
            'control': number < MAX_CONTROL_VMS,
            'data_dir': str(layout.folder / f'{name}.data'),
            'seeds': seeds,
            'admin_key_digests': [digest(ADMIN_KEY)],
            'target_key_digests': [digest(TARGET_KEY)],
        }

    def _start_targets(self) -> None:
        layout = self.layout
        first = layout.port + TARGET_OFFSET
        store = f'127.0.0.1:{first}'
        self.start_program('store', 'standins.store', '--port', str(first))
        count = layout.zones * layout.engines
        for number in range(count):
            self.start_program(
                f'engine{number + 1}',
                'standins.engine',
                *self._target_args(f'lm{number + 1}', number, 1 + number),
                *('--pool', 'yield-lm', '--store', store),
                *('--step-s', str(layout.step_s)),
                *('--step-growth', str(layout.step_growth)),
                *('--max-in-flight', str(layout.max_in_flight)),
            )
        for number in range(layout.zones):
            self.start_program(
                f'service{number + 1}',
                'standins.service',
                *self._target_args(
                    f'ledger{number + 1}',
                    number,
                    number + count + 1,
                ),
                *('--pool', 'yield-ledger'),
            )

    def _target_args(self, name: str, number: int, port: int) -> list[str]:
        return [
            *('--name', name, '--zone', self.layout.zone_of(number)),
            *('--port', str(self.layout.port + TARGET_OFFSET + port)),
            *('--vms', ','.join(self.layout.admin_addresses())),
            *('--key', TARGET_KEY),
        ]

    def start_program(self, name: str, module: str, *args: str) -> None:
        """Start a module of this project as a process with a log file."""
        log_path = self.layout.folder / f'{name}.log'
        with open(log_path, 'ab') as log_file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *args],
                stdout=log_file,
                stderr=log_file,
                cwd=ROOT,
                start_new_session=True,
            )


def _listen(port: int) -> dict[str, Any]:
    return {'host': '127.0.0.1', 'port': port}


def _parameters(rate: int) -> dict[str, Any]:
    return {
        'accounts': [
            {
                'account': 'norfisk',
                'rate': rate,
                'burst': 2 * rate,
                'key_digest': digest(CALLER_KEY),
            },
            {
                'account': 'havnkaj',
                'rate': 5_000,
                'burst': 10_000,
                'key_digest': digest('sample-key-havnkaj'),
            },
        ],
    }


def stream_sample(port: int) -> str:
    """Send a streaming request and return the response body.

    Raises :exc:`RuntimeError` if the response is not complete.
    """
    document = {
        'model': MODEL,
        'prompt': 'Summarise the landings.',
        'max_tokens': 8,
        'stream': True,
    }
    reply = urllib3.request(
        'POST',
        f'http://127.0.0.1:{port}/v1/completions',
        body=json.dumps(document),
        headers={'Authorization': f'Bearer {CALLER_KEY}'},
        timeout=30,
    )
    if reply.status != 200 or b'data: [DONE]' not in reply.data:
        raise RuntimeError(f'{reply.status} {reply.data!r}')
    return reply.data.decode()


def curl_command(port: int) -> str:
    """Return a shell command that sends a streaming request."""
    document = json.dumps(
        {
            'model': MODEL,
            'prompt': 'Explain the yield gap.',
            'max_tokens': 16,
            'stream': True,
        }
    )
    return (
        f'curl -N http://127.0.0.1:{port}/v1/completions '
        f"-H 'Authorization: Bearer {CALLER_KEY}' -d '{document}'"
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Run a fleet until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=8080)
    parser.add_argument('--vms', type=int, default=1)
    parser.add_argument('--zones', type=int, default=1)
    options = parser.parse_args(argv)
    layout = Layout(options.port, options.vms, options.zones)
    fleet = Fleet(layout)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        fleet.start()
        fleet.wait_for_vms()
        fleet.apply_template()
        fleet.wait_for_targets()
        stream_sample(layout.port)
        ports = ', '.join(
            f'http://127.0.0.1:{layout.port + number}'
            for number in range(layout.vms)
        )
        print(f'lovagemast ready at {ports}', flush=True)
        print(curl_command(layout.port), flush=True)
        signal.pause()
    except KeyboardInterrupt:
        return 0
    finally:
        fleet.stop()
    return 0


def _interrupt(number: int, frame: object) -> None:
    """Interrupt :func:`main`, which then stops the fleet."""
    signal.signal(number, signal.SIG_IGN)
    raise KeyboardInterrupt


if __name__ == '__main__':
    sys.exit(main())
