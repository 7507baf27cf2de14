"""What a control VM is told at its start."""

from typing import NamedTuple

from .._types import VmName
from ..agreement._replicastate import StoredLog
from ..quota import QuotaBounds


class ControlConfig(NamedTuple):
    """Settings of a control VM and what its disk holds.

    ``seeds`` are the control VMs that form the group at the first start;
    ``bootstrap`` is true only then. ``voters_wanted`` is the number of
    replicas above which a silent one is removed for good. ``takeover_s`` is
    how long engines must not hear two VMs that give orders.
    """

    vm: VmName
    stored: StoredLog
    seeds: tuple[VmName, ...]
    bootstrap: bool
    voters_wanted: int
    takeover_s: float
    quota: QuotaBounds
    started_at: float  # s
