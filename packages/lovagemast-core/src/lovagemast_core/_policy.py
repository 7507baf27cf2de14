"""The policies of a node that may be replaced for comparison."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .ownership._adaptercache import Slot
from .placement._directory import KnownTarget
from .placement._placement import (
    LeastDelayPlacement,
    PlacementCriteria,
    PlacementPolicy,
)

EvictionOrder = Callable[[Slot, float], float]


class Policy(NamedTuple):
    """How a node places requests, evicts adapters and shares rates."""

    placement: PlacementPolicy
    eviction_order: EvictionOrder  # the slot with the lowest goes first
    lends_tokens: bool


def least_demand(slot: Slot, now: float) -> float:
    """Order slots by their demand, which halves every half-life."""
    return slot.demand(now)


def least_recently_used(slot: Slot, now: float) -> float:
    """Order slots by their last use."""
    return slot.used_at


class RandomPlacement:
    """Takes any target; the baseline for measurements."""

    def __init__(self, choose: Callable[[int], int]) -> None:
        self._choose = choose

    def choose(
        self,
        candidates: Iterable[KnownTarget],
        criteria: PlacementCriteria,
    ) -> KnownTarget | None:
        """Return one of the candidates at random."""
        known = list(candidates)
        return known[self._choose(len(known))] if known else None


DEFAULT_POLICY: Final = Policy(
    LeastDelayPlacement(), least_demand, lends_tokens=True
)
