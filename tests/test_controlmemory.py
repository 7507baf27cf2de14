"""Control VMs stay within their memory whatever configurations they get."""

import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.outsidecallers import KIB, figures_of
from tests.platformworker import put
from tests.smalllinks import SmallLinkDeployment

LINK_BITS_PER_S: Final = 1e9
MEMORY_MB: Final = 296  # of the smallest control VM
# The kernel needs the rest of a VM's memory, for the buffers of sockets.
MEMORY_BOUND_KIB: Final = MEMORY_MB * KIB * 3 // 4
ROUTES: Final = 4_200  # some 900 KB
CHANGES: Final = 150
LARGE_ROUTES: Final = 34_000  # some 7.6 MB, of 8 MiB at most
OPERATORS: Final = 8
PUTS: Final = 3  # of each operator


class LimitedControl(SmallLinkDeployment):
    """A deployment whose control VMs know their limits."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, LINK_BITS_PER_S)

    def peak_kib(self) -> dict[str, int]:
        """Return the peak of each control process's memory."""
        return {
            vm: figures_of(self.processes[vm].pid).peak_kib
            for vm in self.control_vms
        }

    def kill_control(self) -> None:
        """Kill all control processes at once, and start them again."""
        for vm in self.control_vms:
            self.processes[vm].kill()
        for vm in self.control_vms:
            self.processes[vm].wait()
            self.start_process('control', vm)

    def _settings(self, role: str, vm: str) -> str:
        limits = (
            '',
            '[limits]',
            'cpuShare = 0.645',
            'cores = 2',
            f'memoryMb = {MEMORY_MB}',
            'maxFds = 4096',
        )
        text = super()._settings(role, vm)
        return text + '\n'.join(limits) if role == 'control' else text


@pytest.fixture
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LimitedControl]:
    """Return a deployment that is ready to serve."""
    started = LimitedControl(tmp_path_factory.mktemp('memory'))
    try:
        started.start()
        yield started
    finally:
        started.stop()


def test_many_large_changes_exhaust_no_control_vm(
    site: LimitedControl,
) -> None:
    """Neither many large documents nor a start after them take the memory."""
    site.add_routes(2, ROUTES)
    for version in range(3, CHANGES):
        route = site.add_routes(version, 1)
    site.wait(lambda: site.is_routed(route))
    peaks = site.peak_kib()
    print(peaks)
    assert max(peaks.values()) <= MEMORY_BOUND_KIB, peaks
    site.kill_control()
    route = site.add_routes(CHANGES, 1)
    site.wait(lambda: site.is_routed(route))
    peaks = site.peak_kib()
    print(peaks)
    assert max(peaks.values()) <= MEMORY_BOUND_KIB, peaks


def test_changes_at_a_time_exhaust_no_control_vm(
    site: LimitedControl,
) -> None:
    """Operators who send large documents at the same time take no VM down."""
    site.add_routes(2, LARGE_ROUTES)
    document = site.config(3, ('k1',))
    url = f'http://{site.control_vms[2]}:{site.ports.control}/config'

    def put_many(first: int) -> None:
        for version in range(first, first + PUTS):
            put(url, {**document, 'version': version})

    threads = [
        threading.Thread(target=put_many, args=(3 + number * PUTS,))
        for number in range(OPERATORS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    peaks = site.peak_kib()
    print(peaks)
    assert max(peaks.values()) <= MEMORY_BOUND_KIB, peaks
    route = site.add_routes(1_000, 1)
    site.wait(lambda: site.is_routed(route))
