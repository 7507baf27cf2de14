"""Callers outside the limits, and the processes that they are sent to.

The processes are the system's own, with the limits of the smallest VM in
their settings. A crowd sends a bounded number of bytes and ends by itself.
"""

import asyncio
import contextlib
import os
import re
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import urllib3

from tests.platformworker import OK, Worker
from tests.test_endless import Endless
from tests.test_serving import Deployment, free_port, make_route

KIB: Final = 1_024
MIB: Final = 1_048_576
MEMORY_MB: Final = 160  # of the smallest VM
MAX_FDS: Final = 160  # a tenth of the smallest VM's
CROWD: Final = 24
IDLE_CROWD: Final = 2 * MAX_FDS
# The kernel needs the rest of a VM's memory, for the buffers of sockets.
MEMORY_BOUND_KIB: Final = MEMORY_MB * KIB * 3 // 4
# A process that an earlier test has left above this is started anew.
REST_KIB: Final = 64 * KIB
BLOCK: Final = 65_536
STEP_S: Final = 0.01
SEND_TIMEOUT_S: Final = 8.0  # of one caller, so that a crowd always ends
# The port of metrics is the same in all runs. With addresses of its own, a
# crowd never reaches the processes of another run on the same machine.
NETWORK: Final = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
CONTROL: Final = tuple(f'{NETWORK}.{11 + index}' for index in range(3))
ENTRY: Final = f'{NETWORK}.21'
METRICS_PORT: Final = 9_464
FLOOD_PATH: Final = '/flood/x'
REDIRECTS: Final = urllib3.Retry(connect=0, read=0, redirect=3)


class Flood(NamedTuple):
    """What one caller sends: some bytes, and others up to a total."""

    first: bytes
    repeated: bytes
    total: int
    then_stays: bool = False


POST: Final = (
    b'POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n'
    b'Authorization: Bearer k1\r\nX-Deadline-Ms: 4000\r\n'
)
CHUNKED: Final = POST + b'Transfer-Encoding: chunked\r\n\r\n'
SIZED: Final = POST + b'Content-Length: %d\r\n\r\n'
BODY: Final = 4 * MIB  # legal
PIECE: Final = b'1000\r\n' + b'x' * 4_096 + b'\r\n'

FLOODS: Final = {
    'head of many lines': Flood(POST, b'X-A: a\r\n', MIB),
    'head of one line': Flood(POST + b'X-A: ', b'a' * BLOCK, 8 * MIB),
    'request line': Flood(b'GET /', b'a' * BLOCK, 8 * MIB),
    'empty lines': Flood(b'', b'\r\n' * BLOCK, 4 * MIB),
    'trailers of many lines': Flood(CHUNKED + b'0\r\n', b'X-T: t\r\n', MIB),
    'trailer of one line': Flood(
        CHUNKED + b'0\r\nX-T: ', b't' * BLOCK, 12 * MIB
    ),
    'trailers after a body': Flood(
        CHUNKED + PIECE * 16 + b'0\r\n', b'X-T: t\r\n', MIB
    ),
    'chunk extension': Flood(CHUNKED + b'1;', b'x' * BLOCK, 8 * MIB),
    'bodies whole': Flood(SIZED % BODY, b'x' * BLOCK, BODY),
    'bodies by pieces': Flood(CHUNKED, PIECE * 16, BODY, then_stays=True),
    'bodies of tiny pieces': Flood(
        CHUNKED, b'1\r\nx\r\n' * 1_000, 512 * KIB, then_stays=True
    ),
    'bodies that stop short': Flood(
        SIZED % (BODY + 1 - BLOCK), b'x' * BLOCK, BODY - BLOCK, then_stays=True
    ),
}


async def send_flood(host: str, port: int, flood: Flood) -> None:
    """Send what one caller sends, until the connection is closed."""
    reader, writer = await asyncio.open_connection(host, port)
    times = max(1, BLOCK // len(flood.repeated))
    block = flood.repeated * times
    sent = 0
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            writer.write(flood.first)
            while sent < flood.total:
                writer.write(block[: flood.total - sent])
                sent += len(block)
                await writer.drain()
                await asyncio.sleep(0)
            if not flood.then_stays:
                await reader.read(BLOCK)
            else:
                await asyncio.sleep(0.5)
    writer.transport.abort()


async def send_crowd(host: str, port: int, flood: Flood) -> None:
    """Send the same from all callers of a crowd at a time."""
    callers = (send_flood(host, port, flood) for _caller in range(CROWD))
    await asyncio.gather(*callers, return_exceptions=True)


class Figures(NamedTuple):
    """What a process uses: memory now and at its peak, and descriptors."""

    rss_kib: int
    peak_kib: int
    descriptors: int


def figures_of(pid: int) -> Figures:
    """Return what a process uses."""
    status = Path(f'/proc/{pid}/status').read_text()
    found = dict(re.findall(r'(VmRSS|VmHWM):\s+(\d+) kB', status))
    descriptors = len(list(Path(f'/proc/{pid}/fd').iterdir()))
    return Figures(int(found['VmRSS']), int(found['VmHWM']), descriptors)


class Watched:
    """Watches the descriptors of a process while a crowd is sent to it."""

    def __init__(self, pid: int) -> None:
        self.most_descriptors = 0
        self._pid = pid
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch)

    def __enter__(self) -> 'Watched':
        """Forget the former peak of its memory, and begin."""
        Path(f'/proc/{self._pid}/clear_refs').write_text('5')
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """End."""
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._ended.wait(STEP_S):
            with contextlib.suppress(OSError):
                count = len(list(Path(f'/proc/{self._pid}/fd').iterdir()))
                self.most_descriptors = max(self.most_descriptors, count)


class FloodingTarget:
    """A target whose responses have no end, up to a number of bytes."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.answer = Endless(b'', b'x')
        self.total = 0

    async def serve(self) -> None:
        """Serve until cancelled."""
        server = await asyncio.start_server(
            self._respond, '127.0.0.1', self.port
        )
        await server.serve_forever()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        block = self.answer.repeated * max(
            1, BLOCK // len(self.answer.repeated)
        )
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.answer.first)
            for _block in range(self.total // len(block)):
                writer.write(block)
                await writer.drain()
        writer.close()


class LimitedDeployment(Deployment):
    """A deployment with the limits of the smallest VM in its settings."""

    control_vms = CONTROL
    entry_vm = ENTRY

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.target = FloodingTarget(free_port())
        self.flooding = Worker(
            'i-4',
            's-flood',
            free_port(),
            f'{CONTROL[0]}:{self.ports.control}',
            advertised_port=self.target.port,
        )

    def start(self) -> None:
        """Start all, and wait until the flooding target is known."""
        asyncio.run_coroutine_threadsafe(self.target.serve(), self._loop)
        asyncio.run_coroutine_threadsafe(self.flooding.serve(), self._loop)
        super().start()
        self.target.answer = Endless(
            b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
            b'Content-Length: 1\r\n\r\n',
            b'x',
        )
        self.target.total = 0
        self.wait(lambda: self.post(FLOOD_PATH, {}).status != 503)

    def config(self, version: int, keys: tuple[str, ...]) -> dict[str, Any]:
        """Add the route of the flooding target."""
        document = super().config(version, keys)
        document['services'].append({'name': 's-flood'})
        document['routes'].append(
            make_route('/flood/', 's-flood', 'unsafe', resumable=False)
        )
        return document

    def settle(self, role: str, vm: str) -> int:
        """Return the process of a VM, started anew after a failed test."""
        process = self.processes[vm]
        is_fit = (
            process.poll() is None
            and figures_of(process.pid).rss_kib < REST_KIB
        )
        if not is_fit:
            process.kill()
            process.wait()
            self.start_process(role, vm)
        self.wait(lambda: self.is_served('/plain/x', {}))
        self.wait(self.is_operated)
        return self.processes[vm].pid

    def is_operated(self) -> bool:
        """Return whether an operator can read the configuration."""
        return self.is_read(CONTROL[0], self.ports.control, '/config')

    def is_read(self, host: str, port: int, path: str) -> bool:
        """Return whether a page is answered with status 200."""
        try:
            response = urllib3.request(
                'GET',
                f'http://{host}:{port}{path}',
                retries=REDIRECTS,
                timeout=3,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == OK

    def _settings(self, role: str, vm: str) -> str:
        limits = (
            '',
            '[limits]',
            'cpuShare = 0.387',
            'cores = 1',
            f'memoryMb = {MEMORY_MB}',
            f'maxFds = {MAX_FDS}',
            'linkMbps = 3.75',
        )
        return super()._settings(role, vm) + '\n'.join(limits)


class Listener(NamedTuple):
    """A listener of one of the processes, and how it is used ordinarily."""

    role: str
    vm: str
    port: Callable[[LimitedDeployment], int]
    is_answering: Callable[[LimitedDeployment], bool]


LISTENERS: Final = {
    'callers': Listener(
        'entry',
        ENTRY,
        lambda site: site.ports.front,
        lambda site: site.is_served('/plain/x', {}),
    ),
    'operators': Listener(
        'control',
        CONTROL[0],
        lambda site: site.ports.control,
        lambda site: site.is_operated(),
    ),
    'readiness': Listener(
        'entry',
        ENTRY,
        lambda site: site.ports.ready,
        lambda site: site.is_read(ENTRY, site.ports.ready, '/'),
    ),
    'entry metrics': Listener(
        'entry',
        ENTRY,
        lambda _site: METRICS_PORT,
        lambda site: site.is_read(ENTRY, METRICS_PORT, '/metrics'),
    ),
    'control metrics': Listener(
        'control',
        CONTROL[0],
        lambda _site: METRICS_PORT,
        lambda site: site.is_read(CONTROL[0], METRICS_PORT, '/metrics'),
    ),
    'entry peers': Listener(
        'entry',
        ENTRY,
        lambda site: site.ports.peer,
        lambda site: site.is_served('/plain/x', {}),
    ),
    'control peers': Listener(
        'control',
        CONTROL[0],
        lambda site: site.ports.peer,
        lambda site: site.is_operated(),
    ),
}
