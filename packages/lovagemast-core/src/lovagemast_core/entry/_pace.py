"""Estimates how long work takes at each target, relative to the usual time.

Load: targets share their machines with others. Some are permanently slower or
faster than the rest, and any may become several times slower for half a second
or longer. Each answer of a target states its pace at that moment, but an entry
VM gets such an answer only every few seconds, and a target may be wrong.

The estimate is what is known of the target in the long run, times how much its
last report differed from its usual report. That difference fades within about
the time in which a pace changes.
"""

import math
from typing import Final, NamedTuple

from .._types import TargetName

# A target that claims more counts as this fast: the share that it can draw by
# a wrong claim stays bounded.
MIN_PACE: Final = 0.5
MAX_PACE: Final = 10.0
FADE_S: Final = 2.0  # time constant of a report's difference from the usual
# Of the time that answers took. A slowdown by others that lasts longer counts
# as the target's own.
MEMORY_S: Final = 60.0
REPORT_WEIGHT: Final = 0.1  # of a report in a target's usual one
# Answers after which the time they took counts as much as the reports.
PRIOR_ANSWERS: Final = 4.0
MAX_ANSWERS: Final = 16.0  # that count; newer ones displace older ones
# Relative change of a pool's median with each answer, and with the first ones.
MEDIAN_STEP: Final = 0.03


class WorkKind(NamedTuple):
    """What answers are compared by: a part of the answers of a route."""

    route: str
    part: str


class WorkTime(NamedTuple):
    """The time that a part of an answer took."""

    kind: WorkKind
    took_s: float  # per token of a stream, or of a whole answer


class _Median:
    """A running estimate of the median of positive numbers."""

    def __init__(self, first: float) -> None:
        self.middle = first
        self._count = 1

    def add(self, number: float) -> None:
        self._count += 1
        step = 1 + max(MEDIAN_STEP, 1 / self._count)
        self.middle *= step if number > self.middle else 1 / step


class _TargetPace:
    """What is known of one target; logarithms average out evenly."""

    def __init__(self) -> None:
        self.usual = 0.0  # log of its usual report
        self.last = 0.0  # log of its last report
        self.reported_at = float('-inf')
        self._reports = 1  # one of 1.0 is assumed
        self._slow = 0.0  # log of its answers' time against the pool's median
        self._answers = 0.0  # that count
        self._answered_at = 0.0

    def record_report(self, pace: float, now: float) -> None:
        self._reports += 1
        weight = max(REPORT_WEIGHT, 1 / self._reports)
        self.last = math.log(pace)
        self.usual += weight * (self.last - self.usual)
        self.reported_at = now

    def record_answer(self, ratio: float, now: float) -> None:
        answers = self._counted_answers(now)
        self._answers = min(MAX_ANSWERS, answers + 1)
        self._answered_at = now
        self._slow += (math.log(ratio) - self._slow) / self._answers

    def learned(self, now: float) -> float:
        """Return the log of the pace in the long run."""
        answers = self._counted_answers(now)
        weight = answers / (answers + PRIOR_ANSWERS)
        return weight * self._slow + (1 - weight) * self.usual

    def current(self, now: float) -> float:
        """Return the log of the pace at present."""
        fade = math.exp(-max(0.0, now - self.reported_at) / FADE_S)
        return self.learned(now) + fade * (self.last - self.usual)

    def _counted_answers(self, now: float) -> float:
        age_s = max(0.0, now - self._answered_at)
        return self._answers * math.exp(-age_s / MEMORY_S)


class TargetPaces:
    """The pace of each target: 1.0 as usual, 2.0 if work takes twice as long.

    Nothing is estimated in pools of which no target has ever reported a pace.
    """

    def __init__(self) -> None:
        self._paces: dict[TargetName, _TargetPace] = {}
        self._medians: dict[tuple[str, WorkKind], _Median] = {}
        self._pools: set[str] = set()  # with a target that reported a pace

    def reports_paces(self, pool: str) -> bool:
        """Return whether a target of the pool has ever reported its pace."""
        return pool in self._pools

    def record_report(
        self, pool: str, target: TargetName, pace: float, now: float
    ) -> bool:
        """Store the pace that a target reports; return whether it is valid."""
        if not (pace > 0 and math.isfinite(pace)):
            return False
        self._pools.add(pool)
        bounded = min(MAX_PACE, max(MIN_PACE, pace))
        self._paces.setdefault(target, _TargetPace()).record_report(
            bounded, now
        )
        return True

    def record_answer(
        self, pool: str, target: TargetName, work: WorkTime, now: float
    ) -> None:
        """Compare the time that a target's answer took with its pool's."""
        took_s = work.took_s
        if (
            not (took_s > 0 and math.isfinite(took_s))
            or pool not in self._pools
        ):
            return
        median = self._medians.setdefault((pool, work.kind), _Median(took_s))
        median.add(took_s)
        ratio = min(MAX_PACE, max(MIN_PACE, took_s / median.middle))
        self._paces.setdefault(target, _TargetPace()).record_answer(ratio, now)

    def pace(self, target: TargetName, now: float) -> float:
        """Return a target's pace, 1.0 if nothing is known of it."""
        known = self._paces.get(target)
        if known is None:
            return 1.0
        return min(MAX_PACE, max(MIN_PACE, math.exp(known.current(now))))

    def learned(self, target: TargetName, now: float) -> float:
        """Return a target's pace in the long run."""
        known = self._paces.get(target)
        if known is None:
            return 1.0
        return min(MAX_PACE, max(MIN_PACE, math.exp(known.learned(now))))

    def known_targets(self) -> tuple[TargetName, ...]:
        """Return the targets of which something is known, sorted by name."""
        return tuple(sorted(self._paces))

    def retain(self, present: set[TargetName]) -> None:
        """Drop what is known of targets that are not in ``present``."""
        for target in set(self._paces) - present:
            self._paces.pop(target)

    def retain_pools(self, pools: frozenset[str]) -> None:
        """Drop what is known of pools that are not in ``pools``."""
        self._pools &= pools
        gone = {key for key in self._medians if key[0] not in pools}
        for key in gone:
            self._medians.pop(key)
