"""The fleet status as seen by one VM, for operators."""

from collections.abc import Iterable
from typing import NamedTuple

from ._types import VmName
from .agreement._agreement import Agreement
from .agreement._roster import RosterEntry
from .placement._directory import Directory


class VmStatus(NamedTuple):
    """The status of one VM as another VM knows it."""

    vm: VmName
    zone: str
    admin: str  # host:port
    control: bool
    alive: bool
    draining: bool
    revision: int


class TargetStatus(NamedTuple):
    """The status of a target as a VM knows it."""

    target: str
    zone: str
    pool: str
    owner: VmName
    ready: bool
    leaving: bool
    limit: int
    in_flight: int
    queued: int
    adapters: int


class Status(NamedTuple):
    """The fleet as seen by one VM."""

    vm: VmName
    version: int
    revision: int
    leader: VmName
    quorum_age_s: float
    share: float  # fraction of every account's rate
    requests: int  # in progress at this VM
    vms: tuple[VmStatus, ...]
    targets: tuple[TargetStatus, ...]


def read_status(
    vm: VmName,
    agreement: Agreement,
    directory: Directory,
    *,
    share: float,
    requests: int,
    now: float,
) -> Status:
    """Collect the fleet status as known to a VM."""
    state = agreement.published.state
    return Status(
        vm,
        state.version,
        state.revision,
        agreement.find_leader(),
        agreement.published.quorum_age(now),
        share,
        requests,
        tuple(_vm_status(vm, entry, agreement, now) for entry in state.roster),
        tuple(_target_status(directory, now)),
    )


def _vm_status(
    own_vm: VmName,
    entry: RosterEntry,
    agreement: Agreement,
    now: float,
) -> VmStatus:
    membership = agreement.membership
    view = membership.views.get(entry.vm)
    revision = view.heartbeat.revision if view else 0
    draining = membership.is_draining(entry.vm)
    if entry.vm == own_vm:
        revision = agreement.published.state.revision
        draining = agreement.draining
    return VmStatus(
        entry.vm,
        entry.zone,
        entry.admin,
        entry.control,
        membership.is_alive(entry.vm, now),
        draining,
        revision,
    )


def _target_status(
    directory: Directory,
    now: float,
) -> Iterable[TargetStatus]:
    for known in directory.targets():
        summary = known.summary
        yield TargetStatus(
            known.facts.target,
            known.facts.zone,
            known.facts.pool,
            known.owner,
            known.is_usable(now),
            known.facts.leaving,
            summary.limit if summary else 0,
            summary.in_flight if summary else 0,
            summary.queued if summary else 0,
            len(known.adapters),
        )
