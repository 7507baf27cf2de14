"""The leader's list of targets, kept by their heartbeats."""

from typing import Final, NamedTuple

from .._types import TargetName
from ._heartbeat import TargetHeartbeat

SILENT_S: Final = 4.5  # three heartbeats that did not come
FORGET_DEPARTED_S: Final = 30.0


class RegisteredTarget(NamedTuple):
    """The newest heartbeat of a target."""

    heartbeat: TargetHeartbeat
    received_at: float  # s
    stamp: int  # rises with each change of what entry VMs need to know


class TargetRegistry:
    """Takes heartbeats in any order and keeps the newest of each target.

    Heartbeats may come late, twice, from an earlier incarnation, or after
    the address has passed to another target. Later incarnations replace
    earlier ones of the same name or at the same address.
    """

    def __init__(self) -> None:
        self.stamp = 0
        self._known: dict[TargetName, RegisteredTarget] = {}
        self._departed: dict[TargetName, tuple[int, float]] = {}

    def restart(self) -> None:
        """Forget all targets, at the start of a term."""
        self._known.clear()
        self._departed.clear()

    def get(self, target: TargetName) -> RegisteredTarget | None:
        """Return what is known of a target."""
        return self._known.get(target)

    def all(self) -> list[RegisteredTarget]:
        """Return all targets that are known."""
        return list(self._known.values())

    def record_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> bool:
        """Take a heartbeat; return whether it is the newest."""
        departed = self._departed.get(heartbeat.target)
        if departed and heartbeat.incarnation <= departed[0]:
            return False
        known = self._known.get(heartbeat.target)
        if known and not _is_newer(heartbeat, known.heartbeat):
            return False
        if not self._claim_address(heartbeat):
            return False
        stamp = known.stamp if known else 0
        if known is None or _matters(heartbeat, known.heartbeat):
            stamp = self.bump()
        self._known[heartbeat.target] = RegisteredTarget(heartbeat, now, stamp)
        return True

    def depart(self, target: TargetName, now: float) -> None:
        """Take a target off the list; its late heartbeats are ignored."""
        known = self._known.pop(target, None)
        if known:
            self._departed[target] = (known.heartbeat.incarnation, now)
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
            if now - known.received_at > SILENT_S
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

    def _claim_address(self, heartbeat: TargetHeartbeat) -> bool:
        for name, other in list(self._known.items()):
            if (
                name == heartbeat.target
                or other.heartbeat.address != heartbeat.address
            ):
                continue
            if other.heartbeat.incarnation > heartbeat.incarnation:
                return False
            self._known.pop(name)
            self.bump()
        return True


def _is_newer(heartbeat: TargetHeartbeat, known: TargetHeartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _matters(heartbeat: TargetHeartbeat, known: TargetHeartbeat) -> bool:
    """Return whether entry VMs have to hear of a heartbeat."""
    if heartbeat.cold_s > 0 or known.cold_s > 0:
        return True
    same = known._replace(
        sequence=heartbeat.sequence, adapters=heartbeat.adapters
    )
    return heartbeat != same
