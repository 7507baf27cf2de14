"""Adapter loads and evictions at owned targets."""

from collections.abc import Callable
from typing import Final, NamedTuple

from .._effects import OrderTarget
from .._events import OrderAnswered, TargetProbed
from .._messages import TicketRefuse
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import Reason, TargetName
from ._adaptercache import SlotState
from ._loadscheduler import Load, LoadScheduler, LoadStart
from ._ownedtarget import OwnedTarget

ORDER_TIMEOUT_S: Final = 5.0


class _Order(NamedTuple):
    target: TargetName
    label: str
    load: bool


class OrderController:
    """Sends orders and learns from their answers what is loaded."""

    def __init__(
        self,
        outbox: Outbox,
        find: Callable[[TargetName], OwnedTarget | None],
        boot: str,
    ) -> None:
        self.load_scheduler: LoadScheduler | None = None
        self._outbox = outbox
        self._find = find
        self._boot = boot
        self._orders: dict[str, _Order] = {}
        self._seq = 0

    @property
    def loads_in_flight(self) -> int:
        """Return how many loads of this VM are under way."""
        return self.load_scheduler.in_flight if self.load_scheduler else 0

    def want_loads(self, owned: OwnedTarget, now: float) -> None:
        """Queue the loads that tickets wait for and that could start."""
        if self.load_scheduler is None or not owned.waiting_load:
            return
        may_evict = owned.may_evict(now)
        if not owned.cache.can_place(now, may_evict=may_evict):
            return
        for label in owned.loads_wanted():
            self.load_scheduler.want(Load(owned.facts.target, label), now)

    def start_load(self, load: Load, now: float) -> LoadStart:
        """Order a load, or the eviction that has to go before it."""
        owned = self._find(load.target)
        if owned is None or load.label not in owned.loads_wanted():
            return LoadStart.IMPOSSIBLE
        if not owned.holds_lease(now):
            return LoadStart.IMPOSSIBLE
        if owned.cache.has_room():
            owned.begin_load(load.label, now)
            self._send(owned, load.label, load=True, now=now)
            return LoadStart.STARTED
        victim = owned.cache.victim(now) if owned.may_evict(now) else None
        if victim is None:
            return LoadStart.IMPOSSIBLE
        owned.cache.set_state(victim.label, SlotState.UNLOADING, now)
        self._send(owned, victim.label, load=False, now=now)
        return LoadStart.EVICTING

    def on_answer(
        self,
        answer: OrderAnswered,
        now: float,
    ) -> OwnedTarget | None:
        """Note what an order did; return the target if it is still owned."""
        order = self._orders.pop(answer.order, None)
        owned = self._find(order.target) if order else None
        if order is None or owned is None:
            return None
        self._outbox.record(
            now,
            EventKind.ORDER_ANSWERED,
            f'{order.label}: {answer.detail or "done"}',
            target=order.target,
        )
        if answer.certain:
            self._settle(owned, order, accepted=answer.accepted, now=now)
        else:
            owned.cache.set_uncertain(order.label, now + ORDER_TIMEOUT_S)
        if order.load and self.load_scheduler:
            self.load_scheduler.finished(Load(order.target, order.label), now)
        return owned

    def forget_target(self, target: TargetName, now: float) -> None:
        """Drop the orders and wishes of a target, as after its restart."""
        self._orders = {
            name: order
            for name, order in self._orders.items()
            if order.target != target
        }
        if self.load_scheduler:
            self.load_scheduler.cancel_target(target, now)

    def adapter_missing(
        self,
        owned: OwnedTarget,
        label: str,
        now: float,
    ) -> None:
        """Load a version again that an engine has dropped by itself."""
        slot = owned.cache.get(label)
        if slot and slot.state is SlotState.LOADED:
            owned.cache.drop(label)
            owned.drop_vanished([label], now)
            self.want_loads(owned, now)

    def reconcile(
        self,
        owned: OwnedTarget,
        probed: TargetProbed,
        now: float,
    ) -> bool:
        """Compare with an engine's own list; return whether it is emptied."""
        self._settle_uncertain(owned, probed, now)
        vanished = owned.cache.reconcile(probed.adapters, probed.sent_at, now)
        owned.drop_vanished(vanished, now)
        self.want_loads(owned, now)
        return bool(vanished) and not probed.adapters

    def _settle(
        self,
        owned: OwnedTarget,
        order: _Order,
        *,
        accepted: bool,
        now: float,
    ) -> None:
        """Note what an order did, or that it changed nothing."""
        if order.load == accepted:
            owned.loaded(order.label, now)
        elif order.load:
            self._load_failed(owned, order.label)
        else:
            owned.cache.drop(order.label)

    def _load_failed(self, owned: OwnedTarget, label: str) -> None:
        for held in owned.load_failed(label):
            refusal = TicketRefuse(
                held.ticket.attempt,
                owned.facts.target,
                Reason.ADAPTER_UNAVAILABLE,
                0,
            )
            self._outbox.send(held.vm, refusal)

    def _settle_uncertain(
        self,
        owned: OwnedTarget,
        probed: TargetProbed,
        now: float,
    ) -> None:
        for label in owned.cache.uncertain_labels(probed.sent_at):
            slot = owned.cache.get(label)
            if label in probed.adapters:
                owned.loaded(label, now)
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
