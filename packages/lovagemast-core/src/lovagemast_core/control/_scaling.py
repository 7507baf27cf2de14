"""Observations for the scaling of pools, from a leader's fleet control."""

from ..scaling import LoadSources, ScalingObservations, observe_pools
from ._fleet import FleetController


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
