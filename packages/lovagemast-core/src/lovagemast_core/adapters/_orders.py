"""Orders to engines, their outcomes and engines' reports."""

from enum import StrEnum
from typing import NamedTuple

from .._types import TargetName
from ._label import AdapterLabel


class Order(NamedTuple):
    """Loads or unloads a model, or one of its adapters, at an engine.

    ``precondition`` is the number of orders that the engine has accepted so
    far: it ignores the order if another one came first. ``version`` 0 asks
    for the newest.
    """

    target: TargetName
    address: str
    load: bool
    model: str
    adapter: str  # empty for the model itself
    version: int
    precondition: int
    fence: int  # fencing token

    @property
    def label(self) -> AdapterLabel:
        """Return what the order loads or unloads."""
        return AdapterLabel(self.model, self.adapter, self.version)


class OrderResult(StrEnum):
    """What an engine said to an order."""

    ACCEPTED = 'accepted'  # it is being carried out
    HOLDS = 'holds'  # nothing was left to do
    BUSY = 'busy'  # another order came first
    REFUSED = 'refused'
    UNKNOWN = 'unknown'  # no answer: it may take effect later


class OrderOutcome(NamedTuple):
    """An order and what came of it."""

    order: Order
    result: OrderResult
    detail: str = ''
    was_sent: bool = True  # to the engine


class TargetReport(NamedTuple):
    """What an engine reports, some tenths of a second old."""

    target: TargetName
    sequence: int  # orders accepted
    busy: bool
    models: tuple[str, ...]
    adapters: tuple[AdapterLabel, ...]
    loading: tuple[AdapterLabel, ...]
    running: int
    waiting: int
