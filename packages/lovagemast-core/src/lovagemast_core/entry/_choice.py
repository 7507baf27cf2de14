"""Chooses the target for a request."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._types import TargetName, ZoneName
from ..adapters import AdapterLabel
from ._health import TargetHealth
from ._view import FleetView, KnownTarget

CROSS_ZONE_COST: Final = 0.04  # in parts of a full target
FAILURE_COST: Final = 3.0  # for a target that fails all requests
TRIED_COST: Final = 4.0  # for a target that had the request before


class TargetRequirements(NamedTuple):
    """What a request needs of a target."""

    pool: str
    model: str  # empty at a plain service
    adapter: str  # empty for the base model


class Candidate(NamedTuple):
    """A target that holds what a request needs."""

    known: KnownTarget
    label: AdapterLabel | None  # the adapter version that will serve
    ready_at: float  # s

    @property
    def target(self) -> TargetName:
        """Return the target's name."""
        return self.known.record.target


class Choice(NamedTuple):
    """The target to send a request to."""

    candidate: Candidate


class NoReadyTarget(NamedTuple):
    """No target can take the request now.

    ``holder_count`` tells how many targets hold the adapter at all, and
    ``ready_at`` when the next one will be ready, in s.
    """

    holder_count: int
    ready_at: float | None


class SelectionCriteria(NamedTuple):
    """What decides between candidates.

    Targets in ``tried`` had the request before; they come last.
    """

    health: TargetHealth
    load_of: Callable[[KnownTarget], float]  # parts of a full target
    may_send: Callable[[KnownTarget], bool]
    tried: frozenset[TargetName]
    zone: ZoneName


def find_candidates(
    view: FleetView,
    need: TargetRequirements,
    now: float,
) -> Iterable[Candidate]:
    """Yield the targets of a pool that hold a model or an adapter."""
    least = view.min_version(need.model, need.adapter, now)
    for known in view.targets.values():
        record = known.record
        if record.pool != need.pool or record.leaving:
            continue
        if view.zone_is_out(record.zone):
            continue
        candidate = _candidate(known, need, least)
        if candidate:
            yield candidate


def choose_target(
    candidates: Iterable[Candidate],
    terms: SelectionCriteria,
    now: float,
) -> Choice | NoReadyTarget:
    """Return the least loaded of the candidates that are ready.

    Failures count as load, so that a failing target gets fewer requests but
    is not left out.
    """
    holders = [
        candidate
        for candidate in candidates
        if not terms.health.is_unreachable(candidate.target, now)
    ]
    ready = [
        candidate
        for candidate in holders
        if candidate.ready_at <= now
        and terms.health.is_available(candidate.target, now)
        and terms.may_send(candidate.known)
    ]
    if ready:
        return Choice(min(ready, key=lambda one: _cost(one, terms, now)))
    due = [one.ready_at for one in holders if one.ready_at > now]
    return NoReadyTarget(len(holders), min(due, default=None))


def _cost(candidate: Candidate, terms: SelectionCriteria, now: float) -> float:
    cost = terms.load_of(candidate.known)
    cost += FAILURE_COST * terms.health.failure_rate(candidate.target, now)
    if candidate.target in terms.tried:
        cost += TRIED_COST
    if candidate.known.record.zone != terms.zone:
        cost += CROSS_ZONE_COST
    return cost


def _candidate(
    known: KnownTarget,
    need: TargetRequirements,
    least: int,
) -> Candidate | None:
    if not need.model:
        return Candidate(known, None, 0.0)
    if not need.adapter:
        label = AdapterLabel(need.model, '')
        held = need.model in known.record.models
        return Candidate(known, label, 0.0) if held else None
    versions = [
        label
        for label in known.adapters
        if label.name == (need.model, need.adapter) and label.version >= least
    ]
    if not versions:
        return None
    newest = max(versions, key=lambda label: label.version)
    return Candidate(known, newest, known.adapters[newest])
