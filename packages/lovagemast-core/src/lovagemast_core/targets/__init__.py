"""Target registration, and the sync messages sent to entry VMs."""

from ._heartbeat import TargetDeparture, TargetHeartbeat
from ._registry import RegisteredTarget, TargetRegistry
from ._sync import (
    AdapterUse,
    AdapterWish,
    ResidentAdapter,
    SyncAsk,
    SyncReply,
    TargetRecord,
    TokenLot,
    TokenWish,
)

__all__ = [
    'AdapterUse',
    'AdapterWish',
    'RegisteredTarget',
    'ResidentAdapter',
    'SyncAsk',
    'SyncReply',
    'TargetDeparture',
    'TargetHeartbeat',
    'TargetRecord',
    'TargetRegistry',
    'TokenLot',
    'TokenWish',
]
