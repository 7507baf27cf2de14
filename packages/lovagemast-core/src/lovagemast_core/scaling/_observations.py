"""What the leader knows of the load of pools whose targets are counted.

Load that it handles: requests in progress at targets, as entry VMs report
them with the sync, and requests that wait for an adapter. Requests that wait
at entry VMs for a plain target are not reported and are missing here; those
that wait at the target itself count as in progress.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .._types import TargetName, ZoneName
from ..adapters import AdapterPlanner
from ..deployment import PoolSpec, ScalingSpec
from ..targets import RegisteredTarget


class ZoneObservation(NamedTuple):
    """The targets of a pool in one availability zone, and their load.

    ``slots`` are those of the ready and cold targets; ``requests`` are in
    progress at all of them, leaving ones included.
    """

    zone: ZoneName
    ready: int
    cold: int  # in their cold start, or without a model
    leaving: int
    slots: int
    requests: int
    in_service: bool = True  # false if operators have taken the zone out

    @property
    def present(self) -> int:
        """Return the targets that serve or will do so soon."""
        return self.ready + self.cold


class PoolObservation(NamedTuple):
    """A pool with its targets by availability zone."""

    pool: str
    spec: ScalingSpec
    waiting: int  # requests that wait at entry VMs for an adapter
    zones: tuple[ZoneObservation, ...]


class ScalingObservations(NamedTuple):
    """What a leader knows at one time.

    ``reporting`` counts the entry VMs whose requests in progress are known;
    without any, the load is not known.
    """

    term: int
    led_s: float  # since the leader was elected
    reporting: int
    pools: tuple[PoolObservation, ...] = ()


class LoadSources(NamedTuple):
    """Where the leader keeps what it knows of targets and their load."""

    targets: Iterable[RegisteredTarget]
    planner: AdapterPlanner
    waiting: Mapping[str, int]  # by pool
    zones_out: frozenset[ZoneName]


def observe_pools(
    pools: Iterable[PoolSpec], sources: LoadSources, now: float
) -> tuple[PoolObservation, ...]:
    """Return the observations of the pools that have ``scaling``."""
    scaled = {pool.name: pool.scaling for pool in pools if pool.scaling}
    if not scaled:
        return ()
    counts: dict[tuple[str, ZoneName], Counter[str]] = {}
    is_cold = _coldness(sources.planner, now)
    for registered in sources.targets:
        heartbeat = registered.heartbeat
        if heartbeat.pool in scaled:
            place = (heartbeat.pool, heartbeat.zone)
            found = counts.setdefault(place, Counter())
            _count(found, registered, sources.planner, is_cold)
    return tuple(
        PoolObservation(
            pool,
            spec,
            sources.waiting.get(pool, 0),
            tuple(
                _zone_observation(zone, found, sources.zones_out)
                for (name, zone), found in sorted(counts.items())
                if name == pool
            ),
        )
        for pool, spec in scaled.items()
    )


def _coldness(
    planner: AdapterPlanner, now: float
) -> Callable[[RegisteredTarget], bool]:
    """Return what tells whether a target can't take its share yet."""

    def is_cold(registered: RegisteredTarget) -> bool:
        heartbeat = registered.heartbeat
        if heartbeat.cold_s > now - registered.received_at:
            return True
        engine = planner.get(heartbeat.target)
        return engine is not None and not engine.models

    return is_cold


def _count(
    found: Counter[str],
    registered: RegisteredTarget,
    planner: AdapterPlanner,
    is_cold: Callable[[RegisteredTarget], bool],
) -> None:
    heartbeat = registered.heartbeat
    found['requests'] += planner.requests_at(heartbeat.target)
    if heartbeat.leaving:
        found['leaving'] += 1
        return
    found['slots'] += heartbeat.slots
    found['cold' if is_cold(registered) else 'ready'] += 1


def _zone_observation(
    zone: ZoneName, found: Counter[str], zones_out: frozenset[ZoneName]
) -> ZoneObservation:
    return ZoneObservation(
        zone,
        found['ready'],
        found['cold'],
        found['leaving'],
        found['slots'],
        found['requests'],
        zone not in zones_out,
    )


def requests_of(
    targets: Iterable[TargetName], planner: AdapterPlanner
) -> int:
    """Return the requests in progress at some targets."""
    return sum(planner.requests_at(target) for target in targets)
