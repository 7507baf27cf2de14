"""The leader's registry of targets, maintained by their heartbeats."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from .._state import Departure
from .._types import TargetName
from ._heartbeat import TargetHeartbeat
from ._removals import RemovalLog

TARGET_TIMEOUT_S: Final = 4.5  # three missed heartbeats
# For this long after a departure, heartbeats of that incarnation count as late.
# Those that come later show that another incarnation's departure was late.
DEPARTURE_RETENTION_S: Final = 30.0
# A target that can't reach this VM may depart long after its registration.
EXPIRED_RETENTION_S: Final = 300.0


class _Incarnation(NamedTuple):
    incarnation: int
    learned_at: float  # s


class RegisteredTarget(NamedTuple):
    """The newest heartbeat of a target, its time and its change stamp."""

    heartbeat: TargetHeartbeat
    received_at: float  # s
    stamp: int  # of the last change that entry VMs need to know of

    @property
    def ends_at(self) -> float | None:
        """Return when a target with a termination notice stops, in s."""
        remaining_s = self.heartbeat.remaining_s
        if remaining_s is None or not self.heartbeat.leaving:
            return None
        return self.received_at + remaining_s


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
        self._expired: dict[TargetName, _Incarnation] = {}
        self._departed: dict[TargetName, _Incarnation] = {}
        self._leaving: dict[TargetName, _Incarnation] = {}

    def reset(self) -> None:
        """Remove all targets, at the start of a term.

        Entry VMs may still use targets whose departure the former leader
        acknowledged, so these count as removed.
        """
        self._registered.clear()
        self._departed.clear()
        self.removals.reset(self.stamp)
        for target in self._leaving:
            self.removals.record(target, self.next_stamp())

    def set_departures(
        self, departures: Iterable[Departure], now: float
    ) -> None:
        """Set the incarnations whose departure was committed."""
        former = self._leaving
        self._leaving = {}
        for target, incarnation in departures:
            known = former.get(target)
            if known is None or known.incarnation != incarnation:
                known = _Incarnation(incarnation, now)
            self._leaving[target] = known

    def get(self, target: TargetName) -> RegisteredTarget | None:
        """Return the registration of a target, if it has one."""
        return self._registered.get(target)

    def all_targets(self) -> list[RegisteredTarget]:
        """Return the registrations of all targets."""
        return list(self._registered.values())

    def changed_since(self, stamp: int) -> list[RegisteredTarget]:
        """Return the registrations that are newer than a stamp."""
        if stamp >= self.stamp:
            return []
        return [one for one in self._registered.values() if one.stamp > stamp]

    def names(self) -> tuple[TargetName, ...]:
        """Return the names of all targets."""
        return tuple(self._registered)

    def record_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> bool:
        """Record a heartbeat; return whether it is the newest of its target."""
        heartbeat = self._with_departure(heartbeat, now)
        departed = self._departed.get(heartbeat.target)
        if departed and heartbeat.incarnation <= departed.incarnation:
            return False
        registered = self._registered.get(heartbeat.target)
        if registered and not _is_newer(heartbeat, registered.heartbeat):
            return False
        if not self._resolve_address_conflict(heartbeat, now):
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

    def remove(self, target: TargetName, wall_ms: int, now: float) -> int:
        """Remove a target that deregisters; its late heartbeats are ignored.

        Return its incarnation. If no heartbeat of it has come, as after an
        election, that is ``wall_ms``, the present time in ms since the epoch:
        it has started before. Entry VMs may know it all the same.
        """
        registered = self._registered.pop(target, None)
        self.removals.record(target, self.next_stamp())
        if registered:
            incarnation = registered.heartbeat.incarnation
        elif target in self._expired:
            incarnation = self._expired[target].incarnation
        else:
            incarnation = wall_ms
        self._departed[target] = _Incarnation(incarnation, now)
        return incarnation

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
            self._drop(name, now)
        self._departed = _without_old(
            self._departed, now - DEPARTURE_RETENTION_S
        )
        self._expired = _without_old(self._expired, now - EXPIRED_RETENTION_S)
        return expired

    def next_stamp(self) -> int:
        """Advance the change stamp and return it."""
        self.stamp += 1
        return self.stamp

    def has_departure(self, heartbeat: TargetHeartbeat) -> bool:
        """Return whether the departure of an incarnation was committed."""
        known = self._leaving.get(heartbeat.target)
        return known is not None and heartbeat.incarnation <= known.incarnation

    def _with_departure(
        self, heartbeat: TargetHeartbeat, now: float
    ) -> TargetHeartbeat:
        """Return a heartbeat, leaving if its incarnation said so before."""
        if not self.has_departure(heartbeat):
            return heartbeat
        learned_at = self._leaving[heartbeat.target].learned_at
        is_late = now - learned_at < DEPARTURE_RETENTION_S
        return heartbeat._replace(leaving=heartbeat.leaving or is_late)

    def _drop(self, target: TargetName, now: float) -> None:
        """Remove a target that may still say that it departs."""
        registered = self._registered.pop(target)
        self._expired[target] = _Incarnation(
            registered.heartbeat.incarnation, now
        )
        self.removals.record(target, self.next_stamp())

    def _resolve_address_conflict(
        self, heartbeat: TargetHeartbeat, now: float
    ) -> bool:
        """Drop older targets at the address; return whether none is newer."""
        for name, other in list(self._registered.items()):
            if (
                name == heartbeat.target
                or other.heartbeat.address != heartbeat.address
            ):
                continue
            if other.heartbeat.incarnation > heartbeat.incarnation:
                return False
            self._drop(name, now)
        return True


def _without_old(
    known: dict[TargetName, _Incarnation], since: float
) -> dict[TargetName, _Incarnation]:
    """Return what was learned after a time."""
    return {name: one for name, one in known.items() if one.learned_at > since}


def _is_newer(heartbeat: TargetHeartbeat, registered: TargetHeartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        registered.incarnation,
        registered.sequence,
    )


def _is_relevant_change(
    heartbeat: TargetHeartbeat, registered: TargetHeartbeat
) -> bool:
    """Return whether a heartbeat changes what entry VMs need to know.

    The remaining time of a target that leaves differs in each heartbeat.
    """
    if heartbeat.cold_s > 0 or registered.cold_s > 0:
        return True
    unchanged = registered._replace(
        sequence=heartbeat.sequence,
        adapters=heartbeat.adapters,
        remaining_s=heartbeat.remaining_s,
    )
    return heartbeat != unchanged
