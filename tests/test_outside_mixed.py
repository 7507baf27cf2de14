"""Several kinds of callers outside the limits at once, at all doors.

Each process is the system's own; see ``outsidecallers``.
"""

import asyncio
import subprocess
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from standins.fleet import Fleet, Layout, stream_sample
from tests.conftest import free_port
from tests.h2floods import H2_FLOODS
from tests.outsidecallers import (
    FLOODS,
    KIB,
    LISTENERS,
    Flood,
    LimitedDeployment,
    Listener,
    Watched,
    figures_of,
    send_flood,
)
from tests.smalllinks import make_routes
from tests.test_outside_limits import check_crowd

EACH: Final = 3  # callers of each kind at each door
DAEMON_CROWD: Final = 64  # bodies of 4 MiB, 256 MiB together
# A daemon without requests has some 70 MiB, and an account of 64 MiB.
DAEMON_BOUND_KIB: Final = 192 * KIB
DAEMON_REST_KIB: Final = 96 * KIB  # above it, a process is started anew
DAEMON_DESCRIPTORS: Final = 4 * DAEMON_CROWD
ROUTES: Final = 1_400  # of the configuration that is read meanwhile


class ChangingDeployment(LimitedDeployment):
    """A deployment whose operator adds many routes at a time."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._version = 1
        self._routes: list[dict[str, Any]] = []

    def add_routes(self) -> int:
        """Put a configuration with more routes; return the status."""
        self._version += 1
        self._routes += make_routes(ROUTES, seed=self._version)
        return self.put_config(self._version)

    def config(self, version: int, keys: tuple[str, ...]) -> dict[str, Any]:
        """Return the configuration with the routes that were added."""
        document = super().config(version, keys)
        document['routes'] += self._routes
        return document


@pytest.fixture(scope='module')
def site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ChangingDeployment]:
    """Return a deployment that is ready to serve."""
    started = ChangingDeployment(tmp_path_factory.mktemp('mixed'))
    try:
        started.start()
        yield started
    finally:
        started.stop()


def floods_of(name: str) -> list[Flood]:
    """Return what callers send to a door."""
    kinds = H2_FLOODS if 'peers' in name else FLOODS
    return [flood for flood in kinds.values() for _caller in range(EACH)]


async def send_all(site: ChangingDeployment, listeners: list[str]) -> None:
    """Send all kinds to all doors of a process at the same time."""
    crowds = []
    for name in listeners:
        listener: Listener = LISTENERS[name]
        crowds += [
            send_flood(listener.vm, listener.port(site), flood)
            for flood in floods_of(name)
        ]
    await asyncio.gather(*crowds, return_exceptions=True)


@pytest.mark.parametrize(
    ('door', 'doors'),
    [
        (
            'callers',
            ['callers', 'readiness', 'entry metrics', 'entry peers'],
        ),
        ('operators', ['operators', 'control metrics', 'control peers']),
    ],
)
class TestDoors:
    def test_all_kinds_at_once(
        self, site: ChangingDeployment, door: str, doors: list[str]
    ) -> None:
        """All kinds at all doors together exhaust no process."""
        check_crowd(site, LISTENERS[door], send_all(site, doors))

    def test_all_kinds_beside_a_large_change(
        self, site: ChangingDeployment, door: str, doors: list[str]
    ) -> None:
        """Nor do they while a large configuration comes in force."""

        async def send() -> None:
            change = asyncio.to_thread(site.add_routes)
            await asyncio.gather(send_all(site, doors), change)

        check_crowd(site, LISTENERS[door], send())


class Daemon(Fleet):
    """One VM of ``lovagemastd`` with its targets."""

    def settle(self) -> subprocess.Popen[bytes]:
        """Return the process of the VM, started anew after a failed test."""
        vm = self.processes['vm1']
        is_fit = (
            vm.poll() is None
            and figures_of(vm.pid).rss_kib <= DAEMON_REST_KIB
            and self.is_answering()
        )
        if not is_fit:
            vm.kill()
            vm.wait()
            self.start_vm(0)
            self.wait_for_targets()
        return self.processes['vm1']

    def is_answering(self) -> bool:
        """Return whether an ordinary request is answered."""
        try:
            return bool(stream_sample(self.layout.port))
        except (RuntimeError, OSError):
            return False


@pytest.fixture(scope='module')
def daemon(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Daemon]:
    """Return a fleet of one VM that serves."""
    folder: Path = tmp_path_factory.mktemp('daemon') / 'run'
    started = Daemon(Layout(free_port(), 1, 1, engines=1, folder=folder))
    try:
        started.start()
        started.wait_for_vms()
        started.apply_template()
        started.wait_for_targets()
        yield started
    finally:
        started.stop()


DAEMON_CROWDS: Final = [
    *(('callers', kind) for kind in FLOODS),
    *(('admin', kind) for kind in FLOODS),
    *(('peers', kind) for kind in H2_FLOODS),
]


class TestDaemon:
    @pytest.mark.parametrize(('door', 'kind'), DAEMON_CROWDS)
    def test_crowd(self, daemon: Daemon, door: str, kind: str) -> None:
        """No kind of such callers exhausts ``lovagemastd``."""
        kinds = H2_FLOODS if door == 'peers' else FLOODS
        check_daemon(daemon, door, kinds[kind])


def check_daemon(daemon: Daemon, door: str, flood: Flood) -> None:
    """Let a crowd run, and check what the process used and that it serves."""
    vm = daemon.settle()
    settings = daemon._settings(0)
    port = int(settings[door]['port'])
    with Watched(vm.pid) as watched:
        asyncio.run(send_to_daemon(port, flood))
    assert vm.poll() is None
    used = figures_of(vm.pid)
    print(f'{used}, at most {watched.most_descriptors} descriptors')
    assert max(used.rss_kib, used.peak_kib) <= DAEMON_BOUND_KIB
    assert watched.most_descriptors <= DAEMON_DESCRIPTORS
    assert stream_sample(daemon.layout.port)


async def send_to_daemon(port: int, flood: Flood) -> None:
    """Send the same from all callers of a crowd at a time."""
    callers = (
        send_flood('127.0.0.1', port, flood) for _ in range(DAEMON_CROWD)
    )
    await asyncio.gather(*callers, return_exceptions=True)
