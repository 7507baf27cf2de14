"""Decisions of an entry VM: target selection, retries and load limits."""

from ._accountshares import account_weights
from ._batch import BatchLimit
from ._drain import DrainWindow
from ._eventstream import EventStreamBuffer
from ._firstevents import FirstEventTimes
from ._forwarding import (
    ForwardEvent,
    ForwardHead,
    ForwardRefusal,
    ForwardRequest,
    HeaderField,
)
from ._health import TargetHealth
from ._leadersearch import LeaderSearch
from ._limits import ColdStartLimiter, EntryShare
from ._loadestimate import FLEET_LAG_S, LoadEstimate
from ._loadspread import MeanServiceTime
from ._pace import TargetPaces, WorkKind, WorkTime
from ._paths import SAMPLE_TARGETS, PathMonitor
from ._peers import PeerDirectory
from ._prefill import PrefillLimit
from ._rejections import RejectionGuard, TargetUse
from ._retrybudget import LONG_AGO_S, RetryBudget
from ._returns import ExpectedReturns
from ._selection import (
    Candidate,
    Choice,
    NoReadyTarget,
    SelectionCriteria,
    SpreadTerms,
    TargetRequirements,
    choose_target,
    find_candidates,
)
from ._sendlimiter import SendLimiter, SendTerms
from ._view import FleetView, KnownTarget
from ._waitingorder import WaitingOrder, WaitingRequest
from ._waitqueue import WaitQueue

__all__ = [
    'FLEET_LAG_S',
    'LONG_AGO_S',
    'SAMPLE_TARGETS',
    'BatchLimit',
    'Candidate',
    'Choice',
    'ColdStartLimiter',
    'DrainWindow',
    'EntryShare',
    'EventStreamBuffer',
    'ExpectedReturns',
    'FirstEventTimes',
    'FleetView',
    'ForwardEvent',
    'ForwardHead',
    'ForwardRefusal',
    'ForwardRequest',
    'HeaderField',
    'KnownTarget',
    'LeaderSearch',
    'LoadEstimate',
    'MeanServiceTime',
    'NoReadyTarget',
    'PathMonitor',
    'PeerDirectory',
    'PrefillLimit',
    'RejectionGuard',
    'RetryBudget',
    'SelectionCriteria',
    'SendLimiter',
    'SendTerms',
    'SpreadTerms',
    'TargetHealth',
    'TargetPaces',
    'TargetRequirements',
    'TargetUse',
    'WaitQueue',
    'WaitingOrder',
    'WaitingRequest',
    'WorkKind',
    'WorkTime',
    'account_weights',
    'choose_target',
    'find_candidates',
]
