"""The adapter versions in one engine's slots, and which may be evicted."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Final

HALF_LIFE_S: Final = 120.0
MAX_FORMER: Final = 4096  # evicted versions whose demand is remembered


class SlotState(Enum):
    """What is happening in an adapter slot."""

    LOADING = 'loading'
    LOADED = 'loaded'
    UNLOADING = 'unloading'


class Slot:
    """An adapter version in an engine, and the demand for it."""

    def __init__(self, label: str, state: SlotState, now: float) -> None:
        self.label = label
        self.state = state
        self.changed_at = now  # s
        self.pins = 0  # calls and waiting requests
        self.uncertain = False  # an order's effect is not known
        self._demand = 0.0
        self._demand_at = now
        self.used_at = now  # s

    def use(self, now: float) -> None:
        """Pin the slot for one request and count the demand."""
        self._demand = self.demand(now) + 1
        self._demand_at = now
        self.used_at = now
        self.pins += 1

    def remember(self, former: 'Slot') -> None:
        """Take over the demand from before the version was evicted."""
        self._demand = former._demand
        self._demand_at = former._demand_at

    def demand(self, now: float) -> float:
        """Return the number of uses, halved every half-life."""
        age = max(0.0, now - self._demand_at)
        return float(self._demand * 2 ** (-age / HALF_LIFE_S))


class AdapterCache:
    """The slots of one engine."""

    def __init__(
        self,
        capacity: int,
        eviction_order: Callable[[Slot, float], float],
    ) -> None:
        self.capacity = capacity
        self._eviction_order = eviction_order
        self._slots: dict[str, Slot] = {}
        self._former: OrderedDict[str, Slot] = OrderedDict()

    def __len__(self) -> int:
        """Return how many slots are taken."""
        return len(self._slots)

    def get(self, label: str) -> Slot | None:
        """Return the slot of an adapter version."""
        return self._slots.get(label)

    def labels(self) -> tuple[str, ...]:
        """Return the versions that are loaded or being loaded."""
        return tuple(
            slot.label
            for slot in self._slots.values()
            if slot.state is not SlotState.UNLOADING
        )

    def has_room(self) -> bool:
        """Return whether a slot is free."""
        return len(self._slots) < self.capacity

    def add(self, label: str, state: SlotState, now: float) -> Slot:
        """Take a slot for a version."""
        slot = Slot(label, state, now)
        former = self._former.pop(label, None)
        if former:
            slot.remember(former)
        self._slots[label] = slot
        return slot

    def set_state(self, label: str, state: SlotState, now: float) -> None:
        """Note what an order did to a slot."""
        slot = self._slots[label]
        slot.state = state
        slot.changed_at = now
        slot.uncertain = False

    def set_uncertain(self, label: str, until: float) -> None:
        """Note that an order may still take effect until a time."""
        slot = self._slots[label]
        slot.changed_at = until
        slot.uncertain = True

    def drop(self, label: str) -> None:
        """Free the slot of a version; the demand for it is remembered."""
        slot = self._slots.pop(label, None)
        if slot:
            self._former[label] = slot
            if len(self._former) > MAX_FORMER:
                self._former.popitem(last=False)

    def clear(self) -> None:
        """Free all slots, as after a restart of the engine."""
        self._slots.clear()

    def victim(self, now: float) -> Slot | None:
        """Return the loaded slot that goes first and is not pinned."""
        free = [
            slot
            for slot in self._slots.values()
            if slot.pins == 0 and slot.state is SlotState.LOADED
        ]
        if not free:
            return None
        order = self._eviction_order
        return min(free, key=lambda slot: (order(slot, now), slot.label))

    def can_place(self, now: float, *, may_evict: bool) -> bool:
        """Return whether another version can get a slot now."""
        if self.has_room():
            return True
        return may_evict and self.victim(now) is not None

    def uncertain_labels(self, sent_at: float) -> list[str]:
        """Return versions whose state a list asked for then settles."""
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
        """Take over an engine's own list; return labels that vanished.

        Slots that changed after the list was asked for stay as they are.
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
