"""Commands that control replicas agree on, and their outcomes."""

from typing import NamedTuple

from .agreement._roster import Roster


class ApplyConfig(NamedTuple):
    """Replaces the fleet's configuration if the revision is as expected."""

    op_id: str
    expected: int
    document: str  # JSON text of a FleetConfig


class PutConfig(NamedTuple):
    """Replaces the configuration if its revision is the highest so far."""

    revision: int
    document: str  # as the operator sent it


class SetZoneOut(NamedTuple):
    """Takes an availability zone out of service, or back in."""

    zone: str
    out: bool


class NameVersion(NamedTuple):
    """Names a version of an adapter; the highest is the one to serve."""

    model: str
    adapter: str
    version: int


class SetRoster(NamedTuple):
    """Replaces the roster if the published version is as expected."""

    expected_version: int
    roster: Roster


class RemoveVm(NamedTuple):
    """Takes a VM off the roster that operators declare dead."""

    vm: str


class ClaimCall(NamedTuple):
    """Reserves the single execution of a call that may not be repeated."""

    claim: str  # account and digest of the idempotency key
    fingerprint: str
    holder: str  # VM, its boot and the request
    at: float  # s


class FinishCall(NamedTuple):
    """Records how a claimed call ended.

    ``status`` is the target's HTTP status, or 0 when the call is proven
    not to have run, which frees the claim.
    """

    claim: str
    holder: str
    status: int
    media_type: str = ''
    body: bytes = b''


class ReportCrash(NamedTuple):
    """Notes that a target crashed while it ran some requests."""

    fingerprints: tuple[str, ...]
    target: str
    incarnation: str
    at: float  # s


class SetHolders(NamedTuple):
    """Replaces the VMs that send orders, if the epoch is as expected.

    The same VMs again confirm that no former holder's order can arrive any
    more.
    """

    expected: int
    vms: tuple[str, ...]


class SetVoters(NamedTuple):
    """Changes the voting replicas by one."""

    voters: tuple[str, ...]


class NoOp(NamedTuple):
    """Commits the entries of earlier terms in a new leader's term."""

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
    | SetVoters
    | NoOp
)


class Applied(NamedTuple):
    """The command took effect at this revision."""

    revision: int


class Conflict(NamedTuple):
    """The command had no effect, and why."""

    reason: str
    revision: int


class Claimed(NamedTuple):
    """The holder may execute the call, once."""

    claim: str


class AlreadyClaimed(NamedTuple):
    """Another execution holds the claim; ``status`` is 0 while it is open."""

    claim: str
    same_request: bool
    status: int
    media_type: str
    body: bytes


class CrashNoted(NamedTuple):
    """The crash is counted; these fingerprints are now quarantined."""

    quarantined: tuple[str, ...]


class Unavailable(NamedTuple):
    """No leader could commit the command; it may still be committed."""

    detail: str


Outcome = (
    Applied | Conflict | Claimed | AlreadyClaimed | CrashNoted | Unavailable
)
