"""Decides at the leader how many targets each pool has in each zone.

Load that it handles: demand that rises and falls within minutes, while a new
target serves only after its boot time and each one present is paid for. The
count follows demand up at once and down slowly. Without information it stays.
"""

from collections.abc import Iterator, Mapping
from typing import Final, NamedTuple

from .._types import ZoneName
from ..deployment import ScalingSpec
from ._counts import NeededCount, Reason, ZoneNeed, limited, needed_counts
from ._demand import DemandWindow, Peaks
from ._observations import (
    PoolObservation,
    ScalingObservations,
    ZoneObservation,
)
from ._steps import CountState, next_count

# A new leader has heard of all targets (three heartbeats) and of the requests
# at them within this time.
LEARNING_S: Final = 6.0
# Of the entry VMs that reported lately. Requests of the others are not known,
# so that demand may be higher than it seems.
MIN_REPORTING: Final = 0.9
REPORTING_WINDOW_S: Final = 24.0
REPORTING_BUCKETS: Final = 24
# The other zones keep their counts for so long after a zone was lost: its
# demand may come back with its targets, or move to them.
LOST_HOLD_S: Final = 60.0

Place = tuple[str, ZoneName]


class CountDecision(NamedTuple):
    """The targets that a pool is to have in an availability zone."""

    pool: str
    zone: ZoneName
    desired: int
    reason: Reason
    present: int = 0


class ScalingController:
    """Turns observations into desired counts.

    The counts that it has decided are kept for one term. A new leader goes
    on from the committed ones.
    """

    def __init__(self) -> None:
        self._term = -1
        self._pools: dict[str, _PoolState] = {}
        self._reporting = Peaks(REPORTING_WINDOW_S, REPORTING_BUCKETS)

    def decide(
        self,
        observations: ScalingObservations,
        committed: Mapping[Place, int],
        now: float,
    ) -> tuple[CountDecision, ...]:
        """Return the desired counts of all pools with ``scaling``.

        ``committed`` holds the counts in the replicated state. A pool's zone
        is left out if nothing is known of it and nothing was committed.
        """
        if observations.term != self._term:
            self._term = observations.term
            self._pools.clear()
            self._reporting.clear()
        is_complete = self._has_most_reports(observations.reporting, now)
        pools = {pool.pool: pool for pool in observations.pools}
        for name in set(self._pools) - set(pools):
            self._pools.pop(name)
        obstacle = self._find_obstacle(observations)
        decided: list[CountDecision] = []
        for _name, pool in sorted(pools.items()):
            counts = _of_pool(committed, pool.pool)
            if obstacle:
                decided.extend(self._keep(pool, counts, obstacle))
                continue
            state = self._state(pool)
            state.observe(pool, counts, now)
            decided.extend(state.decide(pool.spec, is_complete, now))
        return tuple(decided)

    def _find_obstacle(
        self, observations: ScalingObservations
    ) -> Reason | None:
        if observations.led_s < LEARNING_S:
            return Reason.LEARNING
        return None if observations.reporting > 0 else Reason.NO_LOAD

    def _has_most_reports(self, reporting: int, now: float) -> bool:
        """Return whether the requests of nearly all entry VMs are known."""
        self._reporting.record(reporting, now)
        most = self._reporting.between(now - REPORTING_WINDOW_S, now)
        return reporting >= MIN_REPORTING * most

    def _state(self, pool: PoolObservation) -> '_PoolState':
        state = self._pools.get(pool.pool)
        if state is None or state.boot_s != pool.spec.boot_s:
            state = _PoolState(pool.pool, pool.spec.boot_s)
            self._pools[pool.pool] = state
        return state

    def _keep(
        self,
        pool: PoolObservation,
        committed: dict[ZoneName, int],
        reason: Reason,
    ) -> Iterator[CountDecision]:
        """Yield the counts as they are, within the limits."""
        state = self._pools.get(pool.pool)
        counts = {**committed, **(state.counts() if state else {})}
        present = {zone.zone: zone.present for zone in pool.zones}
        for zone, count in sorted(counts.items()):
            kept = limited(count, pool.spec)
            yield CountDecision(
                pool.pool,
                zone,
                kept,
                reason if kept == count else Reason.LIMITS,
                present.get(zone, 0),
            )


class _PoolState:
    """The demand and the counts of one pool, by availability zone."""

    def __init__(self, pool: str, boot_s: float) -> None:
        self.boot_s = boot_s
        self._pool = pool
        self._total = DemandWindow(boot_s)
        self._demand: dict[ZoneName, DemandWindow] = {}
        self._counts: dict[ZoneName, CountState] = {}
        self._lost_at: dict[ZoneName, float] = {}  # s
        self._zones: dict[ZoneName, ZoneObservation] = {}  # observed last

    def counts(self) -> dict[ZoneName, int]:
        """Return the counts that were committed or decided."""
        return {
            zone: state.count
            for zone, state in self._counts.items()
            if state.is_ordered
        }

    def observe(
        self,
        pool: PoolObservation,
        committed: dict[ZoneName, int],
        now: float,
    ) -> None:
        """Record an observation, and which zones the pool has."""
        known = {*committed, *self.counts()}
        self._zones = {
            name: ZoneObservation(name, 0, 0, 0, 0, 0) for name in known
        }
        self._zones.update({zone.zone: zone for zone in pool.zones})
        for name in set(self._counts) - set(self._zones):
            self._counts.pop(name)
            self._lost_at.pop(name, None)
        self._record_demand(pool.waiting, now)
        for name, zone in self._zones.items():
            if name not in self._counts:
                self._counts[name] = CountState(
                    committed.get(name), zone.present, now
                )
            self._counts[name].record_present(zone.present, now)
        self._record_lost(now)

    def decide(
        self, spec: ScalingSpec, is_complete: bool, now: float
    ) -> Iterator[CountDecision]:
        """Yield the counts of all zones."""
        live = self._live()
        needed = needed_counts(
            spec,
            tuple(self._need(zone, now) for zone in live),
            self._total.peak(now),
            is_spare=len(live) == len(self._zones),
        )
        may_decrease = is_complete and not self._is_recently_lost(now)
        for name, zone in sorted(self._zones.items()):
            found = self._keep(zone, spec)
            if name in needed:
                may_step = may_decrease and self._may_step(name, now)
                found = self._step(name, needed[name], spec, may_step)
            state = self._counts[name]
            may_begin = name in needed and self._may_begin(state, found, now)
            if state.is_ordered or may_begin:
                state.set_count(found.targets, now)
                yield CountDecision(self._pool, name, *found, zone.present)

    def _keep(self, zone: ZoneObservation, spec: ScalingSpec) -> NeededCount:
        """Return the count of a zone whose load tells nothing."""
        count = self._counts[zone.zone].count
        kept = limited(count, spec)
        reason = _reason_to_keep(zone) if kept == count else Reason.LIMITS
        return NeededCount(kept, reason)

    def _step(
        self,
        zone: ZoneName,
        needed: NeededCount,
        spec: ScalingSpec,
        may_decrease: bool,
    ) -> NeededCount:
        count = self._counts[zone].count
        base = limited(count, spec)
        found = next_count(base, needed, spec, may_decrease=may_decrease)
        if base != count and found.targets == base:
            return NeededCount(base, Reason.LIMITS)
        return found

    def _may_begin(
        self, state: CountState, found: NeededCount, now: float
    ) -> bool:
        """Return whether to order the first count of a zone."""
        is_short = found.targets > state.count
        if is_short and found.reason is not Reason.LIMITS:
            return True
        return state.is_settled(self.boot_s, now)

    def _live(self) -> list[ZoneObservation]:
        return [zone for zone in self._zones.values() if _is_live(zone)]

    def _record_demand(self, waiting: int, now: float) -> None:
        """Record the demand; any zone may serve requests that wait."""
        live = self._live()
        for name in set(self._demand) - {zone.zone for zone in live}:
            self._demand.pop(name)
        for zone in live:
            window = self._demand.setdefault(
                zone.zone, DemandWindow(self.boot_s)
            )
            window.record(zone.requests + waiting / len(live), now)
        if live:
            total = sum(zone.requests for zone in live)
            self._total.record(total + waiting, now)

    def _record_lost(self, now: float) -> None:
        for name, zone in self._zones.items():
            if _is_live(zone) or not zone.in_service:
                self._lost_at.pop(name, None)
            else:
                self._lost_at.setdefault(name, now)

    def _is_recently_lost(self, now: float) -> bool:
        return any(now - at < LOST_HOLD_S for at in self._lost_at.values())

    def _need(self, zone: ZoneObservation, now: float) -> ZoneNeed:
        window = self._demand[zone.zone]
        return ZoneNeed(
            zone.zone,
            zone.slots / zone.present,
            window.peak(now),
            window.projected(now),
            zone.present,
            self._counts[zone.zone].is_coming(self.boot_s, now),
        )

    def _may_step(self, zone: ZoneName, now: float) -> bool:
        window = self._demand[zone]
        state = self._counts[zone]
        return window.may_decrease(now) and state.may_decrease(
            window.hold_s, self.boot_s, now
        )


def _of_pool(committed: Mapping[Place, int], pool: str) -> dict[ZoneName, int]:
    return {
        zone: count for (name, zone), count in committed.items() if name == pool
    }


def _is_live(zone: ZoneObservation) -> bool:
    """Return whether a zone's load tells how many targets it needs."""
    return zone.in_service and zone.present > 0 and zone.slots > 0


def _reason_to_keep(zone: ZoneObservation) -> Reason:
    if not zone.in_service:
        return Reason.ZONE_OUT
    return Reason.NO_LOAD if zone.present else Reason.ZONE_LOST
