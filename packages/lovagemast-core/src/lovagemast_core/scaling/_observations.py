"""What the leader knows of the load of pools whose targets are counted.

Load that it handles: requests in progress at targets, as entry VMs report
them with the sync, and requests that wait for an adapter. Those that wait at
a target count as in progress. Requests that wait at entry VMs for room at a
target are not reported and are missing here.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import VmName, ZoneName
from ..adapters import USES_TTL_S, AdapterPlanner
from ..deployment import PoolSpec, ScalingSpec
from ..targets import AdapterWish, RegisteredTarget, SyncAsk

REPORT_TTL_S: Final = 2.0  # without a sync, until a relay's report is old
NEVER: Final = float('-inf')


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


class _RelayReport(NamedTuple):
    wishes: tuple[AdapterWish, ...]
    entries: int  # entry VMs that sync with the relay
    asked_at: float  # s
    used_at: float  # s, of the last report of requests in progress


class RelayLoads:
    """What relays last reported of load, as far as the planner lacks it."""

    def __init__(self) -> None:
        self._reports: dict[VmName, _RelayReport] = {}

    def record(self, ask: SyncAsk, now: float) -> None:
        """Record a relay's sync request."""
        known = self._reports.get(ask.vm)
        used_at = known.used_at if known else NEVER
        self._reports[ask.vm] = _RelayReport(
            ask.wishes, ask.entries, now, now if ask.has_uses else used_at
        )

    def clear(self) -> None:
        """Forget all reports, at the start of a term."""
        self._reports.clear()

    def reporting(self, now: float) -> int:
        """Return how many entry VMs have their requests in progress known."""
        return sum(
            report.entries
            for report in self._recent(now)
            if now - report.used_at < USES_TTL_S
        )

    def waiting(self, now: float) -> Counter[str]:
        """Return the requests that wait for an adapter, by pool."""
        found: Counter[str] = Counter()
        for report in self._recent(now):
            for wish in report.wishes:
                found[wish.pool] += wish.waiting
        return found

    def _recent(self, now: float) -> list[_RelayReport]:
        self._reports = {
            vm: report
            for vm, report in self._reports.items()
            if now - report.asked_at < REPORT_TTL_S
        }
        return list(self._reports.values())


class LoadSources(NamedTuple):
    """Where the leader keeps what it knows of targets and their load."""

    targets: Iterable[RegisteredTarget]
    planner: AdapterPlanner
    relays: RelayLoads


def observe_pools(
    pools: Iterable[PoolSpec], sources: LoadSources, now: float
) -> tuple[PoolObservation, ...]:
    """Return the observations of the pools that have ``scaling``."""
    scaled = {pool.name: pool.scaling for pool in pools if pool.scaling}
    if not scaled:
        return ()
    counts = _TargetCounts(sources.planner, now)
    for registered in sources.targets:
        if registered.heartbeat.pool in scaled:
            counts.add(registered)
    waiting = sources.relays.waiting(now)
    return tuple(
        PoolObservation(pool, spec, waiting[pool], counts.zones(pool))
        for pool, spec in scaled.items()
    )


class _ZoneCounts:
    """Sums over the targets of one pool in one availability zone."""

    def __init__(self) -> None:
        self.ready = 0
        self.cold = 0
        self.leaving = 0
        self.slots = 0
        self.requests = 0

    def add(self, registered: RegisteredTarget, *, is_cold: bool) -> None:
        heartbeat = registered.heartbeat
        if heartbeat.leaving:
            self.leaving += 1
            return
        self.slots += heartbeat.slots
        self.cold += is_cold
        self.ready += not is_cold

    def observation(
        self, zone: ZoneName, *, in_service: bool
    ) -> ZoneObservation:
        return ZoneObservation(
            zone,
            self.ready,
            self.cold,
            self.leaving,
            self.slots,
            self.requests,
            in_service,
        )


class _TargetCounts:
    """The sums of all pools and availability zones."""

    def __init__(self, planner: AdapterPlanner, now: float) -> None:
        self._planner = planner
        self._now = now
        self._found: dict[tuple[str, ZoneName], _ZoneCounts] = {}

    def add(self, registered: RegisteredTarget) -> None:
        heartbeat = registered.heartbeat
        place = (heartbeat.pool, heartbeat.zone)
        found = self._found.get(place)
        if found is None:
            found = _ZoneCounts()
            self._found[place] = found
        found.requests += self._planner.requests_at(heartbeat.target)
        found.add(registered, is_cold=self._is_cold(registered))

    def zones(self, pool: str) -> tuple[ZoneObservation, ...]:
        zones_out = self._planner.engines.zones_out
        return tuple(
            found.observation(zone, in_service=zone not in zones_out)
            for (of_pool, zone), found in sorted(
                self._found.items(), key=lambda one: one[0]
            )
            if of_pool == pool
        )

    def _is_cold(self, registered: RegisteredTarget) -> bool:
        """Return whether a target can't take its share yet."""
        heartbeat = registered.heartbeat
        if heartbeat.cold_s > self._now - registered.received_at:
            return True
        engine = self._planner.get(heartbeat.target)
        return engine is not None and not engine.models
