"""Usage counts, calls to the infrastructure, and their messages."""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from .._types import AccountName, VmName, ZoneName


class WindowUsage(NamedTuple):
    """A VM's counts of one window, by client account.

    ``counts`` are in the order of ``accounts``: two lists of scalars take a
    fraction of the processor time of a list of pairs.
    """

    window: int
    accounts: tuple[AccountName, ...]
    counts: tuple[int, ...]


class VmUsage(NamedTuple):
    """What an incarnation of an entry VM's process has counted.

    Counts are cumulative. Those of windows before ``open_window`` are final.
    """

    vm: VmName
    incarnation: int
    open_window: int
    windows: tuple[WindowUsage, ...] = ()


class AccountCount(NamedTuple):
    """The requests of a client account that began to run in a window."""

    account: AccountName
    requests: int


class UsageReport(NamedTuple):
    """The usage of one window, as it is reported to the infrastructure."""

    window: int
    counts: tuple[AccountCount, ...]


class ScaleOrder(NamedTuple):
    """The number of targets wanted for a pool in an availability zone."""

    pool: str
    zone: ZoneName
    desired: int


DutyCall: TypeAlias = UsageReport | ScaleOrder
# What the fencing token and the order of calls refer to.
CallSubject: TypeAlias = tuple[str, ZoneName]
USAGE_SUBJECT: CallSubject = ('', '')


def subject_of(call: DutyCall) -> CallSubject:
    """Return a call's subject; all windows are one."""
    if isinstance(call, ScaleOrder):
        return call.pool, call.zone
    return USAGE_SUBJECT


class CallResult(StrEnum):
    """How a call to the infrastructure ended."""

    CONFIRMED = 'confirmed'
    BUSY = 'busy'  # 429 or 5xx
    SILENT = 'silent'  # connected, but no complete response
    UNREACHABLE = 'unreachable'  # not connected
    REJECTED = 'rejected'  # any other response
    NOT_SENT = 'not-sent'  # refused by the holder


class HandedCall(NamedTuple):
    """Asks the holder to send a call to the infrastructure.

    One of ``usage`` and ``scale`` is set. ``term`` and ``clock`` protect
    against late messages, as in a relayed order.
    """

    number: int  # unique in the leader's term
    token: int  # fencing token
    term: int
    clock: float  # s, ``clock`` of the holder's latest hello
    timeout_s: float  # for the response
    usage: UsageReport | None = None
    scale: ScaleOrder | None = None

    @property
    def call(self) -> DutyCall | None:
        """Return the call; ``None`` if a later build sent another kind."""
        return self.usage or self.scale


class CallDone(NamedTuple):
    """Reports to the leader how a call ended."""

    number: int
    term: int
    result: CallResult
    detail: str


DutyMessage: TypeAlias = HandedCall | CallDone  # between control VMs
