"""The leader's records of targets, as they are sent to relays."""

from typing import Final, NamedTuple

from .._types import TargetName
from ..adapters import AdapterPlanner
from ..targets import RegisteredTarget, TargetRecord

# A record is built once for all relays that sync within this time; the
# remaining times in it are late by as much.
RECORD_CACHE_TTL_S: Final = 0.03


class _CachedRecord(NamedTuple):
    stamp: int
    made_at: float  # s
    record: TargetRecord

    def is_fresh(self, stamp: int, now: float) -> bool:
        """Return whether the record may still be sent."""
        return self.stamp == stamp and now - self.made_at < RECORD_CACHE_TTL_S


class RecordCache:
    """Builds records of targets, and shares them between relays."""

    def __init__(self, planner: AdapterPlanner) -> None:
        self._planner = planner
        self._records: dict[TargetName, _CachedRecord] = {}

    def clear(self) -> None:
        """Forget all records, at the start of a term."""
        self._records.clear()

    def record_of(self, known: RegisteredTarget, now: float) -> TargetRecord:
        """Return a target's record, shared by all relays that sync now."""
        target = known.heartbeat.target
        cached = self._records.get(target)
        if cached and cached.is_fresh(known.stamp, now):
            return cached.record
        record = self._build(known, now)
        self._records[target] = _CachedRecord(known.stamp, now, record)
        return record

    def _build(self, known: RegisteredTarget, now: float) -> TargetRecord:
        heartbeat = known.heartbeat
        engine = self._planner.get(heartbeat.target)
        return TargetRecord(
            heartbeat.target,
            heartbeat.pool,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.incarnation,
            heartbeat.slots,
            heartbeat.leaving,
            max(0.0, heartbeat.cold_s - (now - known.received_at)),
            tuple(engine.models) if engine else heartbeat.models,
            engine.resident_adapters(now) if engine else (),
            heartbeat.software,
        )
