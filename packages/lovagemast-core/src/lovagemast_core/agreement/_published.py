"""Spreads the published state to every VM and keeps the newest."""

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
    """The replicated state holds something no version could have accepted."""


class PublishedController:
    """Holds the published state that is in force at this VM."""

    def __init__(self, outbox: Outbox) -> None:
        self.state = PublishedState()
        self.index = FleetIndex(FleetConfig())
        self.confirmed_at = float('-inf')  # s, by a quorum
        self.suspects: frozenset[str] = frozenset()
        self.quarantined: frozenset[str] = frozenset()
        self._outbox = outbox

    def offer(self, state: PublishedState, now: float) -> bool:
        """Put a state in force if it is newer; return whether it was.

        Raises :exc:`InvariantError` if the document cannot be read, since
        only checked documents are ever committed.
        """
        if state.version <= self.state.version:
            return False
        former = self.state
        self.state = state
        self.suspects = frozenset(state.suspects)
        self.quarantined = frozenset(state.quarantined)
        if state.revision != former.revision:
            self._put_in_force(state, now)
        if state.roster != former.roster:
            self._outbox.record(
                now,
                EventKind.ROSTER_CHANGED,
                f'{len(state.roster)} VMs at version {state.version}',
            )
        return True

    def confirm(self, version: int, age_s: float, now: float) -> None:
        """Note that a quorum confirmed a version some seconds ago."""
        if version == self.state.version:
            self.confirmed_at = max(self.confirmed_at, now - age_s)

    def quorum_age(self, now: float) -> float:
        """Return how long ago a quorum confirmed what is in force, in s."""
        return now - self.confirmed_at

    def is_set_aside(self, entry: RosterEntry) -> bool:
        """Return whether operators let a VM take no new requests."""
        if entry.vm in self.index.cfg.draining_vms:
            return True
        return self.index.zone_is_out(entry.zone)

    def to_message(self, now: float) -> Publish:
        """Return the message that passes the state on."""
        return Publish(self.state, self.quorum_age(now))

    def push_to(
        self,
        vms: list[VmName],
        membership: Membership,
        now: float,
    ) -> None:
        """Send the state to VMs that are known to hold an older one."""
        message = self.to_message(now)
        for vm in vms:
            view = membership.views.get(vm)
            if view and view.heartbeat.version < self.state.version:
                self._outbox.send(vm, message)

    def _put_in_force(self, state: PublishedState, now: float) -> None:
        cfg, faults = parse_fleet_config(json.loads(state.document))
        if cfg is None:
            raise InvariantError(str(faults[0]))
        self.index = FleetIndex(cfg)
        self._outbox.record(
            now,
            EventKind.CONFIG_IN_FORCE,
            f'revision {state.revision}',
        )
