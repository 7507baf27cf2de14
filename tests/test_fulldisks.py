"""Tests of control VMs with the real log store whose disks are full in turn."""

import errno
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import pytest
from lovagemast_core import Applied, PersistLog, StoredLog
from lovagemast_core.agreement import _replicastate
from lovagemast_node import _storage
from lovagemast_node._storage import LogStore

from tests.controlcluster import VMS, Cluster, _PendingSync, make_config

RETRY_S: Final = 0.25
CHANGE_S: Final = 0.4
FULL_S: Final = (0.5, 4.0)
PAUSE_S: Final = (0.05, 1.5)  # between two disks that are full
TURNS: Final = 9
ACKNOWLEDGED_WITHIN_S: Final = 2.0
FULL: Final = OSError(errno.ENOSPC, 'no space left on device')


class Disk:
    """A VM's log store, and the batches that it has not taken yet."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = LogStore.open(folder, folder.name)
        self.is_full = False
        self.batches: list[PersistLog] = []
        self.retry_at = 0.0

    @property
    def stored(self) -> StoredLog:
        """Return what the store would restore."""
        return self.store._state.to_stored()

    def to_stored(self) -> StoredLog:
        """Open the store anew, as after a restart; return its contents."""
        self.store.close()
        self.batches.clear()
        self.store = LogStore.open(self.folder, self.folder.name)
        return self.store.stored

    def flush(self, now: float) -> int | None:
        """Write all batches; return the last one if they are synced."""
        if not self.batches or now < self.retry_at:
            return None
        try:
            self.store.write(self.batches)
        except OSError:
            self.retry_at = now + RETRY_S
            return None
        last = self.batches[-1].batch
        self.batches = []
        return last


class DiskCluster(Cluster):
    """Control VMs with real log stores, of which one may be full."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder = folder
        super().__init__(seed=seed)

    def wipe_disk(self, vm: str, mark: str = 'new') -> None:
        """Give a VM an empty store."""
        self.disks[vm] = Disk(self._folder / vm)  # type: ignore[assignment]
        self._synced[vm] = self.disks[vm].stored

    def disk(self, vm: str) -> Disk:
        """Return a VM's disk."""
        found: Any = self.disks[vm]
        assert isinstance(found, Disk)
        return found

    def perform_effects(self) -> None:
        """Perform the effects, and write what the disks take."""
        super().perform_effects()
        for vm in self.nodes:
            last = self.disk(vm).flush(self.now)
            if last is not None:
                sync = _PendingSync(vm, last, self.disk(vm).stored)
                self._pending_syncs.append(sync)

    def _perform(self, vm: str, effect: object) -> None:
        if isinstance(effect, PersistLog):
            self.disk(vm).batches.append(effect)
        else:
            super()._perform(vm, effect)


def fail_on(
    rng: random.Random, cluster: DiskCluster, call: Callable[..., Any]
) -> Callable[..., Any]:
    """Return a call that fails for files on a full disk, mostly."""

    def checked(*args: Any) -> Any:
        full = [
            vm for vm in VMS if vm in cluster.disks and cluster.disk(vm).is_full
        ]
        if any(vm in _path_of(args[0]) for vm in full) and rng.random() < 0.8:
            raise FULL
        return call(*args)

    return checked


def _path_of(file: Any) -> str:
    if isinstance(file, int):
        return os.readlink(f'/proc/self/fd/{file}')
    return str(getattr(file, 'name', file))


def write_short(log_file: Any, frame: bytes) -> None:
    """Write a part of a frame only, as a disk does that fills up."""
    log_file.write(frame[: len(frame) // 2])
    raise FULL


@pytest.mark.parametrize('seed', range(1, 13))
def test_changes_after_full_disks_in_turn(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once the last disk has room, each VM has changes acknowledged."""
    monkeypatch.setattr(_replicastate, 'COMPACTION_ENTRIES', 12)
    rng = random.Random(seed)
    cluster = DiskCluster(tmp_path, seed)
    write_all = _storage._write_all

    def write(log_file: Any, frame: bytes) -> None:
        full = any(
            cluster.disk(vm).is_full and vm in _path_of(log_file) for vm in VMS
        )
        (write_short if full else write_all)(log_file, frame)

    monkeypatch.setattr(_storage, '_write_all', write)
    for name in ('replace', 'fsync', 'fdatasync'):
        failing = fail_on(rng, cluster, getattr(os, name))
        monkeypatch.setattr(os, name, failing)
    cluster.run(3.0)
    revision = play_turns(cluster, rng)
    assert_acknowledged(cluster, revision)
    for vm in VMS:
        cluster.stop(vm)
    for vm in VMS:
        cluster.start(vm)
    cluster.run(3.0)
    leader = cluster.nodes[cluster.leader()]
    assert leader.published.revision == revision + len(VMS)


def play_turns(cluster: DiskCluster, rng: random.Random) -> int:
    """Fill the disks in turn under changes; return the last revision."""
    revision = 0
    for turn in range(TURNS):
        leading = [vm for vm in VMS if cluster.nodes[vm].is_ready_leader()]
        vm = VMS[turn % len(VMS)]
        if leading and rng.random() < 0.3:
            vm = leading[0]
        cluster.disk(vm).is_full = True
        revision = send_changes(cluster, rng, revision, rng.uniform(*FULL_S))
        cluster.disk(vm).is_full = False
        revision = send_changes(cluster, rng, revision, rng.uniform(*PAUSE_S))
    return revision


def send_changes(
    cluster: DiskCluster, rng: random.Random, revision: int, seconds: float
) -> int:
    """Send changes for some time; return the last revision."""
    ends_at = cluster.now + seconds
    while cluster.now < ends_at:
        revision += 1
        cluster.propose(rng.choice(VMS), make_config(revision))
        cluster.run(min(CHANGE_S, ends_at - cluster.now + 0.01))
    return revision


def assert_acknowledged(cluster: DiskCluster, revision: int) -> None:
    """Check that each VM has a change acknowledged in time."""
    cluster.run(ACKNOWLEDGED_WITHIN_S)
    for number, vm in enumerate(VMS, start=1):
        call = cluster.propose(vm, make_config(revision + number))
        cluster.run(ACKNOWLEDGED_WITHIN_S)
        assert cluster.outcomes.get(call) == Applied(revision + number)
