"""End-to-end tests of the platform package with separate processes."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import urllib3

from tests.platformworker import EVENTS, OK, Worker, put

CONTROL = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
START_TIMEOUT_S = 20.0
POLL_S = 0.1


def free_port() -> int:
    """Return a TCP port that is not in use."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


class Ports(NamedTuple):
    """The ports of a deployment."""

    control: int
    peer: int
    front: int
    ready: int


class Deployment:
    """Three control VMs, an entry VM and three workers on loopback."""

    control_vms: tuple[str, ...] = CONTROL
    entry_vm = '127.0.0.1'

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = Ports(*(free_port() for _port in range(4)))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        control = f'{self.control_vms[0]}:{self.ports.control}'
        self.engine = Worker('i-1', 's-lm', free_port(), control)
        self.spare = Worker('i-2', 's-lm', free_port(), control)
        self.plain = Worker('i-3', 's-plain', free_port(), control)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        """Start all processes and workers and wait until they serve."""
        for vm in self.control_vms:
            self.start_process('control', vm)
        self.start_process('entry', self.entry_vm)
        self._thread.start()
        for worker in (self.engine, self.spare, self.plain):
            asyncio.run_coroutine_threadsafe(worker.serve(), self._loop)
        self.wait(lambda: self.put_config(1) == 200)
        self.wait(lambda: self.is_served('/plain/x', {}))

    def is_served(self, path: str, headers: dict[str, str]) -> bool:
        """Return whether a request is answered; nothing may listen yet."""
        try:
            return self.post(path, headers).status == OK
        except urllib3.exceptions.HTTPError:
            return False

    def stop(self) -> None:
        """Stop the processes and workers."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._loop.call_soon_threadsafe(self._cancel_all)
        self._thread.join(5)

    def start_process(self, role: str, vm: str) -> None:
        """Start the process of one VM."""
        path = self.folder / f'{role}-{vm}.toml'
        path.write_text(self._settings(role, vm), encoding='utf-8')
        log = (self.folder / f'{role}-{vm}.log').open('ab')
        self.processes[vm] = subprocess.Popen(
            [sys.executable, '-m', 'lovagemast_platform', role],
            env={**os.environ, 'LOVAGEMAST_SETTINGS': str(path)},
            stdout=log,
            stderr=log,
        )

    def log(self, role: str, vm: str) -> list[dict[str, Any]]:
        """Return the JSON log lines of a process."""
        path = self.folder / f'{role}-{vm}.log'
        lines = path.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def wait(self, check: Any) -> None:
        """Wait until a check returns true."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if check():
                return
            time.sleep(POLL_S)
        raise TimeoutError('the deployment is not ready in time')

    def put_config(self, version: int, keys: tuple[str, ...] = ('k1',)) -> int:
        """Send a configuration to the last control VM."""
        url = f'http://{self.control_vms[2]}:{self.ports.control}/config'
        return put(url, self.config(version, keys))

    def config(self, version: int, keys: tuple[str, ...]) -> dict[str, Any]:
        """Return the configuration with these keys."""
        return {
            'version': version,
            'routes': [
                make_route('/lm/', 's-lm', 'streaming', resumable=True),
                make_route('/once/', 's-lm', 'streaming', resumable=False),
                make_route('/plain/', 's-plain', 'unsafe', resumable=False),
            ],
            'services': [
                {
                    'name': 's-lm',
                    'engine': {
                        'slots': 8,
                        'weightsMb': 200,
                        'adapterSlots': 2,
                        'models': [{'name': 'm', 'weightsMb': 100}],
                    },
                },
                {'name': 's-plain'},
            ],
            'tenants': [{'name': 't1', 'apiKeys': list(keys)}],
        }

    def post(
        self,
        path: str,
        headers: dict[str, str],
        key: str = 'k1',
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the entry VM as a caller does."""
        sent = {
            'Host': 'shop.example',
            'X-Request-Id': os.urandom(8).hex(),
            'Authorization': f'Bearer {key}',
            'X-Deadline-Ms': '5000',
            **headers,
        }
        return urllib3.request(
            'POST',
            f'http://{self.entry_vm}:{self.ports.front}{path}',
            headers=sent,
            body=b'{"q": 1}',
            retries=False,
            timeout=6,
        )

    def _settings(self, role: str, vm: str) -> str:
        ports = self.ports
        seeds = [f'{one}:{ports.control}' for one in self.control_vms]
        data_dir = self.folder / f'data-{vm}'
        return '\n'.join(
            (
                f'node = "{role}-{vm}"',
                f'ip = "{vm}"',
                'zone = "z1"',
                f'internalPorts = [{ports.peer}, {ports.peer}]',
                f'seeds = {json.dumps(seeds)}',
                'bootstrap = true',
                f'dataDir = "{data_dir}"',
                '[listen]',
                f'control = "{vm}:{ports.control}"',
                f'front = "{self.entry_vm}:{ports.front}"',
                f'ready = "{self.entry_vm}:{ports.ready}"',
                '[faultTolerance]',
                'machines = 1',
                '[bounds]',
                'failClosed = true',
                'revokeMs = 5000',
                'leaseMs = 3000',
                'graceS = 8',
                'retrySlack = 50',
            ),
        )

    def _cancel_all(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_later(0.2, self._loop.stop)


def make_route(
    prefix: str,
    service: str,
    kind: str,
    *,
    resumable: bool,
) -> dict[str, Any]:
    """Return a route of the test's configuration."""
    return {
        'name': prefix.strip('/'),
        'hostname': 'shop.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 5_000,
        'targetLatencyMs': 600,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'resumable': resumable,
    }


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Return a deployment that is ready to serve."""
    started = Deployment(tmp_path_factory.mktemp('site'))
    try:
        started.start()
        yield started
    finally:
        started.stop()


ADAPTER = {'X-Model': 'm/a1', 'X-Token-Count': '10,10'}


def numbers_of(response: urllib3.BaseHTTPResponse) -> list[int]:
    """Return the ids of the events in a stream."""
    lines = response.data.decode().splitlines()
    return [int(line[3:]) for line in lines if line.startswith('id:')]


class TestEndToEnd:
    def test_plain_call(self, deployment: Deployment) -> None:
        """A call reaches its service unchanged, with its account's name."""
        response = deployment.post('/plain/a/b', {'X-Tenant': 'forged'})
        assert (response.status, response.data) == (200, b'/plain/a/b')
        assert response.headers['X-Server-Stamp'] == 'i-3'
        run = deployment.plain.request_headers[-1]
        assert (run['X-Tenant'], run['body']) == ('t1', '{"q": 1}')
        assert 'Authorization' not in run

    def test_adapter_is_loaded_for_a_request(
        self, deployment: Deployment
    ) -> None:
        """An adapter that no target has is loaded and its stream served."""
        response = deployment.post('/lm/x', ADAPTER)
        assert response.status == 200
        assert numbers_of(response) == list(range(1, EVENTS + 1))
        held = {**deployment.engine.adapters, **deployment.spare.adapters}
        assert 'a1' in held

    def test_broken_stream_resumes(self, deployment: Deployment) -> None:
        """A resumable stream completes although a worker aborted it."""
        assert deployment.post('/lm/x', ADAPTER).status == 200
        for worker in (deployment.engine, deployment.spare):
            worker.break_after = 3
        response = deployment.post('/lm/x', ADAPTER)
        for worker in (deployment.engine, deployment.spare):
            worker.break_after = None
        assert numbers_of(response) == list(range(1, EVENTS + 1))

    def test_broken_stream_is_not_whole(self, deployment: Deployment) -> None:
        """An aborted stream that can't be resumed is visibly truncated."""
        for worker in (deployment.engine, deployment.spare):
            worker.break_after = 2
        with pytest.raises(urllib3.exceptions.HTTPError):
            deployment.post('/once/x', ADAPTER)
        for worker in (deployment.engine, deployment.spare):
            worker.break_after = None

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [('/plain/x', 'wrong', 401), ('/other/x', 'k1', 404)],
    )
    def test_denied(
        self, deployment: Deployment, path: str, key: str, status: int
    ) -> None:
        """The entry VM refuses unknown keys and paths."""
        assert deployment.post(path, {}, key).status == status

    def test_configuration_is_in_force(self, deployment: Deployment) -> None:
        """A revoked key is refused soon after the acknowledgement."""
        assert deployment.put_config(5, keys=('k1', 'k2')) == 200
        time.sleep(0.5)
        assert deployment.post('/plain/x', {}, 'k2').status == 200
        assert deployment.put_config(6) == 200
        time.sleep(0.5)
        assert deployment.post('/plain/x', {}, 'k2').status == 401

    def test_failure_is_explained(self, deployment: Deployment) -> None:
        """The log gives the reason of a refused request under its id."""
        deployment.post('/plain/x', {'X-Request-Id': 'lost-one'}, 'wrong')
        lines = deployment.log('entry', '127.0.0.1')
        refusals = [line for line in lines if line.get('id') == 'lost-one']
        assert refusals[-1]['reason'] == 'unknown key'
        assert refusals[-1]['revision'] >= 1


class TestMetrics:
    @pytest.mark.parametrize(
        ('host', 'name'),
        [
            ('127.0.0.1', 'lovagemast_answered_seconds_count'),
            (CONTROL[0], 'lovagemast_orders_total'),
        ],
    )
    def test_counters(
        self, deployment: Deployment, host: str, name: str
    ) -> None:
        """Each process serves its counters and histograms as metrics."""
        response = urllib3.request('GET', f'http://{host}:9464/metrics')
        assert response.status == 200
        assert name in response.data.decode()


class TestFailures:
    def test_leader_is_killed(self, deployment: Deployment) -> None:
        """Callers are served while another control VM becomes leader."""
        deployment.processes[CONTROL[0]].send_signal(signal.SIGKILL)
        deployment.processes[CONTROL[0]].wait()
        statuses = [
            deployment.post('/plain/x', {}).status for _call in range(20)
        ]
        assert statuses == [200] * 20
        deployment.wait(
            lambda: deployment.put_config(9, keys=('k1', 'k3')) == 200
        )
        deployment.wait(
            lambda: deployment.post('/plain/x', {}, 'k3').status == 200
        )
        deployment.start_process('control', CONTROL[0])

    def test_drain_cuts_nothing(self, deployment: Deployment) -> None:
        """A stream in progress at SIGTERM completes; the process exits 0."""
        deployment.wait(lambda: deployment.post('/lm/x', ADAPTER).status == 200)
        responses: list[urllib3.BaseHTTPResponse] = []
        caller = threading.Thread(
            target=lambda: responses.append(deployment.post('/lm/x', ADAPTER)),
        )
        caller.start()
        time.sleep(0.04)
        entry = deployment.processes['127.0.0.1']
        entry.send_signal(signal.SIGTERM)
        caller.join()
        assert numbers_of(responses[0]) == list(range(1, EVENTS + 1))
        with contextlib.suppress(subprocess.TimeoutExpired):
            entry.wait(8)
        assert entry.returncode == 0
