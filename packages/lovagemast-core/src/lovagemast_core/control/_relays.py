"""Relays orders from the leader through the holders of the engines."""

from typing import Final

from .._messages import RelayDone, RelayHello, RelayOrder
from .._types import TargetName, VmName
from ..adapters import Order, OrderOutcome, OrderResult

RELAY_HELLO_INTERVAL_S: Final = 0.1  # between hellos of a holder to the leader
# A holder sends an order only this long after the hello that the order refers
# to, by the holder's own clock: well before another leader can replace it.
RELAY_LEASE_S: Final = 0.5
RELAY_HELLO_TTL_S: Final = 0.3  # after which the sender gets no orders
OUTCOME_TIMEOUT_S: Final = 1.4  # longer than an engine's response time


class RelaySender:
    """The leader's side: tracks hellos and relayed orders without outcome."""

    def __init__(self) -> None:
        self._hellos: dict[VmName, tuple[RelayHello, float]] = {}
        self._pending: dict[Order, float] = {}

    def reset(self) -> None:
        """Discard the hellos and orders of an earlier term."""
        self._hellos.clear()
        self._pending.clear()

    def on_hello(self, vm: VmName, hello: RelayHello, now: float) -> None:
        """Record a hello: its sender can send orders."""
        self._hellos[vm] = (hello, now)

    def can_send(self, vm: VmName, now: float) -> bool:
        """Return whether a VM's last hello is recent enough to relay orders."""
        known = self._hellos.get(vm)
        return known is not None and now - known[1] <= RELAY_HELLO_TTL_S

    def make_relay_order(
        self,
        vm: VmName,
        order: Order,
        term: int,
        now: float,
    ) -> RelayOrder:
        """Return the message that asks a VM to send an order."""
        self._pending[order] = now + OUTCOME_TIMEOUT_S
        hello, _at = self._hellos[vm]
        return RelayOrder(order, term, hello.clock)

    def on_done(self, done: RelayDone) -> OrderOutcome | None:
        """Return the outcome of a pending order, or ``None`` if repeated."""
        if self._pending.pop(done.outcome.order, None) is None:
            return None
        return done.outcome

    def expire(self, now: float) -> list[OrderOutcome]:
        """Return unknown outcomes for orders that have timed out."""
        timed_out = [
            order for order, deadline in self._pending.items() if now > deadline
        ]
        for order in timed_out:
            self._pending.pop(order)
        return [
            OrderOutcome(
                order,
                OrderResult.UNKNOWN,
                'no outcome reported by the holder in time',
            )
            for order in timed_out
        ]


class RelayReceiver:
    """The holder's side: validates relayed orders, tracks who requested them.

    It refuses late and outdated orders: by then another VM may send orders to
    the same engine.
    """

    def __init__(self) -> None:
        self._requesters: dict[Order, VmName] = {}
        self._highest_tokens: dict[TargetName, int] = {}  # fencing tokens

    def accept(
        self,
        requester: VmName,
        message: RelayOrder,
        term: int,
        now: float,
    ) -> OrderOutcome | None:
        """Accept an order for sending, or return the outcome that refuses it.

        ``term`` is the newest term that this VM knows.
        """
        order = message.order
        reason = ''
        if now - message.clock > RELAY_LEASE_S:
            reason = 'too late to be sent'
        elif message.term < term:
            reason = 'of an earlier term'
        elif order.fence < self._highest_tokens.get(order.target, 0):
            reason = 'of an earlier holder list'
        if reason:
            return OrderOutcome(
                order,
                OrderResult.REFUSED,
                reason,
                was_sent=False,
            )
        self._highest_tokens[order.target] = order.fence
        self._requesters[order] = requester
        return None

    def pop_requester(self, order: Order) -> VmName | None:
        """Remove and return the VM that requested an order, if any."""
        return self._requesters.pop(order, None)
