"""What the leader knows of one engine's models and adapters."""

from typing import Final

from .._types import TargetName
from ..deployment import EngineSpec
from ..targets import ResidentAdapter, TargetHeartbeat
from ._label import AdapterLabel
from ._orders import Order, OrderOutcome, OrderResult, TargetReport

MAX_COMING: Final = 4  # adapters on their way to one engine
NEVER: Final = float('inf')
REPORT_LAG_S: Final = 0.12  # a report is older than this much
REPORT_INTERVAL_S: Final = 0.15
UNCERTAIN_S: Final = 13.0  # an unanswered order may take effect this late


class EngineState:
    """Adapters at an engine, the order under way and what is uncertain."""

    def __init__(self, beat: TargetHeartbeat, spec: EngineSpec) -> None:
        self.heartbeat = beat
        self.spec = spec
        self.models = set(beat.models)
        self.model_due: dict[str, float] = {}
        self.ready_at: dict[AdapterLabel, float] = {}
        self.sequence: int | None = None
        self.order: Order | None = None
        self.running: dict[tuple[str, str], int] = {}
        self.changed_at = 0.0  # s, when an order last took effect
        self.report_due_at = 0.0
        self.shut_until = 0.0  # s, as entry VMs could not reach it
        self.heard_at = 0.0  # s
        self._recent: dict[tuple[str, str], None] = {}  # the oldest first
        self._uncertain: list[tuple[float, AdapterLabel]] = []
        for text in beat.adapters:
            self.ready_at[AdapterLabel.from_text(text)] = 0.0

    @property
    def target(self) -> TargetName:
        """Return the engine's name."""
        return self.heartbeat.target

    def holds(self, name: tuple[str, str]) -> bool:
        """Return whether any version of an adapter is here or coming."""
        return any(label.name == name for label in self.ready_at)

    def held_lately(self, name: tuple[str, str]) -> bool:
        """Return whether an adapter loads fast, from the host's memory."""
        return name in self._recent

    def coming(self, now: float) -> int:
        """Return how many adapters are on their way."""
        return sum(due > now for due in self.ready_at.values())

    def places_taken(self, now: float) -> int:
        """Return the adapter slots in use, or possibly in use soon."""
        self._uncertain = [one for one in self._uncertain if one[0] > now]
        unsure = {label.name for _until, label in self._uncertain}
        names = {label.name for label in self.ready_at} | unsure
        return len(names)

    def is_empty(self) -> bool:
        """Return whether no model is here or on its way."""
        return not self.models and not self.model_due

    def new_order(
        self,
        label: AdapterLabel,
        fence: int,
        *,
        load: bool,
    ) -> Order:
        """Return an order that holds only if no other one comes first."""
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

    def is_free(self, now: float) -> bool:
        """Return whether an order may be sent."""
        return self.order is None and self.sequence is not None

    def wants_report(self, now: float) -> bool:
        """Return whether the engine should be asked for a report."""
        if now < self.report_due_at:
            return False
        if self.order is not None:
            return False
        if self.sequence is None or self.model_due:
            return True
        return any(due == NEVER for due in self.ready_at.values())

    def idle_labels(self) -> list[AdapterLabel]:
        """Return ready adapters that no request uses."""
        return [
            label
            for label, due in self.ready_at.items()
            if due != NEVER and not self.running.get(label.name)
        ]

    def sent(self, order: Order) -> None:
        """Note that an order is under way."""
        self.order = order
        if order.adapter and order.load:
            if not self.holds(order.label.name):
                self.ready_at[order.label] = NEVER
        elif order.adapter:
            for label in list(self.ready_at):
                if label.name == order.label.name:
                    self.ready_at.pop(label)

    def answered(
        self,
        outcome: OrderOutcome,
        load_s: float,
        now: float,
    ) -> None:
        """Take the outcome of the order under way."""
        order = outcome.order
        self.order = None
        if order.load and self.ready_at.get(order.label) == NEVER:
            self.ready_at.pop(order.label)
        self.report_due_at = now + REPORT_LAG_S
        if outcome.result is OrderResult.UNKNOWN:
            self._uncertain.append((now + UNCERTAIN_S, order.label))
            self.sequence = None
        elif outcome.result in {OrderResult.BUSY, OrderResult.REFUSED}:
            self.sequence = None
        else:
            self._took_effect(outcome, load_s, now)

    def reported(self, report: TargetReport, now: float) -> None:
        """Follow a report, unless it is older than the last order."""
        self.report_due_at = now + REPORT_INTERVAL_S
        if self.order is not None or now < self.changed_at + REPORT_LAG_S:
            return
        self.sequence = report.sequence
        self.models = set(report.models)
        for model in report.models:
            self.model_due.pop(model, None)
        listed = dict.fromkeys(report.adapters, 0.0)
        for label in report.loading:
            known = self._due_of(label, now)
            listed[label] = known if known > now else NEVER
        self.ready_at = listed

    def resident_adapters(self, now: float) -> tuple[ResidentAdapter, ...]:
        """Return the adapters as entry VMs need to know them."""
        return tuple(
            ResidentAdapter(str(label), max(0.0, due - now))
            for label, due in self.ready_at.items()
            if due != NEVER
        )

    def _took_effect(
        self,
        outcome: OrderOutcome,
        load_s: float,
        now: float,
    ) -> None:
        order = outcome.order
        self.changed_at = now
        if self.sequence is not None:
            self.sequence += 1
        if not order.adapter:
            if order.load and outcome.result is OrderResult.HOLDS:
                self.models.add(order.model)
            elif order.load:
                self.model_due[order.model] = now + load_s
            return
        if not order.load:
            return
        replaced = [
            label
            for label in self.ready_at
            if label.name == order.label.name and label != order.label
        ]
        due = now if outcome.result is OrderResult.HOLDS else now + load_s
        self._note_recent(order.label.name)
        for label in replaced:
            self.ready_at.pop(label)
            due = NEVER  # it waits for the requests that run on the old one
        self.ready_at[order.label] = due

    def _note_recent(self, name: tuple[str, str]) -> None:
        self._recent.pop(name, None)
        self._recent[name] = None
        if len(self._recent) > self.spec.recent_adapters(name[0]):
            self._recent.pop(next(iter(self._recent)))

    def _due_of(self, label: AdapterLabel, now: float) -> float:
        for known, due in self.ready_at.items():
            if known.name == label.name:
                return due
        return now
