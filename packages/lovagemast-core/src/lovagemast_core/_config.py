"""What a node knows when it starts."""

from typing import NamedTuple

from ._policy import DEFAULT_POLICY, Policy
from .agreement._replicastate import StoredLog
from .agreement._roster import RosterEntry


class NodeConfig(NamedTuple):
    """The VM's own entry, the VMs to contact first and what its disk held.

    ``boot`` sorts after those of earlier starts of the VM. ``seeds`` holds
    this VM and all control VMs. ``stored`` is there on control VMs only.
    """

    entry: RosterEntry
    boot: str
    seeds: tuple[RosterEntry, ...]
    started_at: float  # s
    stored: StoredLog | None = None
    policy: Policy = DEFAULT_POLICY
