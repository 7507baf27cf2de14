"""How many targets each pool is to have in each availability zone."""

from ._controller import CountDecision, ScalingController
from ._counts import NeededCount, Reason, ZoneNeed, needed_counts
from ._demand import DemandWindow
from ._observations import (
    LoadSources,
    PoolObservation,
    RelayLoads,
    ScalingObservations,
    ZoneObservation,
    observe_pools,
)
from ._steps import CountState, next_count

__all__ = [
    'CountDecision',
    'CountState',
    'DemandWindow',
    'LoadSources',
    'NeededCount',
    'PoolObservation',
    'Reason',
    'RelayLoads',
    'ScalingController',
    'ScalingObservations',
    'ZoneNeed',
    'ZoneObservation',
    'needed_counts',
    'next_count',
    'observe_pools',
]
