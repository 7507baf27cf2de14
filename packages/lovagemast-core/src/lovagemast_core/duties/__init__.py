"""Duties at the infrastructure: usage reports and orders of targets.

Entry VMs count the requests that targets began to run, by window and client
account. Their counts go to the leader over the sync. The leader commits each
window's counts once, and has one control VM at a time, the holder, send what
is committed until the infrastructure has confirmed it.
"""

from ._clock import FleetClock, FollowedClock, SteadyClock
from ._config import DutyConfig, UsageWindows
from ._controller import DutyController
from ._counter import UsageCounter
from ._exchange import UsageExchange
from ._ledger import UsageLedger
from ._receiver import CallReceiver, send_by
from ._records import (
    USAGE_SUBJECT,
    AccountCount,
    CallDone,
    CallResult,
    DutyCall,
    HandedCall,
    ScaleOrder,
    UsageReport,
    VmUsage,
    WindowUsage,
    subject_of,
)
from ._state import (
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    DesiredCount,
    DutyCommand,
    DutyState,
    SetDesired,
    SetDutyHolder,
)
from ._worktimes import WorkTimes

__all__ = [
    'USAGE_SUBJECT',
    'AccountCount',
    'CallDone',
    'CallReceiver',
    'CallResult',
    'CommitUsage',
    'ConfirmDesired',
    'ConfirmUsage',
    'DesiredCount',
    'DutyCall',
    'DutyCommand',
    'DutyConfig',
    'DutyController',
    'DutyState',
    'FleetClock',
    'FollowedClock',
    'HandedCall',
    'ScaleOrder',
    'SetDesired',
    'SetDutyHolder',
    'SteadyClock',
    'UsageCounter',
    'UsageExchange',
    'UsageLedger',
    'UsageReport',
    'UsageWindows',
    'VmUsage',
    'WindowUsage',
    'WorkTimes',
    'send_by',
    'subject_of',
]
