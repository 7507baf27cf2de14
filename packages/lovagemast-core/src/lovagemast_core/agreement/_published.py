"""Holds the newest published state and sends it to other VMs."""

import json

from .._messages import Publish
from .._outbox import Outbox
from .._state import PublishedState
from .._timeline import EventKind
from .._types import VmName
from ..fleet._fleet import FleetConfig, FleetIndex, parse_fleet_config
from ._membership import Membership
from ._roster import RosterEntry


class InvariantError(Exception):
    """The replicated state holds a document that validation must reject."""


class PublishedController:
    """Holds the published state that is in effect at this VM."""

    def __init__(self, outbox: Outbox) -> None:
        self.state = PublishedState()
        self.index = FleetIndex(FleetConfig())
        self.confirmed_at = float('-inf')  # s, when a quorum last confirmed it
        self.suspects: frozenset[str] = frozenset()
        self.quarantined: frozenset[str] = frozenset()
        self._outbox = outbox

    def adopt_if_newer(self, state: PublishedState, now: float) -> bool:
        """Replace the state by a newer one; return whether it was newer.

        Raises :exc:`InvariantError` if the document is invalid, since
        documents are validated before they are committed.
        """
        if state.version <= self.state.version:
            return False
        previous = self.state
        self.state = state
        self.suspects = frozenset(state.suspects)
        self.quarantined = frozenset(state.quarantined)
        if state.revision != previous.revision:
            self._activate_config(state, now)
        if state.roster != previous.roster:
            self._outbox.record(
                now,
                EventKind.ROSTER_CHANGED,
                f'{len(state.roster)} VMs at version {state.version}',
            )
        return True

    def record_confirmation(
        self, version: int, age_s: float, now: float
    ) -> None:
        """Record that a quorum confirmed a version ``age_s`` seconds ago."""
        if version == self.state.version:
            self.confirmed_at = max(self.confirmed_at, now - age_s)

    def quorum_age(self, now: float) -> float:
        """Return the time since a quorum confirmed the current state, in s."""
        return now - self.confirmed_at

    def is_out_of_service(self, entry: RosterEntry) -> bool:
        """Return whether a VM drains or its zone is out of service."""
        if entry.vm in self.index.cfg.draining_vms:
            return True
        return self.index.zone_is_out(entry.zone)

    def to_message(self, now: float) -> Publish:
        """Return a message with the current state."""
        return Publish(self.state, self.quorum_age(now))

    def send_to_outdated(
        self,
        vms: list[VmName],
        membership: Membership,
        now: float,
    ) -> None:
        """Send the state to those VMs whose heartbeat shows an older one."""
        message = self.to_message(now)
        for vm in vms:
            view = membership.views.get(vm)
            if view and view.heartbeat.version < self.state.version:
                self._outbox.send(vm, message)

    def _activate_config(self, state: PublishedState, now: float) -> None:
        cfg, faults = parse_fleet_config(json.loads(state.document))
        if cfg is None:
            raise InvariantError(str(faults[0]))
        self.index = FleetIndex(cfg)
        self._outbox.record(
            now,
            EventKind.CONFIG_IN_FORCE,
            f'revision {state.revision}',
        )
