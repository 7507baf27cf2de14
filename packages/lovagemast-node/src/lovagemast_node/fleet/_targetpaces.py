"""What an entry VM learns of the paces of targets, and reports of them."""

import random
import secrets
from typing import Final

from lovagemast_core.entry import (
    FLEET_LAG_S,
    KnownTarget,
    MeanServiceTime,
    SpreadTerms,
    TargetPaces,
)

from .._clock import now_s
from ._jsonlog import JsonLog
from ._metrics import EntryMetrics

LOG_INTERVAL_S: Final = 10.0
LOGGED_TARGETS: Final = 5  # the slowest ones, in a line


class PaceTracker:
    """The paces of targets, how long requests stay, and random draws."""

    def __init__(self, log: JsonLog, metrics: EntryMetrics) -> None:
        self.known = TargetPaces()
        self.service_times = MeanServiceTime()
        self._log = log
        self._metrics = metrics
        self._rng = random.Random(secrets.randbits(64))
        self._logged_at = now_s()
        self._unreadable = 0  # since the last line
        self._unreadable_target = ''

    def record_report(self, known: KnownTarget, pace: float | None) -> None:
        """Record the pace that a target reports, if it reports one."""
        if pace is None:
            return
        record = known.record
        now = now_s()
        if self.known.record_report(record.pool, record.target, pace, now):
            self._metrics.record_pace(pace)
        else:
            self._metrics.record_unreadable_pace()
            self._unreadable += 1
            self._unreadable_target = record.target
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._write_lines(now)

    def terms(self, pool: str, now: float) -> SpreadTerms | None:
        """Return the terms of a choice; ``None`` in pools without paces."""
        if not self.known.reports_paces(pool):
            return None
        return SpreadTerms(
            lambda known: self.known.pace(known.record.target, now),
            self.service_times.of(pool),
            FLEET_LAG_S,
            self._rng.random(),
        )

    def retain_pools(self, pools: frozenset[str]) -> None:
        """Drop what is known of pools that are not in ``pools``."""
        self.known.retain_pools(pools)
        self.service_times.retain(pools)

    def _write_lines(self, now: float) -> None:
        names = self.known.known_targets()
        paces = sorted((self.known.pace(one, now), one) for one in names)
        if paces:
            self._log.write(
                'pace',
                'of targets',
                targets=len(paces),
                median=round(paces[len(paces) // 2][0], 2),
                slowest={
                    name: [round(pace, 2), self._learned(name, now)]
                    for pace, name in paces[-LOGGED_TARGETS:]
                },
            )
        if self._unreadable:
            self._log.write(
                'pace',
                'unreadable',
                target=self._unreadable_target,
                count=self._unreadable,
            )
            self._unreadable = 0

    def _learned(self, target: str, now: float) -> float:
        return round(self.known.learned(target, now), 2)
