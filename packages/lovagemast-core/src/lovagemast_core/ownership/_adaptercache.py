"""Tracks the adapter slots of one engine and selects eviction victims."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Final

DEMAND_HALF_LIFE_S: Final = 120.0
MAX_EVICTED_HISTORY: Final = 4096  # evicted versions whose demand is kept


class SlotState(Enum):
    """State of an adapter slot in the engine."""

    LOADING = 'loading'
    LOADED = 'loaded'
    UNLOADING = 'unloading'


class Slot:
    """An adapter version that occupies an engine slot, and its demand."""

    def __init__(self, label: str, state: SlotState, now: float) -> None:
        self.label = label
        self.state = state
        self.changed_at = now  # s
        self.pins = 0  # calls and waiting requests
        self.uncertain = False  # the outcome of an order is unknown
        self._demand = 0.0
        self._demand_at = now
        self.used_at = now  # s

    def pin(self, now: float) -> None:
        """Protect the slot from eviction for one request; count a use."""
        self._demand = self.demand(now) + 1
        self._demand_at = now
        self.used_at = now
        self.pins += 1

    def inherit_demand(self, evicted: 'Slot') -> None:
        """Restore the demand recorded before the version was evicted."""
        self._demand = evicted._demand
        self._demand_at = evicted._demand_at

    def demand(self, now: float) -> float:
        """Return the number of uses with exponential decay."""
        age = max(0.0, now - self._demand_at)
        return float(self._demand * 2 ** (-age / DEMAND_HALF_LIFE_S))


class AdapterCache:
    """The adapter slots of one engine, up to its capacity.

    ``eviction_score`` scores a slot at a given time; the unpinned slot with
    the lowest score is evicted first.
    """

    def __init__(
        self,
        capacity: int,
        eviction_score: Callable[[Slot, float], float],
    ) -> None:
        self.capacity = capacity
        self._eviction_score = eviction_score
        self._slots: dict[str, Slot] = {}
        self._evicted: OrderedDict[str, Slot] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of occupied slots."""
        return len(self._slots)

    def get(self, label: str) -> Slot | None:
        """Return the slot of an adapter version, or ``None``."""
        return self._slots.get(label)

    def labels(self) -> tuple[str, ...]:
        """Return the adapter versions that are loaded or loading."""
        return tuple(
            slot.label
            for slot in self._slots.values()
            if slot.state is not SlotState.UNLOADING
        )

    def has_room(self) -> bool:
        """Return whether a slot is free."""
        return len(self._slots) < self.capacity

    def add(self, label: str, state: SlotState, now: float) -> Slot:
        """Assign a slot to an adapter version."""
        slot = Slot(label, state, now)
        evicted = self._evicted.pop(label, None)
        if evicted:
            slot.inherit_demand(evicted)
        self._slots[label] = slot
        return slot

    def set_state(self, label: str, state: SlotState, now: float) -> None:
        """Set a slot's state once the outcome of an order is known."""
        slot = self._slots[label]
        slot.state = state
        slot.changed_at = now
        slot.uncertain = False

    def set_uncertain(self, label: str, until: float) -> None:
        """Mark a slot whose pending order may take effect until a time."""
        slot = self._slots[label]
        slot.changed_at = until
        slot.uncertain = True

    def drop(self, label: str) -> None:
        """Free the slot of an adapter version and keep its demand."""
        slot = self._slots.pop(label, None)
        if slot:
            self._evicted[label] = slot
            if len(self._evicted) > MAX_EVICTED_HISTORY:
                self._evicted.popitem(last=False)

    def clear(self) -> None:
        """Free all slots, for example after an engine restart."""
        self._slots.clear()

    def victim(self, now: float) -> Slot | None:
        """Return the loaded, unpinned slot to evict next, or ``None``."""
        free = [
            slot
            for slot in self._slots.values()
            if slot.pins == 0 and slot.state is SlotState.LOADED
        ]
        if not free:
            return None
        score = self._eviction_score
        return min(free, key=lambda slot: (score(slot, now), slot.label))

    def can_add(self, now: float, *, may_evict: bool) -> bool:
        """Return whether a slot is free or can be freed by an eviction."""
        if self.has_room():
            return True
        return may_evict and self.victim(now) is not None

    def uncertain_labels(self, sent_at: float) -> list[str]:
        """Return the uncertain versions that a probe resolves.

        An engine's adapter list is conclusive for a slot only if the probe
        was sent after the pending order could no longer take effect.
        """
        return [
            slot.label
            for slot in self._slots.values()
            if slot.uncertain and slot.changed_at < sent_at
        ]

    def reconcile(
        self,
        loaded: tuple[str, ...],
        sent_at: float,
        now: float,
    ) -> list[str]:
        """Apply an engine's adapter list; return labels no longer loaded.

        Slots that changed after the list was requested are left unchanged.
        """
        for label in loaded:
            if label not in self._slots:
                self.add(label, SlotState.LOADED, now)
        listed = frozenset(loaded)
        vanished = [
            slot.label
            for slot in self._slots.values()
            if slot.label not in listed
            and slot.state is SlotState.LOADED
            and slot.changed_at < sent_at
        ]
        for label in vanished:
            self.drop(label)
        return vanished
