"""Policy that chooses a request's target from delayed summaries."""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from .._types import TargetName, ZoneName
from ._directory import KnownTarget

MIN_LOAD_COST_S: Final = 2.0  # includes the delay of loads queued behind it
LOAD_WAIT_FACTOR: Final = 2.0  # a load also delays loads queued behind it
CROSS_ZONE_DELAY_S: Final = 0.004  # round trip to an owner in another zone
PREFIX_CACHE_GAIN_S: Final = 0.05  # prefill time saved by a cached prefix
DEFAULT_SERVICE_S: Final = 0.5
HASH_BYTES: Final = 8


class PlacementCriteria(NamedTuple):
    """The properties of a request that determine its placement."""

    label: str  # adapter version; empty at a plain service
    prefix: str
    zone: ZoneName  # zone of the VM that places the request
    prefix_target: TargetName  # has the prompt's prefix cached; may be empty


class PlacementPolicy(Protocol):
    """Strategy for choosing a target."""

    def choose(
        self,
        candidates: Iterable[KnownTarget],
        criteria: PlacementCriteria,
    ) -> KnownTarget | None:
        """Return one of the candidates, or ``None`` if there is none."""


class LeastDelayPlacement:
    """Chooses the target with the least expected delay to the first chunk.

    Ties between targets of about equal delay are broken by rendezvous
    hashing of the adapter version, so that requests for a version that is
    not loaded anywhere converge on one target regardless of the VM at which
    they arrive.
    """

    def choose(
        self,
        candidates: Iterable[KnownTarget],
        criteria: PlacementCriteria,
    ) -> KnownTarget | None:
        """Return the candidate with the least expected delay."""
        known_targets = [known for known in candidates if known.summary]
        load_s = load_cost(known_targets)
        best = None
        best_cost = (float('inf'), 0)
        for known in known_targets:
            cost = (
                expected_delay(known, criteria, load_s),
                -rendezvous_weight(criteria.label, known.facts.target),
            )
            if best is None or cost < best_cost:
                best = known
                best_cost = cost
        return best


def load_cost(candidates: list[KnownTarget]) -> float:
    """Return the expected delay from another adapter load, in s.

    All loads share the weight store's rate limit, so the longest recent
    load wait of any target applies.
    """
    waits = [known.summary.load_wait_s for known in candidates if known.summary]
    return max(MIN_LOAD_COST_S, LOAD_WAIT_FACTOR * max(waits, default=0))


def expected_delay(
    known: KnownTarget,
    criteria: PlacementCriteria,
    load_s: float,
) -> float:
    """Return the expected delay of a call at a target, in s.

    The queueing delay is rounded, so that small differences in load do not
    decide between targets.
    """
    summary = known.summary
    if summary is None:
        return float('inf')
    service_s = summary.service_s or DEFAULT_SERVICE_S
    load = summary.in_flight + summary.queued + known.unreported_requests
    limit = max(1, summary.limit)
    rounds = max(0, load + 1 - limit) / limit
    delay = round(rounds * service_s, 2)
    if criteria.label and criteria.label not in known.adapters:
        delay += load_s
    elif criteria.prefix_target == known.facts.target:
        delay -= PREFIX_CACHE_GAIN_S
    if known.facts.zone != criteria.zone:
        delay += CROSS_ZONE_DELAY_S
    return delay


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a node for a key in rendezvous hashing."""
    digest = hashlib.blake2b(
        f'{key}|{name}'.encode(),
        digest_size=HASH_BYTES,
    ).digest()
    return int.from_bytes(digest)
