"""What is committed, taken over by fleet control and reported to the host."""

from collections.abc import Callable

from .._state import Departure
from ..agreement._replica import Replica
from ._effects import (
    ControlEffect,
    FormatsNoticed,
    HoldersNoticed,
    PushUpdates,
    QuarantineChanged,
)
from ._fleet import FleetController


class CommittedChanges:
    """Compares the replicated state with that of the step before."""

    def __init__(
        self,
        replica: Replica,
        fleet: FleetController,
        emit: Callable[[ControlEffect], None],
    ) -> None:
        self._replica = replica
        self._fleet = fleet
        self._emit = emit
        self._last_formats: dict[str, int] = {}
        self._last_departures: tuple[Departure, ...] = ()

    def check_departures(self, now: float) -> None:
        """Take over the departures that are committed."""
        committed = self._replica.departures
        if committed is not self._last_departures:
            self._last_departures = committed
            self._fleet.registry.set_departures(committed, now)

    def check_quarantine(self, now: float) -> None:
        """Take over and report the quarantine that is committed."""
        committed = self._replica.quarantine
        known = self._fleet.quarantine.state
        if committed.version <= known.version:
            return
        self._fleet.quarantine.update(committed, now)
        self._emit(QuarantineChanged(known, committed))
        if self._replica.has_committed_in_term():
            self._emit(PushUpdates())

    def check_formats(self) -> None:
        """Report the formats that control VMs have named."""
        formats = self._replica.status().formats
        if formats != self._last_formats:
            self._last_formats = formats
            self._emit(FormatsNoticed(formats))

    def check_holders(self, now: float) -> None:
        """Take over and report the holders that are committed."""
        committed = self._replica.holders
        if committed == self._fleet.holders.state:
            return
        self._fleet.holders.apply_state(committed, now)
        former = len(committed.former)
        change = HoldersNoticed(committed.epoch, committed.vms, former)
        self._emit(change)
