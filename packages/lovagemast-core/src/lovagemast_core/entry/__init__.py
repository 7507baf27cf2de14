"""What an entry VM decides: which target, whether to retry, to refuse."""

from ._batch import BatchLimit
from ._choice import (
    Candidate,
    Choice,
    Need,
    NoChoice,
    Terms,
    choose_target,
    find_candidates,
)
from ._health import TargetHealth
from ._leadersearch import LeaderSearch
from ._limits import ColdLimiter, RetryAllowance, Share
from ._prefill import PrefillLimit
from ._stream import EventCutter
from ._view import FleetView, KnownTarget

__all__ = [
    'BatchLimit',
    'Candidate',
    'Choice',
    'ColdLimiter',
    'EventCutter',
    'FleetView',
    'KnownTarget',
    'LeaderSearch',
    'Need',
    'NoChoice',
    'PrefillLimit',
    'RetryAllowance',
    'Share',
    'TargetHealth',
    'Terms',
    'choose_target',
    'find_candidates',
]
