"""Wishes of a control VM that only its host can carry out."""

from typing import NamedTuple

from .._commands import Outcome
from .._effects import PersistLog, SendPeer
from .._state import PublishedState
from .._types import TargetName, VmName
from ..adapters import Order, OrderOutcome


class CommandDone(NamedTuple):
    """A proposed command was applied, or its fate is not known."""

    call: int
    outcome: Outcome


class ReadDone(NamedTuple):
    """A read may be answered from ``published``; ``None``: it may not."""

    call: int
    published: PublishedState | None


class SendOrder(NamedTuple):
    """Send an order to an engine; answered by its outcome."""

    order: Order


class RequestReport(NamedTuple):
    """Ask an engine for a report."""

    target: TargetName
    address: str


class PushUpdates(NamedTuple):
    """Something changed that entry VMs need to know."""


class LeaderChanged(NamedTuple):
    """Another VM leads, or this one, or nobody that is known."""

    leader: VmName
    term: int


class HoldersChanged(NamedTuple):
    """Other control VMs than before send the orders to engines."""

    epoch: int
    vms: tuple[VmName, ...]
    former: int  # lists whose orders may still be on their way


class RelayFailed(NamedTuple):
    """A holder did not send an order, or did not say what came of it."""

    outcome: OrderOutcome


ControlEffect = (
    SendPeer
    | PersistLog
    | CommandDone
    | ReadDone
    | SendOrder
    | RequestReport
    | PushUpdates
    | LeaderChanged
    | HoldersChanged
    | RelayFailed
)
