"""The leader's list of targets, kept by their heartbeats."""

from typing import Final, NamedTuple

from .._types import TargetName
from ._heartbeat import TargetHeartbeat

SILENT_S: Final = 4.5  # three heartbeats that did not come
FORGET_DEPARTED_S: Final = 30.0


class Registered(NamedTuple):
    """The newest heartbeat of a target."""

    beat: TargetHeartbeat
    heard_at: float  # s
    stamp: int  # rises with each change of what entry VMs need to know


class TargetRegistry:
    """Takes heartbeats in any order and keeps the newest of each target.

    Heartbeats may come late, twice, from an earlier incarnation, or after
    the address has passed to another target. Later incarnations replace
    earlier ones of the same name or at the same address.
    """

    def __init__(self) -> None:
        self.stamp = 0
        self._known: dict[TargetName, Registered] = {}
        self._departed: dict[TargetName, tuple[int, float]] = {}

    def restart(self) -> None:
        """Forget all targets, at the start of a term."""
        self._known.clear()
        self._departed.clear()

    def get(self, target: TargetName) -> Registered | None:
        """Return what is known of a target."""
        return self._known.get(target)

    def all(self) -> list[Registered]:
        """Return all targets that are known."""
        return list(self._known.values())

    def beat(self, beat: TargetHeartbeat, now: float) -> bool:
        """Take a heartbeat; return whether it is the newest."""
        departed = self._departed.get(beat.target)
        if departed and beat.incarnation <= departed[0]:
            return False
        known = self._known.get(beat.target)
        if known and not _is_newer(beat, known.beat):
            return False
        if not self._claim_address(beat):
            return False
        stamp = known.stamp if known else 0
        if known is None or _matters(beat, known.beat):
            stamp = self.bump()
        self._known[beat.target] = Registered(beat, now, stamp)
        return True

    def depart(self, target: TargetName, now: float) -> None:
        """Take a target off the list; its late heartbeats are ignored."""
        known = self._known.pop(target, None)
        if known:
            self._departed[target] = (known.beat.incarnation, now)
            self.bump()

    def touch(self, target: TargetName) -> None:
        """Note that something else changed about a target."""
        known = self._known.get(target)
        if known:
            self._known[target] = known._replace(stamp=self.bump())

    def expire(self, now: float) -> list[TargetName]:
        """Drop targets that have fallen silent and return them."""
        silent = [
            name
            for name, known in self._known.items()
            if now - known.heard_at > SILENT_S
        ]
        for name in silent:
            self._known.pop(name)
            self.bump()
        self._departed = {
            name: departed
            for name, departed in self._departed.items()
            if now - departed[1] < FORGET_DEPARTED_S
        }
        return silent

    def bump(self) -> int:
        """Return a new stamp."""
        self.stamp += 1
        return self.stamp

    def _claim_address(self, beat: TargetHeartbeat) -> bool:
        for name, other in list(self._known.items()):
            if name == beat.target or other.beat.address != beat.address:
                continue
            if other.beat.incarnation > beat.incarnation:
                return False
            self._known.pop(name)
            self.bump()
        return True


def _is_newer(beat: TargetHeartbeat, known: TargetHeartbeat) -> bool:
    return (beat.incarnation, beat.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _matters(beat: TargetHeartbeat, known: TargetHeartbeat) -> bool:
    """Return whether entry VMs have to hear of a heartbeat."""
    if beat.cold_s > 0 or known.cold_s > 0:
        return True
    same = known._replace(sequence=beat.sequence, adapters=beat.adapters)
    return beat != same
