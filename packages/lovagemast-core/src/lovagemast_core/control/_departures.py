"""Departures of targets, which a new leader must know of."""

from collections.abc import Callable

from .._commands import RecordDeparture
from .._types import TargetName
from ..agreement._replica import Replica
from ..targets import TargetHeartbeat
from ._effects import ControlEffect, PushUpdates
from ._fleet import FleetController


class DepartureRecorder:
    """Passes targets' calls to fleet control; names what to commit first."""

    def __init__(
        self,
        replica: Replica,
        fleet: FleetController,
        emit: Callable[[ControlEffect], None],
    ) -> None:
        self._replica = replica
        self._fleet = fleet
        self._emit = emit

    def on_heartbeat(
        self, heartbeat: TargetHeartbeat, now: float
    ) -> RecordDeparture | None:
        """Handle a heartbeat; return the command to commit, if any."""
        registry = self._fleet.registry
        stamp = registry.stamp
        self._fleet.on_heartbeat(heartbeat, now)
        if registry.stamp != stamp:
            self._emit(PushUpdates())
        if not heartbeat.leaving or registry.has_departure(heartbeat):
            return None
        return self._if_readable(
            RecordDeparture(heartbeat.target, heartbeat.incarnation), now
        )

    def on_departure(
        self, target: TargetName, wall_ms: int, now: float
    ) -> RecordDeparture | None:
        """Handle a deregistration; return the command to commit, if any."""
        incarnation = self._fleet.on_departure(target, wall_ms, now)
        self._emit(PushUpdates())
        return self._if_readable(RecordDeparture(target, incarnation), now)

    def _if_readable(
        self, command: RecordDeparture, now: float
    ) -> RecordDeparture | None:
        """Return a command, ``None`` if an older build can't read it.

        The departure then counts at this VM only, as it does there.
        """
        return command if self._replica.may_append(command, now) else None
