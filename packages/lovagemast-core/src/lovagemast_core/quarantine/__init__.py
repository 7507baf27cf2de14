"""Quarantine of prompt parts and whole requests that crash targets.

A prompt consists of parts that requests share. A part may crash each target
that begins to answer a request holding it, so requests with that part are
kept from targets, whoever sends them. So it is with a whole request that is
repeated. Parts and whole requests are the subjects of a quarantine.

A crash implicates the subjects of all requests that ran at the target, unless
they were answered lately; an answer clears the subjects of its request.
Implicated subjects are suspects: until one of them is answered, its requests
are sent one at a time in the whole fleet, as trials. A subject that goes on
crashing targets is quarantined, and its requests are refused but for a few
later trials.
"""

from .._types import Subject
from ._answered import ANSWERING_S, AnsweredSubjects
from ._controller import QuarantineController
from ._failuredetector import LastHeartbeat
from ._guard import QuarantineGuard, QuarantineVerdict, SendStatus
from ._reports import QuarantineReports
from ._state import (
    MAX_QUARANTINE_TRIALS,
    ClearSubjects,
    JudgeCrash,
    QuarantineState,
    StartTrial,
    SubjectRecord,
    TargetCrash,
    TrialWish,
)
from ._subjects import RequestIdentity, is_request

__all__ = [
    'ANSWERING_S',
    'MAX_QUARANTINE_TRIALS',
    'AnsweredSubjects',
    'ClearSubjects',
    'JudgeCrash',
    'LastHeartbeat',
    'QuarantineController',
    'QuarantineGuard',
    'QuarantineReports',
    'QuarantineState',
    'QuarantineVerdict',
    'RequestIdentity',
    'SendStatus',
    'StartTrial',
    'Subject',
    'SubjectRecord',
    'TargetCrash',
    'TrialWish',
    'is_request',
]
