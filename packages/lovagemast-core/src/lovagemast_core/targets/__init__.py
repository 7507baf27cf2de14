"""Target registration, and the sync messages between VMs."""

from ._heartbeat import TargetDeparture, TargetHeartbeat
from ._registry import RegisteredTarget, TargetRegistry
from ._removals import RemovalLog
from ._sync import (
    AdapterUse,
    AdapterWish,
    EntryPeer,
    LimitReport,
    RelayInfo,
    ResidentAdapter,
    SyncAsk,
    SyncReply,
    TargetLoad,
    TargetRecord,
    TokenLot,
    TokenWish,
)

__all__ = [
    'AdapterUse',
    'AdapterWish',
    'EntryPeer',
    'LimitReport',
    'RegisteredTarget',
    'RelayInfo',
    'RemovalLog',
    'ResidentAdapter',
    'SyncAsk',
    'SyncReply',
    'TargetDeparture',
    'TargetHeartbeat',
    'TargetLoad',
    'TargetRecord',
    'TargetRegistry',
    'TokenLot',
    'TokenWish',
]
