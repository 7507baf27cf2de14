"""Sends orders through the control VMs that hold the engines."""

from typing import Final

from .._messages import RelayDone, RelayHello, RelayOrder
from .._types import TargetName, VmName
from ..adapters import Order, OrderOutcome, OrderResult

HELLO_INTERVAL_S: Final = 0.1
# An order goes out only this long after its holder said hello, by the
# holder's own clock: well before another leader can replace the holder.
RELAY_LEASE_S: Final = 0.5
FRESH_S: Final = 0.3  # age of a hello up to which its sender gets orders
ANSWER_TIMEOUT_S: Final = 2.5  # longer than an engine may take to answer


class OrderRelays:
    """The leader's side: hellos of the holders, and orders under way."""

    def __init__(self) -> None:
        self._hellos: dict[VmName, tuple[RelayHello, float]] = {}
        self._under_way: dict[Order, float] = {}

    def restart(self) -> None:
        """Forget the orders of an earlier term."""
        self._hellos.clear()
        self._under_way.clear()

    def on_hello(self, vm: VmName, hello: RelayHello, now: float) -> None:
        """Note that a VM can send orders."""
        self._hellos[vm] = (hello, now)

    def can_send(self, vm: VmName, now: float) -> bool:
        """Return whether a VM would send an order in time."""
        known = self._hellos.get(vm)
        return known is not None and now - known[1] <= FRESH_S

    def order(
        self,
        vm: VmName,
        order: Order,
        term: int,
        now: float,
    ) -> RelayOrder:
        """Return the message that lets a VM send an order."""
        self._under_way[order] = now + ANSWER_TIMEOUT_S
        hello, _at = self._hellos[vm]
        return RelayOrder(order, term, hello.clock)

    def on_done(self, done: RelayDone) -> OrderOutcome | None:
        """Return an order's outcome, once."""
        if self._under_way.pop(done.outcome.order, None) is None:
            return None
        return done.outcome

    def expire(self, now: float) -> list[OrderOutcome]:
        """Return the orders whose holders did not answer."""
        lost = [one for one, at in self._under_way.items() if now > at]
        for order in lost:
            self._under_way.pop(order)
        return [
            OrderOutcome(order, OrderResult.UNKNOWN, 'the holder is silent')
            for order in lost
        ]


class RelayedOrders:
    """A holder's side: whom to tell what came of which order."""

    def __init__(self) -> None:
        self._askers: dict[Order, VmName] = {}
        self._highest: dict[TargetName, int] = {}  # fencing tokens

    def accept(
        self,
        asker: VmName,
        message: RelayOrder,
        term: int,
        now: float,
    ) -> OrderOutcome | None:
        """Take an order to send; return why it is not sent, if so.

        ``term`` is the newest that this VM knows.
        """
        order = message.order
        reason = ''
        if now - message.clock > RELAY_LEASE_S:
            reason = 'too late to be sent'
        elif message.term < term:
            reason = 'of an earlier term'
        elif order.fence < self._highest.get(order.target, 0):
            reason = 'of an earlier holder list'
        if reason:
            return OrderOutcome(
                order,
                OrderResult.REFUSED,
                reason,
                was_sent=False,
            )
        self._highest[order.target] = order.fence
        self._askers[order] = asker
        return None

    def asker_of(self, order: Order) -> VmName | None:
        """Return the VM that waits for an order's outcome, once."""
        return self._askers.pop(order, None)
