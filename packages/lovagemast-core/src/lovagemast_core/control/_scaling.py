"""Desired counts of targets: from a leader's fleet control to the duties."""

from collections.abc import Callable
from typing import Final

from ..duties import DutyController, ScaleOrder
from ..scaling import (
    CountDecision,
    LoadSources,
    ScalingController,
    ScalingObservations,
    observe_pools,
)
from ._effects import ControlEffect, CountsDecided
from ._fleet import FleetController

DECISION_INTERVAL_S: Final = 1.0


def observe_scaling(fleet: FleetController, now: float) -> ScalingObservations:
    """Return what a leader knows of the pools whose targets are counted."""
    targets = fleet.registry.all_targets()
    sources = LoadSources(targets, fleet.planner, fleet.relay_loads)
    return ScalingObservations(
        fleet.term,
        fleet.led_s(now),
        fleet.relay_loads.reporting(now),
        observe_pools(fleet.pools, sources, now),
    )


class TargetScaling:
    """Decides at intervals while this VM leads."""

    def __init__(
        self, fleet: FleetController, emit: Callable[[ControlEffect], None]
    ) -> None:
        self._fleet = fleet
        self._emit = emit
        self._controller = ScalingController()
        self._decided: tuple[CountDecision, ...] = ()
        self._due_at = 0.0  # s

    def step(self, duties: DutyController, now: float) -> None:
        """Hand new counts to the duties, which commit and send them."""
        if not duties.has_scaling or now < self._due_at:
            return
        self._due_at = now + DECISION_INTERVAL_S
        committed = {
            (known.pool, known.zone): known.desired
            for known in duties.state.desired
        }
        observations = observe_scaling(self._fleet, now)
        counts = self._controller.decide(observations, committed, now)
        if counts:
            orders = (
                ScaleOrder(one.pool, one.zone, one.desired) for one in counts
            )
            duties.set_desired(tuple(orders))
        if counts != self._decided:
            self._decided = counts
            self._emit(CountsDecided(counts))
