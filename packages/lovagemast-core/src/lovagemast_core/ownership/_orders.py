"""Load and unload orders for the adapters of owned targets."""

from collections.abc import Callable
from typing import Final, NamedTuple

from .._effects import OrderTarget
from .._events import OrderAnswered, TargetProbed
from .._messages import TicketRefuse
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import Reason, TargetName
from ._adaptercache import SlotState
from ._loadscheduler import AdapterLoad, LoadScheduler, LoadStartResult
from ._ownedtarget import OwnedTarget

ORDER_TIMEOUT_S: Final = 5.0


class _Order(NamedTuple):
    target: TargetName
    label: str
    load: bool


class OrderController:
    """Sends load and unload orders to engines and applies their outcomes."""

    def __init__(
        self,
        outbox: Outbox,
        find: Callable[[TargetName], OwnedTarget | None],
        boot: str,
    ) -> None:
        self.load_scheduler: LoadScheduler | None = None
        self._outbox = outbox
        self._find_target = find
        self._boot = boot
        self._orders: dict[str, _Order] = {}
        self._seq = 0

    @property
    def loads_in_flight(self) -> int:
        """Return the number of loads of this VM in progress."""
        return self.load_scheduler.in_flight if self.load_scheduler else 0

    def request_loads(self, owned: OwnedTarget, now: float) -> None:
        """Queue the loads that tickets wait for, if a slot can be had."""
        if self.load_scheduler is None or not owned.waiting_for_load:
            return
        may_evict = owned.may_evict(now)
        if not owned.cache.can_add(now, may_evict=may_evict):
            return
        for label in owned.versions_to_load():
            self.load_scheduler.enqueue(
                AdapterLoad(owned.facts.target, label),
                now,
            )

    def start_load(self, load: AdapterLoad, now: float) -> LoadStartResult:
        """Send a load order, or the unload order that must precede it."""
        owned = self._find_target(load.target)
        if owned is None or load.label not in owned.versions_to_load():
            return LoadStartResult.IMPOSSIBLE
        if not owned.holds_lease(now):
            return LoadStartResult.IMPOSSIBLE
        if owned.cache.has_room():
            owned.begin_load(load.label, now)
            self._send(owned, load.label, load=True, now=now)
            return LoadStartResult.STARTED
        victim = owned.cache.victim(now) if owned.may_evict(now) else None
        if victim is None:
            return LoadStartResult.IMPOSSIBLE
        owned.cache.set_state(victim.label, SlotState.UNLOADING, now)
        self._send(owned, victim.label, load=False, now=now)
        return LoadStartResult.EVICTING

    def on_answer(
        self,
        answer: OrderAnswered,
        now: float,
    ) -> OwnedTarget | None:
        """Apply an order's outcome; return the target if still owned."""
        order = self._orders.pop(answer.order, None)
        owned = self._find_target(order.target) if order else None
        if order is None or owned is None:
            return None
        self._outbox.record(
            now,
            EventKind.ORDER_ANSWERED,
            f'{order.label}: {answer.detail or "done"}',
            target=order.target,
        )
        if answer.certain:
            self._apply_result(owned, order, accepted=answer.accepted, now=now)
        else:
            owned.cache.set_uncertain(order.label, now + ORDER_TIMEOUT_S)
        if order.load and self.load_scheduler:
            self.load_scheduler.on_load_finished(
                AdapterLoad(order.target, order.label),
                now,
            )
        return owned

    def drop_target(self, target: TargetName, now: float) -> None:
        """Discard a target's orders and queued loads.

        Called when the target has restarted or is no longer owned.
        """
        self._orders = {
            name: order
            for name, order in self._orders.items()
            if order.target != target
        }
        if self.load_scheduler:
            self.load_scheduler.cancel_target(target, now)

    def on_adapter_missing(
        self,
        owned: OwnedTarget,
        label: str,
        now: float,
    ) -> None:
        """Reload an adapter version that an engine unloaded on its own."""
        slot = owned.cache.get(label)
        if slot and slot.state is SlotState.LOADED:
            owned.cache.drop(label)
            owned.requeue_for_load([label], now)
            self.request_loads(owned, now)

    def reconcile(
        self,
        owned: OwnedTarget,
        probed: TargetProbed,
        now: float,
    ) -> bool:
        """Apply a probe's adapter list; return whether all were unloaded."""
        self._resolve_uncertain(owned, probed, now)
        vanished = owned.cache.reconcile(probed.adapters, probed.sent_at, now)
        owned.requeue_for_load(vanished, now)
        self.request_loads(owned, now)
        return bool(vanished) and not probed.adapters

    def _apply_result(
        self,
        owned: OwnedTarget,
        order: _Order,
        *,
        accepted: bool,
        now: float,
    ) -> None:
        """Update the cache with the certain outcome of an order."""
        if order.load == accepted:
            owned.finish_load(order.label, now)
        elif order.load:
            self._load_failed(owned, order.label)
        else:
            owned.cache.drop(order.label)

    def _load_failed(self, owned: OwnedTarget, label: str) -> None:
        for tracked in owned.fail_load(label):
            refusal = TicketRefuse(
                tracked.ticket.attempt,
                owned.facts.target,
                Reason.ADAPTER_UNAVAILABLE,
                0,
            )
            self._outbox.send(tracked.vm, refusal)

    def _resolve_uncertain(
        self,
        owned: OwnedTarget,
        probed: TargetProbed,
        now: float,
    ) -> None:
        for label in owned.cache.uncertain_labels(probed.sent_at):
            slot = owned.cache.get(label)
            if label in probed.adapters:
                owned.finish_load(label, now)
            elif slot and slot.state is SlotState.LOADING:
                self._load_failed(owned, label)
            else:
                owned.cache.drop(label)

    def _send(
        self,
        owned: OwnedTarget,
        label: str,
        *,
        load: bool,
        now: float,
    ) -> None:
        self._seq += 1
        name = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        facts = owned.facts
        self._orders[name] = _Order(facts.target, label, load)
        order = OrderTarget(
            name,
            facts.target,
            facts.address,
            load,
            label,
            owned.fence,
        )
        self._outbox.emit(order)
        verb = 'load' if load else 'unload'
        self._outbox.record(
            now,
            EventKind.ORDER_SENT,
            f'{verb} {label}',
            target=facts.target,
        )
