"""What the leader proposes by itself, from reports and heartbeats."""

from .._types import VmName
from ..agreement._replica import Replica
from ..targets import SyncAsk
from ._fleet import FleetController


class LeaderDuties:
    """Proposes commands on crashes, software versions and order holders."""

    def __init__(
        self, vm: VmName, replica: Replica, fleet: FleetController
    ) -> None:
        self._vm = vm
        self._replica = replica
        self._fleet = fleet

    def handle_crash_reports(self, ask: SyncAsk, now: float) -> bool:
        """Propose what follows from a relay's reports; return if anything."""
        commands = self._fleet.quarantine.on_reports(
            ask.crashes, ask.answered, ask.trials, now
        )
        for command in commands:
            self._replica.propose(command, now)
        return bool(commands)

    def maintain_quarantine(self, now: float) -> None:
        """Judge the crashes that were reported, and drop old suspicions."""
        for judgement in self._fleet.judge_crashes(now):
            self._replica.propose(judgement, now)
        command = self._fleet.quarantine.expire(now)
        if command:
            self._replica.propose(command, now)

    def store_software(self, now: float) -> None:
        """Store the software versions of targets, if they have changed."""
        for command in self._fleet.software_changes(now):
            self._replica.propose(command, now)

    def maintain_holders(self, now: float) -> None:
        """Propose which control VMs send orders, if that is to change."""
        fleet = self._fleet
        fleet.health.record_contact(self._vm, now)
        voters = self._replica.voter_vms
        change = fleet.holders.propose(voters, fleet.health, now)
        if change:
            self._replica.propose(change, now)
