"""Settings of entry and control servers.

A platform package creates them from its own settings file.
"""

from typing import NamedTuple

from lovagemast_core.duties import DutyConfig
from lovagemast_core.quota import QuotaBounds

from ..http import VmLimits


class CloudSettings(NamedTuple):
    """The infrastructure that is told of usage and of targets to run."""

    address: str
    duties: DutyConfig


class EntrySettings(NamedTuple):
    """Settings of an entry server; durations are in seconds.

    ``key_age_s`` is how long API keys are accepted after a quorum last
    confirmed the configuration; ``None`` means without limit. Retries are
    limited to ``retry_ratio`` of the requests in the last ``retry_window_s``,
    plus the entry VM's share of ``retry_slack``.
    """

    vm: str
    zone: str
    front: str  # address for callers
    ready: str  # address for the load balancer's health checks
    metrics: str  # address for metrics, empty for none
    seeds: tuple[str, ...]  # IP addresses of control VMs
    peer_port: int
    key_age_s: float | None
    drain_grace_s: float  # from SIGTERM to SIGKILL
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota: QuotaBounds
    cloud: CloudSettings | None = None
    limits: VmLimits = VmLimits()


class ControlSettings(NamedTuple):
    """Settings of a control server; durations are in seconds.

    ``seeds`` form the replica group at the first start, when ``bootstrap`` is
    set. An unresponsive replica is removed while there are more than
    ``voters_wanted``. During ``takeover_s`` after a change of the VMs that
    send orders, engines must not get orders from both old and new ones.
    """

    vm: str
    name: str
    zone: str
    control: str  # address for targets and operators
    metrics: str  # address for metrics, empty for none
    seeds: tuple[str, ...]  # IP addresses of control VMs
    peer_port: int
    data_dir: str
    bootstrap: bool
    voters_wanted: int
    takeover_s: float
    drain_grace_s: float
    quota: QuotaBounds
    cloud: CloudSettings | None = None
    limits: VmLimits = VmLimits()
