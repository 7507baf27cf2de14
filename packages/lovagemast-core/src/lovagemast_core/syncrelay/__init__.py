"""Relays between entry VMs and the leader, one on each control VM."""

from ._peeroffers import PeerOffers
from ._relay import SyncRelay
from ._rollout import Rollout
from ._search import RelaySearch
from ._timing import ENTRY_SYNC, RELAY_SYNC, SyncTiming
from ._tokens import TokenSplitter

__all__ = [
    'ENTRY_SYNC',
    'RELAY_SYNC',
    'PeerOffers',
    'RelaySearch',
    'Rollout',
    'SyncRelay',
    'SyncTiming',
    'TokenSplitter',
]
