"""The leader's state of one engine: its models, adapters and orders."""

from typing import Final, NamedTuple

from ..deployment import EngineSpec
from ..targets import ResidentAdapter, TargetHeartbeat
from ._label import AdapterLabel
from ._orders import Order, OrderOutcome, OrderResult, TargetReport

MAX_LOADS_PER_ENGINE: Final = 4  # adapters that one engine loads at a time
UNKNOWN_TIME: Final = float('inf')  # of a load whose end is unknown
REPORT_LAG_S: Final = 0.12  # by which reports trail the engine's state
REPORT_INTERVAL_S: Final = 0.15
# In which an order without a response may take effect.
UNRESOLVED_ORDER_TTL_S: Final = 13.0


class _UnresolvedOrder(NamedTuple):
    """An order without a response, which may still take effect."""

    until: float  # s
    label: AdapterLabel
    precondition: int


class EngineState:
    """An engine's adapters, its pending order and unresolved orders.

    ``ready_at`` holds the adapters that are loaded or loading, with the time
    at which each is ready, in s. ``sequence`` is the number of orders that
    the engine has accepted; it is ``None`` until a report gives it.
    ``host_cached`` names the adapters that it loaded earlier, oldest first.
    """

    def __init__(
        self,
        heartbeat: TargetHeartbeat,
        spec: EngineSpec,
        host_cached: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.target = heartbeat.target
        self.heartbeat = heartbeat
        self.spec = spec
        self.models = set(heartbeat.models)
        self.model_ready_at: dict[str, float] = {}
        self.ready_at: dict[AdapterLabel, float] = {}
        self.sequence: int | None = None
        self.order: Order | None = None  # sent and not answered yet
        self.running: dict[tuple[str, str], int] = {}  # requests by adapter
        self.running_total = 0  # requests, of all adapters
        self.effective_at = 0.0  # s, when the last order took effect
        self.report_due_at = 0.0
        self.unreachable_until = 0.0  # s, as reported by entry VMs
        self.received_at = 0.0  # s, of the last heartbeat
        self._host_cached: dict[tuple[str, str], None] = {}  # oldest first
        self._unresolved: list[_UnresolvedOrder] = []
        for text in heartbeat.adapters:
            self.ready_at[AdapterLabel.from_text(text)] = 0.0
        for name in host_cached:
            self._record_host_cached(name)

    def holds(self, name: tuple[str, str]) -> bool:
        """Return whether any version of an adapter is loaded or loading."""
        return any(label.name == name for label in self.ready_at)

    def is_host_cached(self, name: tuple[str, str]) -> bool:
        """Return whether an adapter loads fast from the host's memory."""
        return name in self._host_cached

    def loads_in_flight(self, now: float) -> int:
        """Return how many adapters are loading."""
        times = self.ready_at.values()
        return len([ready_at for ready_at in times if ready_at > now])

    def slots_reserved(self, now: float) -> int:
        """Return the adapter slots in use, or reserved by unresolved orders."""
        self._unresolved = [one for one in self._unresolved if one.until > now]
        unresolved = {one.label.name for one in self._unresolved}
        names = {label.name for label in self.ready_at} | unresolved
        return len(names)

    def is_empty(self) -> bool:
        """Return whether no model is loaded or loading."""
        return not self.models and not self.model_ready_at

    def make_order(
        self,
        label: AdapterLabel,
        fence: int,
        *,
        load: bool,
    ) -> Order:
        """Return an order that the engine ignores if another comes first."""
        return Order(
            self.target,
            self.heartbeat.address,
            load,
            label.model,
            label.adapter,
            label.version,
            self.sequence or 0,
            fence,
        )

    def can_take_order(self, now: float) -> bool:
        """Return whether an order may be sent.

        No order is pending, and a report has given the sequence number.
        """
        return self.order is None and self.sequence is not None

    def needs_report(self, now: float) -> bool:
        """Return whether the engine is to be asked for a report now."""
        if now < self.report_due_at:
            return False
        if self.order is not None:
            return False
        if self.sequence is None or self.model_ready_at:
            return True
        return any(
            ready_at == UNKNOWN_TIME for ready_at in self.ready_at.values()
        )

    def idle_labels(self) -> list[AdapterLabel]:
        """Return adapters with a known ready time that no request uses."""
        return [
            label
            for label, ready_at in self.ready_at.items()
            if ready_at != UNKNOWN_TIME and not self.running.get(label.name)
        ]

    def record_sent(self, order: Order) -> None:
        """Record that an order was sent and update the adapters for it."""
        self.order = order
        if order.adapter and order.load:
            if not self.holds(order.label.name):
                self.ready_at[order.label] = UNKNOWN_TIME
        elif order.adapter:
            for label in list(self.ready_at):
                if label.name == order.label.name:
                    self.ready_at.pop(label)

    def record_outcome(
        self,
        outcome: OrderOutcome,
        load_s: float,
        now: float,
    ) -> None:
        """Record the outcome of the pending order.

        ``load_s`` is the expected duration of the load.
        """
        order = outcome.order
        self.order = None
        if order.load and self.ready_at.get(order.label) == UNKNOWN_TIME:
            self.ready_at.pop(order.label)
        self.report_due_at = now + REPORT_LAG_S
        if outcome.result is OrderResult.UNKNOWN:
            until = now + UNRESOLVED_ORDER_TTL_S
            self._unresolved.append(
                _UnresolvedOrder(until, order.label, order.precondition)
            )
            self.sequence = None
        elif outcome.result in {OrderResult.BUSY, OrderResult.REFUSED}:
            self.sequence = None
        else:
            self._apply_effect(outcome, load_s, now)

    def apply_report(self, report: TargetReport, now: float) -> None:
        """Replace the state by a report's, unless an order is more recent."""
        self.report_due_at = now + REPORT_INTERVAL_S
        if self.order is not None or now < self.effective_at + REPORT_LAG_S:
            return
        self.sequence = report.sequence
        self._resolve_orders(report.sequence)
        self.models = set(report.models)
        for model in report.models:
            self.model_ready_at.pop(model, None)
        # A load that has just ended keeps its time: until its requests were
        # sent, the adapter looks idle.
        reported = {
            label: min(now, self._ready_time(label, 0.0))
            for label in report.adapters
        }
        for label in report.loading:
            known = self._ready_time(label, now)
            reported[label] = known if known > now else UNKNOWN_TIME
        self.ready_at = reported

    def resident_adapters(self, now: float) -> tuple[ResidentAdapter, ...]:
        """Return the adapters whose ready times are known, for entry VMs."""
        return tuple(
            ResidentAdapter(str(label), max(0.0, ready_at - now))
            for label, ready_at in self.ready_at.items()
            if ready_at != UNKNOWN_TIME
        )

    def _apply_effect(
        self,
        outcome: OrderOutcome,
        load_s: float,
        now: float,
    ) -> None:
        order = outcome.order
        self.effective_at = now
        if self.sequence is not None:
            self.sequence += 1
        if outcome.result is OrderResult.ACCEPTED:
            self._resolve_orders(order.precondition + 1)
        if not order.adapter:
            if order.load and outcome.result is OrderResult.HOLDS:
                self.models.add(order.model)
            elif order.load:
                self.model_ready_at[order.model] = now + load_s
            return
        if not order.load:
            return
        replaced = [
            label
            for label in self.ready_at
            if label.name == order.label.name and label != order.label
        ]
        ready_at = now if outcome.result is OrderResult.HOLDS else now + load_s
        self._record_host_cached(order.label.name)
        for label in replaced:
            self.ready_at.pop(label)
            # The load waits for the requests that run on the old version.
            ready_at = UNKNOWN_TIME
        self.ready_at[order.label] = ready_at

    def _resolve_orders(self, sequence: int) -> None:
        """Drop the unresolved orders that an engine no longer accepts.

        ``sequence`` is the number of orders that it has accepted. An order
        with a lower precondition was one of them, and shows in its adapters,
        or it is ignored from now on.
        """
        self._unresolved = [
            one for one in self._unresolved if one.precondition >= sequence
        ]

    def _record_host_cached(self, name: tuple[str, str]) -> None:
        self._host_cached.pop(name, None)
        self._host_cached[name] = None
        if len(self._host_cached) > self.spec.host_cache_capacity(name[0]):
            self._host_cached.pop(next(iter(self._host_cached)))

    def _ready_time(self, label: AdapterLabel, default: float) -> float:
        """Return when any version of an adapter is ready, if it is known."""
        for known, ready_at in self.ready_at.items():
            if known.name == label.name:
                return ready_at
        return default
