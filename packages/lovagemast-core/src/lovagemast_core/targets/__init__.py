"""Targets: how they register, how entry VMs see and choose them."""

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
