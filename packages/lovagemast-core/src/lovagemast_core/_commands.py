"""Commands of the replicated log of the control VMs, and their outcomes."""

from typing import NamedTuple

from .agreement._roster import Roster
from .duties._state import (
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    SetDesired,
    SetDutyHolder,
)
from .quarantine._state import (
    ClearSubjects,
    JudgeCrash,
    StartTrial,
    TargetCrash,
)
from .streams._software import SetSoftware


class ApplyConfig(NamedTuple):
    """Replaces the fleet configuration if its revision is ``expected``."""

    op_id: str
    expected: int
    document: str  # JSON text of a FleetConfig


class PutConfig(NamedTuple):
    """Replaces the configuration if ``revision`` is higher than the current."""

    revision: int
    document: str  # as the operator sent it


class SetZoneOut(NamedTuple):
    """Takes an availability zone out of service or puts it back in service."""

    zone: str
    out: bool


class NameVersion(NamedTuple):
    """Registers an adapter version; the highest registered one is served."""

    model: str
    adapter: str
    version: int


class SetRoster(NamedTuple):
    """Replaces the roster if the published version is ``expected_version``."""

    expected_version: int
    roster: Roster


class RemoveVm(NamedTuple):
    """Removes a VM that an operator has declared dead from the roster."""

    vm: str


class ClaimCall(NamedTuple):
    """Claims the only execution of a non-idempotent call."""

    claim: str  # account and digest of the idempotency key
    fingerprint: str  # digest of the request
    holder: str  # VM, its boot and the request
    at: float  # s


class FinishCall(NamedTuple):
    """Records how a claimed call ended.

    ``status`` is the target's HTTP status, or 0 if the call is known not to
    have run, in which case the claim is released.
    """

    claim: str
    holder: str
    status: int
    media_type: str = ''
    body: bytes = b''


class ReportCrash(NamedTuple):
    """Records that a target crashed while it was running requests."""

    fingerprints: tuple[str, ...]
    target: str
    incarnation: str
    at: float  # s


class SetHolders(NamedTuple):
    """Replaces the VMs that send orders if the epoch is ``expected``.

    Proposing the current VMs again confirms that no order of a former
    holder is still in transit.
    """

    expected: int
    vms: tuple[str, ...]


class RecordDeparture(NamedTuple):
    """Records that an incarnation of a target is leaving, or is gone."""

    target: str
    incarnation: int  # 0 if it is not known


class SetVoters(NamedTuple):
    """Adds or removes one voting replica."""

    voters: tuple[str, ...]


class NoOp(NamedTuple):
    """Commits the entries of earlier terms at the start of a leader's term."""

    leader: str


Command = (
    ApplyConfig
    | PutConfig
    | SetZoneOut
    | NameVersion
    | SetRoster
    | RemoveVm
    | ClaimCall
    | FinishCall
    | ReportCrash
    | SetHolders
    | RecordDeparture
    | TargetCrash
    | ClearSubjects
    | JudgeCrash
    | StartTrial
    | SetSoftware
    | CommitUsage
    | ConfirmUsage
    | SetDutyHolder
    | SetDesired
    | ConfirmDesired
    | SetVoters
    | NoOp
)


class Applied(NamedTuple):
    """The command took effect; ``revision`` is the current revision."""

    revision: int


class Conflict(NamedTuple):
    """The command was rejected, with the reason."""

    reason: str
    revision: int


class Claimed(NamedTuple):
    """The holder may execute the call once."""

    claim: str


class AlreadyClaimed(NamedTuple):
    """Another request holds the claim.

    ``status`` is 0 while that request's outcome is not known.
    """

    claim: str
    same_request: bool
    status: int
    media_type: str
    body: bytes


class CrashNoted(NamedTuple):
    """The crash was counted; lists the fingerprints that are quarantined."""

    quarantined: tuple[str, ...]


class Unavailable(NamedTuple):
    """No leader confirmed the command, which may yet be committed."""

    detail: str


Outcome = (
    Applied | Conflict | Claimed | AlreadyClaimed | CrashNoted | Unavailable
)
