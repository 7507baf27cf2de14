"""What an entry VM decides: which target, whether to retry, to refuse."""

from ._batch import BatchLimit
from ._choice import (
    Candidate,
    Choice,
    NoReadyTarget,
    SelectionCriteria,
    TargetRequirements,
    choose_target,
    find_candidates,
)
from ._health import TargetHealth
from ._leadersearch import LeaderSearch
from ._limits import ColdStartLimiter, EntryShare, RetryBudget
from ._prefill import PrefillLimit
from ._stream import EventStreamBuffer
from ._view import FleetView, KnownTarget

__all__ = [
    'BatchLimit',
    'Candidate',
    'Choice',
    'ColdStartLimiter',
    'EntryShare',
    'EventStreamBuffer',
    'FleetView',
    'KnownTarget',
    'LeaderSearch',
    'NoReadyTarget',
    'PrefillLimit',
    'RetryBudget',
    'SelectionCriteria',
    'TargetHealth',
    'TargetRequirements',
    'choose_target',
    'find_candidates',
]
