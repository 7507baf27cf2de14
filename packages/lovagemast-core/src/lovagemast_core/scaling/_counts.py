"""How many targets each availability zone of a pool needs.

Load that it handles: demand that is uneven between availability zones, the
demand of a zone that is lost, which arrives at the others at once, and zones
that do not get the targets they ordered or need more than their maximum.
"""

import math
from enum import StrEnum
from typing import Final, NamedTuple

from .._types import ZoneName
from ..deployment import ScalingSpec

# Of the slots in use at the recent peak, to which counts are raised. Engines
# slow down as they fill, and a burst of 1.7 times the demand has to find slots.
TARGET_USE: Final = 0.58
# Of the slots that remain when a zone is lost, until new targets serve.
SPARE_USE: Final = 0.9
ROUNDING: Final = 1e-9  # of a target, against errors of floating point


class Reason(StrEnum):
    """Why a count is what it is."""

    LEARNING = 'the leader is learning of targets and load'
    NO_LOAD = 'load is not known'
    ZONE_OUT = 'zone is out of service'
    ZONE_LOST = 'no target of the zone is present'
    LIMITS = 'limits of the configuration'
    ENOUGH = 'enough for the recent peak'
    DEMAND = 'demand has risen'
    GROWTH = 'demand is growing'
    SPARE = 'capacity for the loss of a zone'
    SHORTAGE = 'other zones lack targets'
    LOW = 'demand has stayed low'


class ZoneNeed(NamedTuple):
    """What one availability zone serves, and could serve.

    ``is_coming`` tells whether targets that are missing are still expected.
    """

    zone: ZoneName
    slots: float  # of one target
    peak: float  # requests at a time
    projected: float  # the same, when targets ordered now serve
    present: int
    is_coming: bool


class NeededCount(NamedTuple):
    """The targets that a zone needs, and why it needs so many."""

    targets: int
    reason: Reason


def needed_counts(
    spec: ScalingSpec,
    needs: tuple[ZoneNeed, ...],
    total_peak: float,
    *,
    is_spare: bool,
) -> dict[ZoneName, NeededCount]:
    """Return the targets that each zone needs, within the limits.

    ``total_peak`` is the pool's demand; with ``is_spare`` the other zones
    must have room for it if any one of them is lost.
    """
    planned = _PlannedCounts(spec, needs)
    planned.cover_shortage()
    if is_spare and len(needs) > 1:
        for lost in needs:
            planned.cover_loss(lost, total_peak)
    return planned.counts


def limited(count: int, spec: ScalingSpec) -> int:
    """Return a count within the limits, at least 1 unless the maximum is 0.

    Without any target, demand for plain targets would not be noticed.
    """
    return min(max(count, spec.min_targets, 1), spec.max_targets)


class _PlannedCounts:
    """Counts that are raised step by step to meet all needs."""

    def __init__(self, spec: ScalingSpec, needs: tuple[ZoneNeed, ...]) -> None:
        self.counts: dict[ZoneName, NeededCount] = {}
        self._spec = spec
        self._needs = needs
        self._short_slots = 0.0
        for need in needs:
            self._plan_zone(need)

    def cover_shortage(self) -> None:
        """Let other zones make up for what some lack."""
        self._raise_others(None, self._short_slots, Reason.SHORTAGE)

    def cover_loss(self, lost: ZoneNeed, total_peak: float) -> None:
        """Give the zones other than ``lost`` room for all demand."""
        others = sum(
            self._available(need) * need.slots
            for need in self._needs
            if need is not lost
        )
        lacking = total_peak / SPARE_USE - others - ROUNDING
        self._raise_others(lost, lacking, Reason.SPARE)

    def _plan_zone(self, need: ZoneNeed) -> None:
        wanted = max(need.peak, need.projected)
        count = _ceil(wanted / (TARGET_USE * need.slots))
        reason = Reason.DEMAND
        if need.projected > need.peak:
            reason = Reason.GROWTH
        within = limited(count, self._spec)
        if within > count:
            reason = Reason.LIMITS
        self.counts[need.zone] = NeededCount(within, reason)
        short = max(0, count - self._available(need))
        self._short_slots += short * need.slots

    def _available(self, need: ZoneNeed) -> int:
        """Return the targets of a zone that are present or still expected."""
        planned = self.counts[need.zone].targets
        return planned if need.is_coming else min(planned, need.present)

    def _raise_others(
        self, lost: ZoneNeed | None, slots: float, reason: Reason
    ) -> None:
        """Share ``slots`` among the zones that may still be raised.

        A round leaves a rest only if it has raised some zone to its maximum.
        """
        able = self._with_room(lost)
        while slots > 0 and able:
            share = slots / len(able)
            for need in able:
                slots -= self._raise(need, share, reason)
            able = self._with_room(lost)

    def _with_room(self, lost: ZoneNeed | None) -> list[ZoneNeed]:
        return [
            need
            for need in self._needs
            if need is not lost
            and need.is_coming
            and self.counts[need.zone].targets < self._spec.max_targets
        ]

    def _raise(self, need: ZoneNeed, slots: float, reason: Reason) -> float:
        """Raise a zone's count by so many slots, at least by one target.

        Return the slots that it got.
        """
        count = self.counts[need.zone].targets
        raised = count + max(1, _ceil(slots / need.slots))
        raised = min(raised, self._spec.max_targets)
        self.counts[need.zone] = NeededCount(raised, reason)
        return (raised - count) * need.slots


def _ceil(targets: float) -> int:
    return math.ceil(targets - ROUNDING)
