"""Relays between entry VMs and the leader, one on each control VM."""

from ._peeroffers import PeerOffers
from ._published import NOTHING, describe_published
from ._relay import SyncRelay
from ._rollout import Rollout
from ._search import RelaySearch
from ._timing import ENTRY_SYNC, RELAY_SYNC, SyncTiming
from ._tokens import TokenSplitter

__all__ = [
    'ENTRY_SYNC',
    'NOTHING',
    'RELAY_SYNC',
    'PeerOffers',
    'RelaySearch',
    'Rollout',
    'SyncRelay',
    'SyncTiming',
    'TokenSplitter',
    'describe_published',
]
