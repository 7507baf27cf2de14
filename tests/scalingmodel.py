"""Pools in several zones whose counts follow the decisions of a controller.

The model has no queueing theory: a request occupies a slot, overflow goes to
other zones with free slots, and what finds none waits at its own zone.
"""

from collections.abc import Callable
from typing import Final

from lovagemast_core.deployment import ScalingSpec
from lovagemast_core.scaling import (
    CountDecision,
    PoolObservation,
    ScalingController,
    ScalingObservations,
    ZoneObservation,
)

SLOTS: Final = 12
STEP_S: Final = 0.5
BOOT_S: Final = 8.0
LEAVING_S: Final = 2.0
SPEC: Final = ScalingSpec(2, 60, BOOT_S)
ZONES: Final = ('z0', 'z1', 'z2')
Demand = Callable[[str, float], float]


class ModelZone:
    """The targets of one zone as the infrastructure runs them."""

    def __init__(self, ready: int) -> None:
        self.ready = ready
        self.booting: list[float] = []  # when each begins to serve
        self.leaving: list[float] = []  # when each is gone
        self.grants = True  # whether ordered targets appear
        self.is_up = True
        self.requests = 0.0  # in progress or waiting at targets

    @property
    def slots(self) -> int:
        """Return the slots that callers can use."""
        return SLOTS * self.ready if self.is_up else 0

    def advance(self, now: float) -> None:
        """Let targets appear and go."""
        self.ready += sum(at <= now for at in self.booting)
        self.booting = [at for at in self.booting if at > now]
        self.leaving = [at for at in self.leaving if at > now]

    def order(self, count: int, now: float) -> None:
        """Apply an ordered count."""
        missing = count - self.ready - len(self.booting)
        if missing > 0 and self.grants:
            self.booting += [now + BOOT_S] * missing
        while missing < 0 and self.booting:
            self.booting.pop()
            missing += 1
        if missing < 0:
            self.ready += missing
            self.leaving += [now + LEAVING_S] * -missing


class Model:
    """Runs zones, their demand and a controller in virtual time.

    ``shortages`` holds, for each step, the requests that found no slot;
    ``history`` the counts of each zone when they changed.
    """

    def __init__(
        self,
        demand: Demand,
        ready: int = 20,
        spec: ScalingSpec = SPEC,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        self.now = 1_000.0
        self.started_at = self.now
        self.demand = demand
        self.spec = spec
        self.zones = {zone: ModelZone(ready) for zone in zones}
        self.term = 1
        self.led_since = self.now
        self.reporting = 60
        self.sees_waiting = True  # false if requests wait at entry VMs
        self.zones_out: set[str] = set()
        self.committed = {('pool', zone): ready for zone in zones}
        self.controller = ScalingController()
        self.shortages: list[tuple[float, float]] = []  # s since start, ratio
        self.history: dict[str, list[tuple[float, int]]] = {
            zone: [(0.0, ready)] for zone in zones
        }
        self.decided: tuple[CountDecision, ...] = ()
        self.target_seconds = 0.0

    @property
    def elapsed(self) -> float:
        """Return the time since the start, in s."""
        return self.now - self.started_at

    def run(self, seconds: float) -> None:
        """Run for some time."""
        for _step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for zone in self.zones.values():
                zone.advance(self.now)
            self._serve()
            self._decide()

    def elect(self) -> None:
        """Replace the leader by one that knows only what is committed."""
        self.term += 1
        self.led_since = self.now
        self.controller = ScalingController()

    def count(self, zone: str) -> int:
        """Return the committed count of a zone."""
        return self.committed['pool', zone]

    def total(self) -> int:
        """Return the committed counts of all zones."""
        return sum(self.committed.values())

    def reasons(self) -> dict[str, str]:
        """Return the reasons of the last decision."""
        return {one.zone: one.reason.name for one in self.decided}

    def short_during(self, since: float, until: float) -> float:
        """Return the largest part of demand without a slot in a span."""
        return max(
            (part for at, part in self.shortages if since <= at <= until),
            default=0.0,
        )

    def changes(self, zone: str, since: float = 0.0) -> list[int]:
        """Return the counts that a zone had from some time on."""
        kept = [count for at, count in self.history[zone] if at <= since][-1:]
        later = [count for at, count in self.history[zone] if at > since]
        return kept + later

    def observe(self) -> ScalingObservations:
        """Return what the leader knows now."""
        zones = tuple(
            ZoneObservation(
                name,
                zone.ready,
                0,
                len(zone.leaving),
                zone.ready * SLOTS,
                round(zone.requests),
                name not in self.zones_out,
            )
            for name, zone in self.zones.items()
            if zone.is_up and zone.ready + len(zone.leaving)
        )
        pool = PoolObservation('pool', self.spec, 0, zones)
        led_s = self.now - self.led_since
        return ScalingObservations(self.term, led_s, self.reporting, (pool,))

    def _serve(self) -> None:
        wanted = {zone: self.demand(zone, self.elapsed) for zone in self.zones}
        up = [zone for zone, known in self.zones.items() if known.is_up]
        lost = sum(wanted[zone] for zone in self.zones if zone not in up)
        for zone in up:  # callers of a lost zone go to the others
            wanted[zone] += lost / len(up)
        overflow = 0.0
        for zone in up:
            served = min(wanted[zone], self.zones[zone].slots)
            self.zones[zone].requests = served
            overflow += wanted[zone] - served
        for zone in up:
            free = self.zones[zone].slots - self.zones[zone].requests
            taken = min(free, overflow)
            self.zones[zone].requests += taken
            overflow -= taken
        for zone in up:
            if self.sees_waiting:
                self.zones[zone].requests += overflow / len(up)
        total = sum(wanted[zone] for zone in up)
        self.shortages.append((self.elapsed, overflow / max(1.0, total)))
        self.target_seconds += STEP_S * sum(
            zone.ready for zone in self.zones.values()
        )

    def _decide(self) -> None:
        self.decided = self.controller.decide(
            self.observe(), self.committed, self.now
        )
        for one in self.decided:
            if self.committed.get((one.pool, one.zone)) != one.desired:
                self.committed[one.pool, one.zone] = one.desired
                self.history[one.zone].append((self.elapsed, one.desired))
            if self.zones[one.zone].is_up:
                self.zones[one.zone].order(one.desired, self.now)
