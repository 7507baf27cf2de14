"""The replaceable policies of a node, and baselines to compare with."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .ownership._adaptercache import Slot
from .placement._directory import KnownTarget
from .placement._placement import (
    LeastDelayPlacement,
    PlacementCriteria,
    PlacementPolicy,
)

EvictionScore = Callable[[Slot, float], float]


class Policy(NamedTuple):
    """How a node places requests, evicts adapters and lends rate tokens."""

    placement: PlacementPolicy
    eviction_score: EvictionScore  # the lowest score is evicted first
    lends_tokens: bool


def least_demand(slot: Slot, now: float) -> float:
    """Score a slot by its demand, which decays exponentially."""
    return slot.demand(now)


def least_recently_used(slot: Slot, now: float) -> float:
    """Score a slot by the time of its last use."""
    return slot.used_at


class RandomPlacement:
    """Places requests at random: the baseline for measurements."""

    def __init__(self, choose: Callable[[int], int]) -> None:
        self._choose = choose

    def choose(
        self,
        candidates: Iterable[KnownTarget],
        criteria: PlacementCriteria,
    ) -> KnownTarget | None:
        """Return a random candidate, ``None`` if there is none."""
        known = list(candidates)
        return known[self._choose(len(known))] if known else None


DEFAULT_POLICY: Final = Policy(
    LeastDelayPlacement(), least_demand, lends_tokens=True
)
