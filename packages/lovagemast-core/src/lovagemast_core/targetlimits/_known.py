"""The newest limit of each target, at an entry VM, a relay or the leader.

An entry VM hears a limit in an answer, and reports it to its relay; relays
and the leader pass it on to all others. The newest answer wins, whoever heard
it. A VM that is new, or that leads since a moment ago, learns of limits from
those that know them.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from .._types import TargetName
from ..deployment import AccountSpec
from ..targets import LimitReport

MIN_LIMIT_PER_S: Final = 0.1  # so that a target can say that its need is over
MAX_LIMIT_PER_S: Final = 10_000.0  # from which a limit binds nobody
MAX_TARGETS: Final = 4_096
RETENTION_S: Final = 60.0  # of the limit of a target that is gone


def is_readable(number: float) -> bool:
    """Return whether a number may stand for a limit.

    Others are not a number or negative. They say nothing, and what is known
    of the target stays.
    """
    return not math.isnan(number) and number >= 0


def limit_from_number(number: float | None) -> float | None:
    """Return the limit that an answer states, ``None`` for no limit.

    Zero is read as the lowest limit, and a number that no fleet reaches,
    such as infinity, as none.
    """
    if number is None or number >= MAX_LIMIT_PER_S:
        return None
    return max(MIN_LIMIT_PER_S, number)


class _Known(NamedTuple):
    incarnation: int
    per_s: float | None
    heard_at: float  # s
    stamp: int


class TargetLimits:
    """Limits by target, with stamps for what others have been told."""

    def __init__(self) -> None:
        self.stamp = 0
        self._known: dict[TargetName, _Known] = {}

    def record_answer(
        self, report: LimitReport, sent_at: float, now: float
    ) -> bool:
        """Record what an answer says; return whether that is news.

        ``sent_at`` is when its request was sent. An answer to a request from
        before the last change neither ends a limit nor brings it back.
        """
        known = self._known.get(report.target)
        if known is None or known.incarnation < report.incarnation:
            return report.per_s is not None and self._set(report, now)
        if known.incarnation > report.incarnation:
            return False
        changes_kind = (known.per_s is None) != (report.per_s is None)
        if changes_kind and sent_at < known.heard_at:
            return False
        if known.per_s is None and report.per_s is None:
            return False
        return self._set(report, now)

    def merge(
        self, reports: Iterable[LimitReport], now: float
    ) -> list[LimitReport]:
        """Take over what other VMs have heard later; return the changes."""
        return [
            report
            for report in reports
            if self._is_newer(report, now) and self._set(report, now)
        ]

    def changed_since(self, stamp: int, now: float) -> tuple[LimitReport, ...]:
        """Return what was learned after a stamp."""
        if stamp >= self.stamp:
            return ()
        return tuple(
            LimitReport(
                target, known.incarnation, known.per_s, now - known.heard_at
            )
            for target, known in self._known.items()
            if known.stamp > stamp
        )

    def limit_of(self, target: TargetName, incarnation: int) -> float | None:
        """Return a target's limit, ``None`` if it has none."""
        known = self._known.get(target)
        if known is None or known.incarnation != incarnation:
            return None
        return known.per_s

    def current(self) -> dict[TargetName, float]:
        """Return the limits in force, in requests/s."""
        return {
            target: known.per_s
            for target, known in self._known.items()
            if known.per_s is not None
        }

    def accounts(self) -> dict[TargetName, AccountSpec]:
        """Return the limits as accounts whose tokens are requests."""
        return {
            target: account_of(target, per_s)
            for target, per_s in self.current().items()
        }

    def retain(self, present: Collection[TargetName], now: float) -> None:
        """Forget the targets that have been gone for some time.

        One whose heartbeats were lost may come back with the same limit.
        """
        for target in set(self._known) - set(present):
            if now - self._known[target].heard_at > RETENTION_S:
                self._known.pop(target)

    def clear(self) -> None:
        """Forget all limits."""
        self._known.clear()

    def _is_newer(self, report: LimitReport, now: float) -> bool:
        known = self._known.get(report.target)
        if known is None or known.incarnation < report.incarnation:
            return True
        heard_at = now - max(0.0, report.age_s)
        is_same = known.incarnation == report.incarnation
        return is_same and heard_at > known.heard_at

    def _set(self, report: LimitReport, now: float) -> bool:
        """Store a report; return whether it changes the limit."""
        known = self._known.get(report.target)
        if known is None and len(self._known) >= MAX_TARGETS:
            return False
        is_same = (
            known is not None
            and known.incarnation == report.incarnation
            and known.per_s == report.per_s
        )
        if known is None or not is_same:
            self.stamp += 1
        self._known[report.target] = _Known(
            report.incarnation,
            report.per_s,
            now - max(0.0, report.age_s),
            known.stamp if known and is_same else self.stamp,
        )
        return not is_same


def account_of(target: TargetName, per_s: float) -> AccountSpec:
    """Return a target's limit as an account whose tokens are requests."""
    return AccountSpec(target, (), None, per_s, 0.0, False, 1.0)
