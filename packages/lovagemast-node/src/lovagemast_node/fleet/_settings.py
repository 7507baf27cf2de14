"""Settings of the programs, as a platform package translates them."""

from typing import NamedTuple

from lovagemast_core.quota import QuotaBounds


class EntrySettings(NamedTuple):
    """What an entry VM needs to know at its start.

    Times are in s. ``key_age_s`` is the longest time for which a key is
    honoured after a quorum last confirmed it; ``None`` means for ever.
    """

    vm: str
    zone: str
    front: str  # address for callers
    ready: str  # address for the balancer's health checks
    metrics: str  # address for metrics, empty for none
    seeds: tuple[str, ...]  # IP addresses of control VMs
    peer_port: int
    key_age_s: float | None
    drain_grace_s: float  # from SIGTERM to SIGKILL
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota: QuotaBounds


class ControlSettings(NamedTuple):
    """What a control VM needs to know at its start."""

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
