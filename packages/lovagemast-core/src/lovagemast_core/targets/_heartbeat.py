"""What targets say of themselves."""

from typing import NamedTuple

from .._types import TargetName, ZoneName


class TargetHeartbeat(NamedTuple):
    """A target's own description, sent at intervals."""

    target: TargetName
    pool: str
    address: str
    zone: ZoneName
    slots: int
    leaving: bool
    cold_s: float  # how much longer the target is cold
    incarnation: int  # ms since the epoch at which the target started
    sequence: int  # rises with each heartbeat of an incarnation
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()  # labels: model/adapter@version
    remaining_s: float | None = None  # until a target at notice is gone


class TargetDeparture(NamedTuple):
    """A target signs off."""

    target: TargetName
