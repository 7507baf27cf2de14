"""Popular adapters that need a copy on a further engine."""

from typing import Final

from ._demand import DemandMeter
from ._enginetable import EngineTable
from ._holderindex import Name

MAX_COPIED_ADAPTERS: Final = 24  # most requested, that may have copies
MIN_COPY_RATE: Final = 0.5  # requests/s per holder, including the copy


def adapters_to_copy(
    engines: EngineTable, demand: DemandMeter, now: float
) -> list[Name]:
    """Return the adapters whose holders are all busy and much requested."""
    return [
        name
        for name in demand.most_requested(
            MAX_COPIED_ADAPTERS, MIN_COPY_RATE, now
        )
        if _warrants_copy(engines, demand.rate(name, now), name)
        and engines.copy_would_help(name)
    ]


def _warrants_copy(engines: EngineTable, rate: float, name: Name) -> bool:
    copies = len(engines.holders(name)) + 1
    return rate >= MIN_COPY_RATE * copies
