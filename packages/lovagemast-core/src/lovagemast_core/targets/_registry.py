"""The leader's registry of targets, maintained by their heartbeats."""

from typing import Final, NamedTuple

from .._types import TargetName
from ._heartbeat import TargetHeartbeat
from ._removals import RemovalLog

TARGET_TIMEOUT_S: Final = 4.5  # three missed heartbeats
DEPARTURE_RETENTION_S: Final = 30.0  # late heartbeats are ignored until then


class RegisteredTarget(NamedTuple):
    """The newest heartbeat of a target, its time and its change stamp."""

    heartbeat: TargetHeartbeat
    received_at: float  # s
    stamp: int  # of the last change that entry VMs need to know of


class TargetRegistry:
    """Keeps the newest heartbeat of each target.

    Heartbeats may arrive late, twice, from an earlier incarnation, or after
    another target has taken over the address. Later incarnations replace
    earlier ones with the same name or the same address.
    """

    def __init__(self) -> None:
        self.stamp = 0
        self.removals = RemovalLog()
        self._registered: dict[TargetName, RegisteredTarget] = {}
        self._departed: dict[TargetName, tuple[int, float]] = {}

    def reset(self) -> None:
        """Remove all targets, at the start of a term."""
        self._registered.clear()
        self._departed.clear()
        self.removals.reset(self.stamp)

    def get(self, target: TargetName) -> RegisteredTarget | None:
        """Return the registration of a target, if it has one."""
        return self._registered.get(target)

    def all_targets(self) -> list[RegisteredTarget]:
        """Return the registrations of all targets."""
        return list(self._registered.values())

    def names(self) -> tuple[TargetName, ...]:
        """Return the names of all targets."""
        return tuple(self._registered)

    def record_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> bool:
        """Record a heartbeat; return whether it is the newest of its target."""
        departed = self._departed.get(heartbeat.target)
        if departed and heartbeat.incarnation <= departed[0]:
            return False
        registered = self._registered.get(heartbeat.target)
        if registered and not _is_newer(heartbeat, registered.heartbeat):
            return False
        if not self._resolve_address_conflict(heartbeat):
            return False
        stamp = registered.stamp if registered else 0
        if registered is None or _is_relevant_change(
            heartbeat, registered.heartbeat
        ):
            stamp = self.next_stamp()
        self._registered[heartbeat.target] = RegisteredTarget(
            heartbeat, now, stamp
        )
        self.removals.forget(heartbeat.target)
        return True

    def remove(self, target: TargetName, now: float) -> None:
        """Remove a target that deregisters; its late heartbeats are ignored."""
        registered = self._registered.pop(target, None)
        if registered:
            self._departed[target] = (registered.heartbeat.incarnation, now)
            self.removals.record(target, self.next_stamp())

    def mark_changed(self, target: TargetName) -> None:
        """Give a target a new stamp, since data kept elsewhere has changed."""
        registered = self._registered.get(target)
        if registered:
            self._registered[target] = registered._replace(
                stamp=self.next_stamp()
            )

    def expire(self, now: float) -> list[TargetName]:
        """Remove targets without recent heartbeats and return them."""
        expired = [
            name
            for name, registered in self._registered.items()
            if now - registered.received_at > TARGET_TIMEOUT_S
        ]
        for name in expired:
            self._registered.pop(name)
            self.removals.record(name, self.next_stamp())
        self._departed = {
            name: departed
            for name, departed in self._departed.items()
            if now - departed[1] < DEPARTURE_RETENTION_S
        }
        return expired

    def next_stamp(self) -> int:
        """Advance the change stamp and return it."""
        self.stamp += 1
        return self.stamp

    def _resolve_address_conflict(self, heartbeat: TargetHeartbeat) -> bool:
        """Drop older targets at the address; return whether none is newer."""
        for name, other in list(self._registered.items()):
            if (
                name == heartbeat.target
                or other.heartbeat.address != heartbeat.address
            ):
                continue
            if other.heartbeat.incarnation > heartbeat.incarnation:
                return False
            self._registered.pop(name)
            self.removals.record(name, self.next_stamp())
        return True


def _is_newer(heartbeat: TargetHeartbeat, registered: TargetHeartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        registered.incarnation,
        registered.sequence,
    )


def _is_relevant_change(
    heartbeat: TargetHeartbeat, registered: TargetHeartbeat
) -> bool:
    """Return whether a heartbeat changes what entry VMs need to know."""
    if heartbeat.cold_s > 0 or registered.cold_s > 0:
        return True
    unchanged = registered._replace(
        sequence=heartbeat.sequence, adapters=heartbeat.adapters
    )
    return heartbeat != unchanged
