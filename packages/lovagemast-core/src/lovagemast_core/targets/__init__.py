"""Targets: how they register, how entry VMs see and choose them."""

from ._heartbeat import TargetDeparture, TargetHeartbeat
from ._registry import TargetRegistry
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
