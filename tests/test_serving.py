"""The whole path through the platform's adapter, as separate processes."""

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

from tests.platformworker import EVENTS, Worker, put

CONTROL = ('127.0.0.11', '127.0.0.12', '127.0.0.13')
START_TIMEOUT_S = 20.0
POLL_S = 0.1


def free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


class Ports(NamedTuple):
    """The ports of a deployment."""

    control: int
    peer: int
    front: int
    ready: int


class Site:
    """Three control VMs, an entry VM and two workers on loopback."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = Ports(*(free_port() for _port in range(4)))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        control = f'{CONTROL[0]}:{self.ports.control}'
        self.engine = Worker('i-1', 's-lm', free_port(), control)
        self.spare = Worker('i-2', 's-lm', free_port(), control)
        self.plain = Worker('i-3', 's-plain', free_port(), control)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        """Start everything and wait until it serves."""
        for vm in CONTROL:
            self.start_process('control', vm)
        self.start_process('entry', '127.0.0.1')
        self._thread.start()
        for worker in (self.engine, self.spare, self.plain):
            asyncio.run_coroutine_threadsafe(worker.serve(), self._loop)
        self.wait(lambda: self.put_config(1) == 200)
        self.wait(lambda: self.post('/plain/x', {}).status == 200)

    def stop(self) -> None:
        """End the processes that were started here."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._loop.call_soon_threadsafe(self._cancel_all)
        self._thread.join(5)

    def start_process(self, role: str, vm: str) -> None:
        """Start one VM's process."""
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
        """Return a process's log lines."""
        path = self.folder / f'{role}-{vm}.log'
        lines = path.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def wait(self, check: Any) -> None:
        """Wait until a check holds."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if check():
                return
            time.sleep(POLL_S)
        raise TimeoutError('the deployment does not serve')

    def put_config(self, version: int, keys: tuple[str, ...] = ('k1',)) -> int:
        """Send a configuration to the last control VM."""
        config = {
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
        url = f'http://{CONTROL[2]}:{self.ports.control}/config'
        return put(url, config)

    def post(
        self,
        path: str,
        headers: dict[str, str],
        key: str = 'k1',
    ) -> urllib3.BaseHTTPResponse:
        """Send a request as a caller does."""
        sent = {
            'Host': 'shop.example',
            'X-Request-Id': os.urandom(8).hex(),
            'Authorization': f'Bearer {key}',
            'X-Deadline-Ms': '5000',
            **headers,
        }
        return urllib3.request(
            'POST',
            f'http://127.0.0.1:{self.ports.front}{path}',
            headers=sent,
            body=b'{"q": 1}',
            retries=False,
            timeout=6,
        )

    def _settings(self, role: str, vm: str) -> str:
        ports = self.ports
        seeds = [f'{one}:{ports.control}' for one in CONTROL]
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
                f'front = "127.0.0.1:{ports.front}"',
                f'ready = "127.0.0.1:{ports.ready}"',
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
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Return a deployment that serves."""
    made = Site(tmp_path_factory.mktemp('site'))
    try:
        made.start()
        yield made
    finally:
        made.stop()


ADAPTER = {'X-Model': 'm/a1', 'X-Token-Count': '10,10'}


def numbers_of(answer: urllib3.BaseHTTPResponse) -> list[int]:
    """Return the ids of a stream's events."""
    lines = answer.data.decode().splitlines()
    return [int(line[3:]) for line in lines if line.startswith('id:')]


class TestWholePath:
    def test_plain_call(self, site: Site) -> None:
        """A call reaches its service whole, with its account's name."""
        answer = site.post('/plain/a/b', {'X-Tenant': 'forged'})
        assert (answer.status, answer.data) == (200, b'/plain/a/b')
        assert answer.headers['X-Server-Stamp'] == 'i-3'
        run = site.plain.request_headers[-1]
        assert (run['X-Tenant'], run['body']) == ('t1', '{"q": 1}')
        assert 'Authorization' not in run

    def test_adapter_is_loaded_for_a_request(self, site: Site) -> None:
        """A stream on an adapter that nobody holds is served whole."""
        answer = site.post('/lm/x', ADAPTER)
        assert answer.status == 200
        assert numbers_of(answer) == list(range(1, EVENTS + 1))
        held = {**site.engine.adapters, **site.spare.adapters}
        assert 'a1' in held

    def test_broken_stream_goes_on(self, site: Site) -> None:
        """A resumable stream is whole although a worker broke it off."""
        assert site.post('/lm/x', ADAPTER).status == 200
        for worker in (site.engine, site.spare):
            worker.break_after = 3
        answer = site.post('/lm/x', ADAPTER)
        for worker in (site.engine, site.spare):
            worker.break_after = None
        assert numbers_of(answer) == list(range(1, EVENTS + 1))

    def test_broken_stream_is_not_whole(self, site: Site) -> None:
        """One that cannot be resumed ends visibly early."""
        for worker in (site.engine, site.spare):
            worker.break_after = 2
        with pytest.raises(urllib3.exceptions.HTTPError):
            site.post('/once/x', ADAPTER)
        for worker in (site.engine, site.spare):
            worker.break_after = None

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [('/plain/x', 'wrong', 401), ('/other/x', 'k1', 404)],
    )
    def test_denied(self, site: Site, path: str, key: str, status: int) -> None:
        """Unknown keys and paths are refused by the entry VM."""
        assert site.post(path, {}, key).status == status

    def test_configuration_is_in_force(self, site: Site) -> None:
        """A withdrawn key stops soon after its acknowledgement."""
        assert site.put_config(5, keys=('k1', 'k2')) == 200
        time.sleep(0.5)
        assert site.post('/plain/x', {}, 'k2').status == 200
        assert site.put_config(6) == 200
        time.sleep(0.5)
        assert site.post('/plain/x', {}, 'k2').status == 401

    def test_failure_is_explained(self, site: Site) -> None:
        """The id of a refused request leads to its reason in the log."""
        site.post('/plain/x', {'X-Request-Id': 'lost-one'}, 'wrong')
        lines = site.log('entry', '127.0.0.1')
        found = [line for line in lines if line.get('id') == 'lost-one']
        assert found[-1]['reason'] == 'unknown key'
        assert found[-1]['revision'] >= 1


class TestMetrics:
    @pytest.mark.parametrize(
        ('host', 'name'),
        [
            ('127.0.0.1', 'lovagemast_answered_seconds_count'),
            (CONTROL[0], 'lovagemast_orders_total'),
        ],
    )
    def test_counters(self, site: Site, host: str, name: str) -> None:
        """Each process serves its counters and histograms."""
        answer = urllib3.request('GET', f'http://{host}:9464/metrics')
        assert answer.status == 200
        assert name in answer.data.decode()


class TestFailures:
    def test_leader_is_killed(self, site: Site) -> None:
        """Callers are served while another control VM takes over."""
        site.processes[CONTROL[0]].send_signal(signal.SIGKILL)
        site.processes[CONTROL[0]].wait()
        answers = [site.post('/plain/x', {}).status for _call in range(20)]
        assert answers == [200] * 20
        site.wait(lambda: site.put_config(9, keys=('k1', 'k3')) == 200)
        site.wait(lambda: site.post('/plain/x', {}, 'k3').status == 200)
        site.start_process('control', CONTROL[0])

    def test_drain_cuts_nothing(self, site: Site) -> None:
        """A stream under way at SIGTERM is whole, and the process ends."""
        site.wait(lambda: site.post('/lm/x', ADAPTER).status == 200)
        found: list[urllib3.BaseHTTPResponse] = []
        caller = threading.Thread(
            target=lambda: found.append(site.post('/lm/x', ADAPTER)),
        )
        caller.start()
        time.sleep(0.04)
        entry = site.processes['127.0.0.1']
        entry.send_signal(signal.SIGTERM)
        caller.join()
        assert numbers_of(found[0]) == list(range(1, EVENTS + 1))
        with contextlib.suppress(subprocess.TimeoutExpired):
            entry.wait(8)
        assert entry.returncode == 0
