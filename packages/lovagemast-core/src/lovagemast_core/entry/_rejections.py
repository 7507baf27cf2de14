"""Keeps rejections by brittle targets below what these bear.

A brittle target says how many requests/s it may reject for want of room
before it falls over. It gets no more requests at a time than it can run: each
entry VM has a part of its slots. What it rejects all the same makes each VM
pause, so long that the rejections of all VMs together stay below the number.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

from .._types import TargetName
from ..targetlimits import LimitExchange
from ._limits import EntryShare
from ._selection import tie_breaker
from ._view import KnownTarget

MIN_PAUSE_S: Final = 1.0  # after a rejection
# Below this part of a target's capacity, an entry VM without a part of its
# slots may send it a request too.
SPARE_LOAD: Final = 0.5


class TargetUse(NamedTuple):
    """The requests in progress at a target."""

    running_here: int  # of this entry VM
    load: float  # of all VMs, as a fraction of the target's capacity


class RejectionGuard:
    """Decides whether a target may be sent one more request."""

    def __init__(self) -> None:
        self.exchange = LimitExchange()
        self._paused_until: dict[TargetName, float] = {}  # s

    def tolerance_of(self, known: KnownTarget) -> float | None:
        """Return the rejections/s that a target bears, ``None`` if sound."""
        record = known.record
        return self.exchange.known.limit_of(record.target, record.incarnation)

    def may_send(
        self, known: KnownTarget, use: TargetUse, share: EntryShare, now: float
    ) -> bool:
        """Return whether a target will probably have room for a request."""
        if self.tolerance_of(known) is None:
            return True
        if now < self._paused_until.get(known.record.target, 0.0):
            return False
        own_slots = _own_slots(known, share)
        if not own_slots:
            return not use.running_here and use.load < SPARE_LOAD
        return use.running_here < own_slots

    def record_rejection(
        self, known: KnownTarget, share: EntryShare, now: float
    ) -> None:
        """Record that a target rejected a request for want of room."""
        tolerance = self.tolerance_of(known)
        if tolerance is None:
            return
        pause_s = max(MIN_PAUSE_S, share.entries / tolerance)
        self._paused_until[known.record.target] = now + pause_s

    def retain(self, present: Collection[TargetName], now: float) -> None:
        """Forget the targets that are not in ``present``."""
        self.exchange.known.retain(present, now)
        for target in set(self._paused_until) - set(present):
            self._paused_until.pop(target)


def _own_slots(known: KnownTarget, share: EntryShare) -> int:
    """Return the slots of a target that this entry VM may use.

    Those that can't be shared evenly go to other VMs at each target.
    """
    even, rest = divmod(known.record.slots, max(1, share.entries))
    first = int.from_bytes(tie_breaker('', known.record.target)[:4])
    turn = (share.rank + first) % max(1, share.entries)
    return even + (turn < rest)
