"""Sends the leader's orders, by this VM or by the holder of their engine."""

from collections.abc import Callable

from .._messages import RelayDone, RelayHello, RelayOrder
from .._outbox import Outbox
from .._types import VmName
from ..adapters import Order, OrderOutcome
from ._effects import ControlEffect, RelayFailed, SendOrder
from ._fleet import FleetController
from ._relays import RelayReceiver


class OrderDispatcher:
    """Both sides of the way of an order: the leader and the holder."""

    def __init__(
        self,
        vm: VmName,
        fleet: FleetController,
        outbox: Outbox,
        emit: Callable[[ControlEffect], None],
    ) -> None:
        self._vm = vm
        self._fleet = fleet
        self._outbox = outbox
        self._emit = emit
        self._receiver = RelayReceiver()

    def send(self, order: Order, term: int, now: float) -> None:
        """Send an order, or have the holder of its engine send it."""
        holder = self._fleet.holders.holder_of(order.target)
        if holder == self._vm:
            self._emit(SendOrder(order))
            return
        relays = self._fleet.relays
        message = relays.make_relay_order(holder, order, term, now)
        self._outbox.send(holder, message)

    def return_outcome(self, outcome: OrderOutcome) -> bool:
        """Send an outcome to the VM that requested the order, if another."""
        requester = self._receiver.pop_requester(outcome.order)
        if requester:
            self._outbox.send(requester, RelayDone(outcome))
        return bool(requester)

    def on_hello(self, sender: VmName, hello: RelayHello, now: float) -> None:
        """Record that a VM can send orders for this leader."""
        self._fleet.relays.on_hello(sender, hello, now)
        self._fleet.health.record_contact(sender, now)

    def on_order(
        self, sender: VmName, message: RelayOrder, term: int, now: float
    ) -> None:
        """Send an order for the leader, unless it is too old."""
        refused = self._receiver.accept(sender, message, term, now)
        if refused:
            self._outbox.send(sender, RelayDone(refused))
        else:
            self._emit(SendOrder(message.order))

    def on_done(self, done: RelayDone) -> OrderOutcome | None:
        """Return the outcome of a relayed order, if one is awaited."""
        outcome = self._fleet.relays.on_done(done)
        if outcome and not outcome.was_sent:
            self._emit(RelayFailed(outcome))
        return outcome
