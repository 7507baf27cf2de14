"""Orders to engines, their outcomes, and engines' reports."""

from enum import StrEnum
from typing import NamedTuple

from .._types import TargetName
from ._label import AdapterLabel


class Order(NamedTuple):
    """An order to an engine to load or unload a model or an adapter.

    ``precondition`` is the number of orders that the engine has accepted so
    far: the engine ignores the order if it has accepted another one since.
    ``version`` 0 asks for the newest version.
    """

    target: TargetName
    address: str
    load: bool  # unloads if false
    model: str
    adapter: str  # empty for the model itself
    version: int
    precondition: int
    fence: int  # fencing token

    @property
    def label(self) -> AdapterLabel:
        """Return the label of what the order loads or unloads."""
        return AdapterLabel(self.model, self.adapter, self.version)


class OrderResult(StrEnum):
    """How an engine responded to an order."""

    ACCEPTED = 'accepted'  # it is being executed
    HOLDS = 'holds'  # there was nothing left to do
    BUSY = 'busy'  # the precondition failed
    REFUSED = 'refused'
    UNKNOWN = 'unknown'  # no response; it may still take effect


class OrderOutcome(NamedTuple):
    """An order and its result.

    ``was_sent`` is false if no VM sent the order to the engine.
    """

    order: Order
    result: OrderResult
    detail: str = ''
    was_sent: bool = True


class TargetReport(NamedTuple):
    """An engine's report of its state, some tenths of a second old."""

    target: TargetName
    sequence: int  # number of orders accepted
    busy: bool
    models: tuple[str, ...]
    adapters: tuple[AdapterLabel, ...]
    loading: tuple[AdapterLabel, ...]
    running: int
    waiting: int
