"""Control VM logic: replicated log, and fleet control while leading."""

from .._commands import RecordDeparture
from ..agreement._formats import FORMAT
from ..agreement._replicastate import ReplicaStatus
from ..agreement._sizes import message_bytes
from ._config import ControlConfig
from ._effects import (
    CallInfrastructure,
    CommandDone,
    ControlEffect,
    CountsDecided,
    DutiesChanged,
    FormatsNoticed,
    HoldersNoticed,
    LeaderChanged,
    LimitsChanged,
    PushUpdates,
    QuarantineChanged,
    ReadDone,
    RelayFailed,
    RequestReport,
    SendOrder,
    SoftwareChanged,
)
from ._fleet import LEADER_LEASE_S, FleetController
from ._holders import HolderHealth, OrderHolders
from ._node import ControlNode
from ._scaling import observe_scaling

__all__ = [
    'FORMAT',
    'LEADER_LEASE_S',
    'CallInfrastructure',
    'CommandDone',
    'ControlConfig',
    'ControlEffect',
    'ControlNode',
    'CountsDecided',
    'DutiesChanged',
    'FleetController',
    'FormatsNoticed',
    'HolderHealth',
    'HoldersNoticed',
    'LeaderChanged',
    'LimitsChanged',
    'OrderHolders',
    'PushUpdates',
    'QuarantineChanged',
    'ReadDone',
    'RecordDeparture',
    'RelayFailed',
    'ReplicaStatus',
    'RequestReport',
    'SendOrder',
    'SoftwareChanged',
    'message_bytes',
    'observe_scaling',
]
