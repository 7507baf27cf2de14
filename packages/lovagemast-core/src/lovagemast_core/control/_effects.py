"""Effects: actions that a control VM requests from its host process."""

from typing import NamedTuple

from .._commands import Outcome
from .._effects import PersistLog, SendPeer
from .._state import PublishedState
from .._types import TargetName, VmName
from ..adapters import Order, OrderOutcome
from ..duties import DutyState, HandedCall
from ..quarantine import QuarantineState
from ..scaling import CountDecision
from ..streams import PoolSoftware
from ..targets import LimitReport


class CommandDone(NamedTuple):
    """Deliver the outcome of a proposed command.

    The outcome is :class:`Unavailable` if it is not known in time.
    """

    call: int
    outcome: Outcome


class ReadDone(NamedTuple):
    """Answer a read from ``published``, or fail it if that is ``None``."""

    call: int
    published: PublishedState | None


class SendOrder(NamedTuple):
    """Send an order to an engine and report its outcome."""

    order: Order


class RequestReport(NamedTuple):
    """Request a status report from an engine."""

    target: TargetName
    address: str


class PushUpdates(NamedTuple):
    """Push changes to the entry VMs that are connected."""


class LeaderChanged(NamedTuple):
    """The known leader or the term has changed; ``leader`` may be empty."""

    leader: VmName
    term: int


class FormatsNoticed(NamedTuple):
    """Control VMs have named the formats of commands that they read.

    ``formats`` is by replica; 0 is a build that names none.
    """

    formats: dict[str, int]


class HoldersNoticed(NamedTuple):
    """The control VMs that send orders to engines have changed."""

    epoch: int
    vms: tuple[VmName, ...]
    former: int  # former lists whose orders may still arrive


class QuarantineChanged(NamedTuple):
    """Prompt parts were suspected, quarantined, tried or cleared."""

    before: QuarantineState
    after: QuarantineState


class LimitsChanged(NamedTuple):
    """The leader has learned of new limits of targets, or of their end."""

    reports: tuple[LimitReport, ...]


class CountsDecided(NamedTuple):
    """The leader has decided on other counts of targets, or for new reasons.

    Targets that have appeared or gone since change ``present`` only.
    """

    counts: tuple[CountDecision, ...]


class RelayFailed(NamedTuple):
    """A holder did not send a relayed order, or did not report its outcome."""

    outcome: OrderOutcome


class SoftwareChanged(NamedTuple):
    """The software versions of some pool have changed, as committed."""

    software: tuple[PoolSoftware, ...]


class CallInfrastructure(NamedTuple):
    """Send a call to the infrastructure and report its outcome.

    It must not be sent after ``send_by``, in s.
    """

    handed: HandedCall
    send_by: float


class DutiesChanged(NamedTuple):
    """The committed state of the duties at the infrastructure has changed."""

    before: DutyState
    after: DutyState


ControlEffect = (
    SendPeer
    | PersistLog
    | CommandDone
    | ReadDone
    | SendOrder
    | RequestReport
    | PushUpdates
    | LeaderChanged
    | SoftwareChanged
    | FormatsNoticed
    | HoldersNoticed
    | QuarantineChanged
    | LimitsChanged
    | RelayFailed
    | CountsDecided
    | CallInfrastructure
    | DutiesChanged
)
