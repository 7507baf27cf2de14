"""A control VM: the replicated log and the fleet while it leads."""

from ._config import ControlConfig
from ._effects import (
    CommandDone,
    ControlEffect,
    HoldersChanged,
    LeaderChanged,
    PushUpdates,
    ReadDone,
    RelayFailed,
    RequestReport,
    SendOrder,
)
from ._fleet import LEASE_S, FleetController
from ._holders import HolderHealth, OrderHolders
from ._node import ControlNode

__all__ = [
    'LEASE_S',
    'CommandDone',
    'ControlConfig',
    'ControlEffect',
    'ControlNode',
    'FleetController',
    'HolderHealth',
    'HoldersChanged',
    'LeaderChanged',
    'OrderHolders',
    'PushUpdates',
    'ReadDone',
    'RelayFailed',
    'RequestReport',
    'SendOrder',
]
