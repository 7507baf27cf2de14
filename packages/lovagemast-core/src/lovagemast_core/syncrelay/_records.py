"""A relay's target records, with stamps for what its entry VMs know."""

from typing import Final, NamedTuple

from .._types import TargetName
from ..entry import KnownTarget
from ..targets import RemovalLog, ResidentAdapter, TargetRecord

# Changes of a time by less than this are not passed on: the leader computes
# the times anew for each record that it sends.
TIME_TOLERANCE_S: Final = 0.02
# A record is built once for all entry VMs that sync within this time.
RECORD_CACHE_TTL_S: Final = 0.03


class _CachedRecord(NamedTuple):
    stamp: int
    made_at: float  # s
    record: TargetRecord


class RelayedRecords:
    """Stamps the changes of records that the leader's replies bring.

    A record that is sent again unchanged, as after an election, gets no new
    stamp, so entry VMs are not sent it again. Records in dispute are the
    exception: an entry VM that was denied an adapter has removed it from its
    copy, and needs the leader's answer even if that is the same as before.
    """

    def __init__(self) -> None:
        self.stamp = 0
        self.left_stamp = 0  # of the last target that leaves or was removed
        self.removals = RemovalLog()
        self._stamps: dict[TargetName, int] = {}
        self._known: dict[TargetName, KnownTarget] = {}
        self._cache: dict[TargetName, _CachedRecord] = {}
        self._disputed: set[TargetName] = set()

    def dispute(self, target: TargetName) -> None:
        """Record that an entry VM doubts a target's record."""
        self._disputed.add(target)

    def update(self, targets: dict[TargetName, KnownTarget]) -> set[str]:
        """Compare with the targets known now and stamp all changes.

        Return the labels of adapters that targets did not hold before, or
        that are ready at another time.
        """
        gained: set[str] = set()
        for name in set(self._known) - set(targets):
            self._stamps.pop(name, None)
            self._cache.pop(name, None)
            self._disputed.discard(name)
            self.removals.record(name, self._next_stamp())
            self.left_stamp = self.stamp
        for name, known in targets.items():
            before = self._known.get(name)
            if before is known:
                continue
            is_disputed = name in self._disputed
            self._disputed.discard(name)
            if before is None or is_disputed or _has_changed(before, known):
                self._stamps[name] = self._next_stamp()
                self.removals.forget(name)
                if known.record.leaving:
                    self.left_stamp = self.stamp
                gained |= _gained_labels(before, known)
        self._known = dict(targets)
        return gained

    def needs_all(self, stamp: int) -> bool:
        """Return whether an entry VM with this stamp needs all records."""
        return stamp == 0 or stamp < self.removals.horizon

    def changed_since(self, stamp: int, now: float) -> tuple[TargetRecord, ...]:
        """Return the records that are newer than a stamp."""
        if stamp >= self.stamp:
            return ()
        return tuple(
            self._record(name, now)
            for name, changed_at in self._stamps.items()
            if changed_at > stamp
        )

    def _next_stamp(self) -> int:
        self.stamp += 1
        return self.stamp

    def _record(self, name: TargetName, now: float) -> TargetRecord:
        """Return a record, the same object for all that sync now."""
        stamp = self._stamps[name]
        cached = self._cache.get(name)
        if (
            cached
            and cached.stamp == stamp
            and now - cached.made_at < RECORD_CACHE_TTL_S
        ):
            return cached.record
        record = _with_remaining_times(self._known[name], now)
        self._cache[name] = _CachedRecord(stamp, now, record)
        return record


def _with_remaining_times(known: KnownTarget, now: float) -> TargetRecord:
    elapsed_s = now - known.learned_at
    adapters = tuple(
        ResidentAdapter(one.label, max(0.0, one.ready_in_s - elapsed_s))
        for one in known.record.adapters
    )
    cold_s = max(0.0, known.record.cold_s - elapsed_s)
    return known.record._replace(cold_s=cold_s, adapters=adapters)


def _has_changed(before: KnownTarget, after: KnownTarget) -> bool:
    """Return whether entry VMs need to know the newer record."""
    expected = _with_remaining_times(before, after.learned_at)
    if _differs(expected.cold_s, after.record.cold_s):
        return True
    expected_s = {one.label: one.ready_in_s for one in expected.adapters}
    for one in after.record.adapters:
        ready_in_s = expected_s.pop(one.label, None)
        if ready_in_s is None or _differs(ready_in_s, one.ready_in_s):
            return True
    if expected_s:
        return True
    unchanged = expected._replace(
        cold_s=after.record.cold_s, adapters=after.record.adapters
    )
    return unchanged != after.record


def _gained_labels(before: KnownTarget | None, after: KnownTarget) -> set[str]:
    held = set(before.record.adapters) if before else set()
    return {one.label for one in after.record.adapters if one not in held}


def _differs(expected_s: float, actual_s: float) -> bool:
    return abs(expected_s - actual_s) > TIME_TOLERANCE_S
