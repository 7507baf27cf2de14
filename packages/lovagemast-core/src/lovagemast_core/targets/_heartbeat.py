"""Announcements that targets send to the control VMs."""

from typing import NamedTuple

from .._types import SoftwareVersion, TargetName, ZoneName


class TargetHeartbeat(NamedTuple):
    """The description that a target sends of itself at regular intervals."""

    target: TargetName
    pool: str
    address: str
    zone: ZoneName
    slots: int
    leaving: bool
    cold_s: float  # remaining time of the cold start
    incarnation: int  # ms since the epoch at which the target started
    sequence: int  # increases with each heartbeat of an incarnation
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()  # labels: model/adapter@version
    remaining_s: float | None = (
        None  # until a target with a termination notice stops
    )
    software: SoftwareVersion = ''


class TargetDeparture(NamedTuple):
    """The deregistration of a target."""

    target: TargetName
