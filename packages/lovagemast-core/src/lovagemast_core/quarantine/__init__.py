"""Quarantine of prompt parts that crash targets.

A prompt consists of parts that requests share. A part may crash each target
that begins to answer a request holding it, so requests with that part are
kept from targets, whoever sends them.

A crash implicates the parts of all requests that ran at the target and had
no answer yet; an answer clears the parts of its request. Implicated parts
are suspects: until one of them is answered, its requests are sent one at a
time in the whole fleet, as trials. A part that goes on crashing targets is
quarantined, and its requests are refused but for a few later trials.
"""

from ._answered import AnsweredParts
from ._controller import QuarantineController
from ._guard import PartGuard, PartStatus, PartVerdict
from ._reports import PartReports
from ._state import (
    MAX_QUARANTINE_TRIALS,
    ClearParts,
    PartCrash,
    PartRecord,
    QuarantineState,
    StartTrial,
    TrialWish,
)

__all__ = [
    'MAX_QUARANTINE_TRIALS',
    'AnsweredParts',
    'ClearParts',
    'PartCrash',
    'PartGuard',
    'PartRecord',
    'PartReports',
    'PartStatus',
    'PartVerdict',
    'QuarantineController',
    'QuarantineState',
    'StartTrial',
    'TrialWish',
]
