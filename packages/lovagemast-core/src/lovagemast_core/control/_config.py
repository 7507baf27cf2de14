"""Start-up configuration of a control VM."""

from typing import NamedTuple

from .._types import VmName
from ..agreement._replicastate import StoredLog
from ..duties import DutyConfig
from ..quota import QuotaBounds


class ControlConfig(NamedTuple):
    """Settings of a control VM and the contents of its disk.

    ``seeds`` are the control VMs that form the group at the first start;
    ``bootstrap`` is true only then. An unresponsive voter is removed if there
    are more than ``voters_wanted``. ``takeover_s`` is the minimum time
    between orders of two different VMs to the same engine.
    """

    vm: VmName
    stored: StoredLog
    seeds: tuple[VmName, ...]
    bootstrap: bool
    voters_wanted: int
    takeover_s: float
    quota: QuotaBounds
    started_at: float  # s
    duties: DutyConfig | None = None  # at the infrastructure
