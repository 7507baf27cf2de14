"""A control VM: the replicated log and the fleet while it leads."""

from ._config import ControlConfig
from ._effects import (
    AskReport,
    CommandDone,
    ControlEffect,
    HoldersNoticed,
    LeaderNoticed,
    OrderNotSent,
    PushNews,
    ReadDone,
    SendOrder,
)
from ._fleet import LEASE_S, FleetController
from ._holders import HolderHealth, OrderHolders
from ._node import ControlNode

__all__ = [
    'LEASE_S',
    'AskReport',
    'CommandDone',
    'ControlConfig',
    'ControlEffect',
    'ControlNode',
    'FleetController',
    'HolderHealth',
    'HoldersNoticed',
    'LeaderNoticed',
    'OrderHolders',
    'OrderNotSent',
    'PushNews',
    'ReadDone',
    'SendOrder',
]
