"""Chooses the target for a request."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._types import TargetName, ZoneName
from ..adapters import AdapterLabel
from ._health import TargetHealth
from ._view import FleetView, KnownTarget

CROSS_ZONE_COST: Final = 0.04  # in parts of a full target
FAILURE_COST: Final = 3.0  # for a target that fails all requests


class Candidate(NamedTuple):
    """A target that holds what a request needs."""

    known: KnownTarget
    label: AdapterLabel | None  # the adapter version that will serve
    ready_at: float  # s


class Choice(NamedTuple):
    """The target to send a request to."""

    candidate: Candidate


class NoChoice(NamedTuple):
    """No target can take the request now.

    ``holders`` tells how many targets hold the adapter at all, ``open``
    how many of the pool are usable, ``ready_at`` when one will be ready.
    """

    pool_size: int
    holders: int
    ready_at: float | None


def find_candidates(
    view: FleetView,
    pool: str,
    model: str,
    adapter: str,
    now: float,
) -> Iterable[Candidate]:
    """Yield the targets of a pool that hold a model or an adapter."""
    least = view.least_version(model, adapter, now) if adapter else 0
    for known in view.targets.values():
        record = known.record
        if record.pool != pool or record.leaving:
            continue
        if view.zone_is_out(record.zone):
            continue
        if not model:
            yield Candidate(known, None, 0.0)
        elif not adapter and model in record.models:
            yield Candidate(known, AdapterLabel(model, ''), 0.0)
        elif adapter:
            held = _newest_of(known, model, adapter, least)
            if held:
                yield Candidate(known, held[0], held[1])


def choose_target(
    candidates: Iterable[Candidate],
    *,
    health: TargetHealth,
    load_of: Callable[[KnownTarget], float],
    may_send: Callable[[KnownTarget], bool],
    avoid: frozenset[TargetName],
    own_zone: ZoneName,
    now: float,
) -> Choice | NoChoice:
    """Return the least loaded of the candidates that are ready.

    Targets in ``avoid`` had the request before. Failures count as load,
    so that a failing target gets fewer requests but is not left out.
    """
    best: Candidate | None = None
    best_cost = float('inf')
    ready_at: float | None = None
    holders = 0
    for candidate in candidates:
        target = candidate.known.record.target
        if target in avoid or health.is_shut(target, now):
            continue
        holders += 1
        if candidate.ready_at > now:
            ready_at = min(ready_at or candidate.ready_at, candidate.ready_at)
            continue
        if not health.is_open(target, now) or not may_send(candidate.known):
            continue
        cost = load_of(candidate.known)
        cost += FAILURE_COST * health.failure_part(target, now)
        if candidate.known.record.zone != own_zone:
            cost += CROSS_ZONE_COST
        if cost < best_cost:
            best, best_cost = candidate, cost
    if best:
        return Choice(best)
    return NoChoice(0, holders, ready_at)


def _newest_of(
    known: KnownTarget,
    model: str,
    adapter: str,
    least: int,
) -> tuple[AdapterLabel, float] | None:
    found = None
    for label, ready_at in known.adapters.items():
        if label.model != model or label.adapter != adapter:
            continue
        if label.version < least:
            continue
        if found is None or label.version > found[0].version:
            found = (label, ready_at)
    return found
