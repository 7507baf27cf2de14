"""How targets answered lately, and which to leave alone for a while."""

import math
from typing import Final

from .._types import TargetName

FAILURE_MEMORY_S: Final = 4.0  # over which failures are averaged
FIRST_BACKOFF_S: Final = 0.3
LONGEST_BACKOFF_S: Final = 4.0
TRUST: Final = 2.0  # imagined successes, so that one failure weighs little


class _Record:
    """Counts of one target, decayed over time."""

    def __init__(self, now: float) -> None:
        self.good = 0.0
        self.bad = 0.0
        self.at = now
        self.streak = 0
        self.shut_until = 0.0
        self.full_until = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.at) / FAILURE_MEMORY_S)
        self.good *= factor
        self.bad *= factor
        self.at = now


class TargetHealth:
    """Judges targets by what their answers show."""

    def __init__(self) -> None:
        self._records: dict[TargetName, _Record] = {}

    def record_success(self, target: TargetName, now: float) -> None:
        """Note a whole answer that was no failure."""
        record = self._record(target, now)
        record.good += 1
        record.streak = 0
        record.shut_until = 0.0

    def record_failure(self, target: TargetName, now: float) -> None:
        """Note an answer that was a failure or broke off."""
        record = self._record(target, now)
        record.bad += 1

    def record_unreachable(self, target: TargetName, now: float) -> None:
        """Note that a connection could not be opened or was lost."""
        record = self._record(target, now)
        record.bad += 1
        backoff = FIRST_BACKOFF_S * 2.0**record.streak
        record.streak = min(record.streak + 1, 6)
        record.shut_until = now + min(backoff, LONGEST_BACKOFF_S)

    def record_rejection(
        self, target: TargetName, pause_s: float, now: float
    ) -> None:
        """Note that a target turned a request away."""
        self._record(target, now).full_until = now + pause_s

    def is_available(self, target: TargetName, now: float) -> bool:
        """Return whether a target may be used."""
        record = self._records.get(target)
        if record is None:
            return True
        return now >= max(record.shut_until, record.full_until)

    def is_unreachable(self, target: TargetName, now: float) -> bool:
        """Return whether a target is set aside after a lost connection."""
        record = self._records.get(target)
        return record is not None and now < record.shut_until

    def unreachable_targets(self, now: float) -> tuple[TargetName, ...]:
        """Return the targets that could not be reached lately."""
        return tuple(
            target
            for target, record in sorted(self._records.items())
            if now < record.shut_until
        )

    def failure_rate(self, target: TargetName, now: float) -> float:
        """Return the part of recent requests that failed, from 0 to 1."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        record.decay(now)
        return record.bad / (record.good + record.bad + TRUST)

    def retain(self, present: set[TargetName]) -> None:
        """Drop the records of targets that are gone."""
        for target in set(self._records) - present:
            self._records.pop(target)

    def _record(self, target: TargetName, now: float) -> _Record:
        record = self._records.setdefault(target, _Record(now))
        record.decay(now)
        return record
