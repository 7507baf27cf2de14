"""The start-up configuration of a node."""

from typing import NamedTuple

from ._policy import DEFAULT_POLICY, Policy
from .agreement._replicastate import StoredLog
from .agreement._roster import RosterEntry


class NodeConfig(NamedTuple):
    """A node's identity, seeds, recovered log and policies.

    ``entry`` is the VM's own roster entry. ``boot`` identifies this start
    of the VM and sorts after those of earlier starts. ``seeds`` lists this
    VM and all control VMs. ``stored`` is the log read from disk, present on
    control VMs only.
    """

    entry: RosterEntry
    boot: str
    seeds: tuple[RosterEntry, ...]
    started_at: float  # s
    stored: StoredLog | None = None
    policy: Policy = DEFAULT_POLICY
