"""Selects the target that a request is sent to."""

import hashlib
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Final, NamedTuple

from .._types import SoftwareVersion, TargetName, VmName, ZoneName
from ..adapters import AdapterLabel
from ._health import TargetHealth
from ._loadspread import (
    CROSS_ZONE_S,
    OWN_WORK,
    PacedTarget,
    arrivals_meanwhile,
    draw_target,
    request_shares,
)
from ._view import FleetView, KnownTarget

# Costs are fractions of a target's capacity, and are added to its load.
CROSS_ZONE_COST: Final = 0.04
FAILURE_COST: Final = 3.0  # at a failure rate of 1
TRIED_COST: Final = 4.0  # for a target that was already sent the request


class TargetRequirements(NamedTuple):
    """What a request requires of a target."""

    pool: str
    model: str  # empty for a plain service
    adapter: str  # empty for the base model
    software: SoftwareVersion | None = None  # that began its stream


class Candidate(NamedTuple):
    """A target that meets a request's requirements."""

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

    ``holder_count`` is the number of reachable targets that hold the required
    adapter or are loading it. ``ready_at`` is the earliest time, in s, at
    which such a load completes; ``None`` if none is under way. If all of them
    want a pause, ``paused_until`` is the time, in s, at which the first ends.
    """

    holder_count: int
    ready_at: float | None
    paused_until: float | None = None


class SpreadTerms(NamedTuple):
    """What a choice by expected finish time is based on.

    ``service_s`` is how long a request of the pool runs on average, ``draw`` a
    random number from 0 to 1.
    """

    pace_of: Callable[[KnownTarget], float]  # 1.0 as usual
    service_s: float
    info_age_s: float  # of the load that other entry VMs cause
    draw: float


class SelectionCriteria(NamedTuple):
    """What decides between candidates.

    Targets in ``tried`` were already sent the request; they are used only if
    no other target is ready. With ``spread``, requests are spread by expected
    finish time; without, the target with the lowest cost is chosen.
    """

    health: TargetHealth
    load_of: Callable[[KnownTarget], float]  # fraction of its capacity
    may_send: Callable[[KnownTarget], bool]
    tried: frozenset[TargetName]
    zone: ZoneName
    vm: VmName = ''  # that chooses
    spread: SpreadTerms | None = None


def find_candidates(
    view: FleetView,
    requirements: TargetRequirements,
    now: float,
) -> Iterable[Candidate]:
    """Yield the targets of a pool that hold the required model or adapter.

    Targets that are leaving or whose zone is out of service are skipped, and
    so are those of another software version than a stream needs.
    """
    pool, model, adapter, software = requirements
    min_version = view.min_version(model, adapter, now)
    for known in view.find_targets(pool, model, adapter):
        if not view.is_in_service(known, software):
            continue
        candidate = _to_candidate(known, requirements, min_version)
        if candidate:
            yield candidate


def choose_target(
    candidates: Iterable[Candidate],
    criteria: SelectionCriteria,
    now: float,
) -> Choice | NoReadyTarget:
    """Return a ready candidate, the one with the lowest cost or one drawn.

    Recent failures add to a target's cost instead of excluding it, so a
    failing target gets fewer requests but is not left out.
    """
    reachable = [
        candidate
        for candidate in candidates
        if not criteria.health.is_unreachable(candidate.target, now)
    ]
    ready = [
        candidate
        for candidate in reachable
        if candidate.ready_at <= now
        and criteria.health.is_available(candidate.target, now)
        and criteria.may_send(candidate.known)
    ]
    if ready and criteria.spread:
        return Choice(_draw(ready, criteria, criteria.spread, now))
    if ready:
        return Choice(min(ready, key=lambda one: _rank(one, criteria, now)))
    pending = [one.ready_at for one in reachable if one.ready_at > now]
    return NoReadyTarget(
        len(reachable),
        min(pending, default=None),
        _common_pause(reachable, criteria.health, now),
    )


def _common_pause(
    reachable: list[Candidate], health: TargetHealth, now: float
) -> float | None:
    """Return when the first pause ends, ``None`` unless all want one."""
    ends = [health.paused_until(one.target, now) for one in reachable]
    known = [end for end in ends if end is not None]
    return min(known, default=None) if len(known) == len(ends) else None


def _rank(
    candidate: Candidate,
    criteria: SelectionCriteria,
    now: float,
) -> tuple[float, bytes]:
    """Return the order of candidates; equal ones differ between entry VMs.

    Entry VMs with the same information would all choose the same target.
    """
    cost = _cost(candidate, criteria, now)
    return cost, tie_breaker(criteria.vm, candidate.target)


@lru_cache(maxsize=4_096)
def tie_breaker(vm: VmName, target: TargetName) -> bytes:
    """Return what orders equal targets, another one at each VM."""
    return hashlib.sha256(f'{vm}/{target}'.encode()).digest()


def _draw(
    ready: list[Candidate],
    criteria: SelectionCriteria,
    terms: SpreadTerms,
    now: float,
) -> Candidate:
    """Draw a candidate by when the request would finish there."""
    if len(ready) == 1:
        return ready[0]
    running = 0.0
    targets = []
    for one in ready:
        load = criteria.load_of(one.known)
        running += min(1.0, load) * max(1, one.known.record.slots)
        targets.append(_to_paced(one, load, criteria, terms, now))
    arrivals = arrivals_meanwhile(running, terms.service_s, terms.info_age_s)
    shares = request_shares(targets, 1 + arrivals)
    return ready[draw_target(shares, terms.draw)]


def _to_paced(
    candidate: Candidate,
    load: float,
    criteria: SelectionCriteria,
    terms: SpreadTerms,
    now: float,
) -> PacedTarget:
    """Return what decides over a candidate with some load."""
    pace = terms.pace_of(candidate.known)
    cost = (_work_cost(candidate, load, criteria, now) + OWN_WORK) * pace
    if candidate.known.record.zone != criteria.zone:
        cost += CROSS_ZONE_S / terms.service_s
    return PacedTarget(cost, max(1, candidate.known.record.slots) / pace)


def _cost(
    candidate: Candidate,
    criteria: SelectionCriteria,
    now: float,
) -> float:
    load = criteria.load_of(candidate.known)
    cost = _work_cost(candidate, load, criteria, now)
    if candidate.known.record.zone != criteria.zone:
        cost += CROSS_ZONE_COST
    return cost


def _work_cost(
    candidate: Candidate,
    load: float,
    criteria: SelectionCriteria,
    now: float,
) -> float:
    """Return a target's load and what failures and earlier attempts add."""
    cost = load
    cost += FAILURE_COST * criteria.health.failure_rate(candidate.target, now)
    if candidate.target in criteria.tried:
        cost += TRIED_COST
    return cost


def _to_candidate(
    known: KnownTarget,
    requirements: TargetRequirements,
    min_version: int,
) -> Candidate | None:
    """Return the target as a candidate if it meets the requirements."""
    if not requirements.model:
        return Candidate(known, None, 0.0)
    if not requirements.adapter:
        label = AdapterLabel(requirements.model, '')
        is_loaded = requirements.model in known.record.models
        return Candidate(known, label, 0.0) if is_loaded else None
    versions = [
        label
        for label in known.adapters
        if label.name == (requirements.model, requirements.adapter)
        and label.version >= min_version
    ]
    if not versions:
        return None
    newest = max(versions, key=lambda label: label.version)
    return Candidate(known, newest, known.adapters[newest])
