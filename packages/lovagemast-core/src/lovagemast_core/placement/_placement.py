"""Chooses the target for a request from lagging summaries."""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from .._types import TargetName, ZoneName
from ._directory import KnownTarget

LOAD_S: Final = 2.0  # least cost of an adapter load, stalls behind it included
LOAD_WEIGHT: Final = 2.0  # a load delays those that queue behind it, too
ELSEWHERE_S: Final = 0.004  # round trip to another zone's owner
PREFIX_GAIN_S: Final = 0.05  # prefill saved by a cached prefix
UNKNOWN_SERVICE_S: Final = 0.5
HASH_BYTES: Final = 8


class PlacementCriteria(NamedTuple):
    """What a request needs of a target."""

    label: str  # adapter version; empty at a plain service
    prefix: str
    zone: ZoneName  # zone of the VM that places the request
    prefix_target: TargetName


class PlacementPolicy(Protocol):
    """A way to choose a target."""

    def choose(
        self,
        candidates: Iterable[KnownTarget],
        criteria: PlacementCriteria,
    ) -> KnownTarget | None:
        """Return one of the candidates, or ``None`` if there is none."""


class LeastDelayPlacement:
    """Takes the target with the least expected delay to the first chunk.

    A version that is loaded nowhere goes to the target that ranks first by
    rendezvous hashing among those of about equal delay, so that requests
    for it meet at one target whichever VMs they enter.
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
                -rendezvous(criteria.label, known.facts.target),
            )
            if best is None or cost < best_cost:
                best = known
                best_cost = cost
        return best


def load_cost(candidates: list[KnownTarget]) -> float:
    """Return what another adapter load costs, in s.

    All loads share the store's rate, so the longest recent wait counts.
    """
    waits = [known.summary.load_wait_s for known in candidates if known.summary]
    return max(LOAD_S, LOAD_WEIGHT * max(waits, default=0))


def expected_delay(
    known: KnownTarget, criteria: PlacementCriteria, load_s: float
) -> float:
    """Return the expected time until a call would start, in s."""
    summary = known.summary
    if summary is None:
        return float('inf')
    service_s = summary.service_s or UNKNOWN_SERVICE_S
    load = summary.in_flight + summary.queued + known.unreported_requests
    limit = max(1, summary.limit)
    rounds = max(0, load + 1 - limit) / limit
    delay = round(rounds * service_s, 2)
    if criteria.label and criteria.label not in known.adapters:
        delay += load_s
    elif criteria.prefix_target == known.facts.target:
        delay -= PREFIX_GAIN_S
    if known.facts.zone != criteria.zone:
        delay += ELSEWHERE_S
    return delay


def rendezvous(key: str, name: str) -> int:
    """Return the weight of a name for a key in rendezvous hashing."""
    digest = hashlib.blake2b(
        f'{key}|{name}'.encode(),
        digest_size=HASH_BYTES,
    ).digest()
    return int.from_bytes(digest)
