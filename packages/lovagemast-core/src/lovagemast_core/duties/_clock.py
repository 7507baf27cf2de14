"""True time on monotonic clocks.

Wall clocks of VMs may be wrong and may jump; the windows of usage must not
follow them. Each control VM reports its steady clock, and the leader takes
the median. Relays and entry VMs learn that time from replies of the sync.
"""

from collections import deque
from statistics import median_low
from typing import Final, NamedTuple

from .._types import VmName

JUMP_S: Final = 0.1  # a larger change of a wall clock is a jump
# A wall clock that goes on after a jump for so long is right after all, as
# after the first correction of a VM that started with a wrong time.
JUMP_SETTLE_S: Final = 600.0
SAMPLE_TTL_S: Final = 5.0
# By which an offset between two clocks becomes worse, in s per s: more than
# clocks drift, so that a leader's better time is taken over within seconds.
DRIFT: Final = 0.001


class SteadyClock:
    """A VM's wall clock without its jumps, in s since the epoch."""

    def __init__(self, wall_s: float, now: float) -> None:
        self._offset = wall_s - now
        self._other = self._offset
        self._other_since = now

    def read(self, wall_s: float, now: float) -> float:
        """Return the time; ``wall_s`` is what the wall clock shows now."""
        offset = wall_s - now
        if abs(offset - self._offset) <= JUMP_S:
            self._offset = offset  # follows slow corrections
            self._other_since = now
        elif abs(offset - self._other) > JUMP_S:
            self._other = offset
            self._other_since = now
        elif now - self._other_since > JUMP_SETTLE_S:
            self._offset = offset
        return now + self._offset


class _Sample(NamedTuple):
    offset: float  # s, of true time to the leader's clock
    at: float  # s


class FleetClock:
    """The leader's estimate of true time, from the clocks of control VMs."""

    def __init__(self) -> None:
        self._samples: dict[VmName, deque[_Sample]] = {}

    def reset(self) -> None:
        """Forget the samples of an earlier term."""
        self._samples.clear()

    def record(self, vm: VmName, utc_s: float, now: float) -> None:
        """Record the clock that a control VM has reported."""
        samples = self._samples.setdefault(vm, deque())
        samples.append(_Sample(utc_s - now, now))
        while now - samples[0].at > SAMPLE_TTL_S:
            samples.popleft()

    def utc(self, voters: int, now: float) -> float | None:
        """Return the time, ``None`` without the clocks of most voters."""
        offsets = [
            max(samples).offset  # the one that was on its way least
            for samples in self._samples.values()
            if now - samples[-1].at <= SAMPLE_TTL_S
        ]
        if len(offsets) <= voters // 2:
            return None
        return now + median_low(offsets)


class FollowedClock:
    """The fleet's time at a relay or an entry VM.

    A reply whose request took longer says less of the time at its arrival.
    """

    def __init__(self) -> None:
        self._offset: float | None = None
        self._took_s = 0.0
        self._synced_at = 0.0

    def on_reply(self, utc_s: float, asked_at: float, now: float) -> None:
        """Learn from a reply's time, 0 if it has none."""
        took_s = now - asked_at
        tolerated_s = self._took_s + DRIFT * (now - self._synced_at)
        is_better = self._offset is None or took_s <= tolerated_s
        if utc_s and is_better:
            self._offset = utc_s + took_s / 2 - now
            self._took_s = took_s
            self._synced_at = now

    def utc(self, now: float) -> float | None:
        """Return the time, ``None`` if it is not known yet."""
        return None if self._offset is None else now + self._offset
