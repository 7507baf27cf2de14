"""What the leader does besides replicating: the roster and the shares."""

from collections.abc import Callable
from typing import Final

from .._commands import Outcome, SetRoster
from .._messages import ShareAsk
from .._outbox import Outbox
from .._types import VmName
from ..rates._shares import ShareAllocator
from ._membership import Membership
from ._proposals import ProposalController
from ._replica import Replica
from ._roster import Roster, RosterEntry, next_roster, with_entry

STEP_S: Final = 0.25
ROSTER_TIMEOUT_S: Final = 2.0


class LeaderController:
    """Admits VMs to the roster and splits rates while this VM leads."""

    def __init__(
        self,
        outbox: Outbox,
        replica: Replica,
        proposals: ProposalController,
        membership: Membership,
        is_set_aside: Callable[[RosterEntry], bool],
        now: float,
    ) -> None:
        self._is_set_aside = is_set_aside
        self._outbox = outbox
        self._replica = replica
        self._proposals = proposals
        self._membership = membership
        self._allocator = ShareAllocator(outbox)
        self._hellos: dict[VmName, RosterEntry] = {}
        self._led_term = 0
        self._proposing = False
        outbox.call_at(now, self._step)

    def on_hello(self, entry: RosterEntry) -> None:
        """Remember a VM that asks to be put on the roster."""
        self._hellos[entry.vm] = entry

    def on_share_ask(self, vm: VmName, ask: ShareAsk, now: float) -> None:
        """Renew a VM's lease on its part of the rates."""
        if self._replica.is_leader():
            self._notice_term(now)
            self._allocator.on_ask(vm, ask, now)

    def notice_leadership(self, now: float) -> None:
        """Start the duties of a leader as soon as this VM leads."""
        if self._replica.is_leader():
            self._notice_term(now)

    def _notice_term(self, now: float) -> None:
        if self._led_term != self._replica.term:
            self._led_term = self._replica.term
            self._proposals.forget_log()
            self._allocator.start(now)

    def _step(self, now: float) -> None:
        if self._replica.is_leader() and not self._proposing:
            self._propose_roster(now)
        self._outbox.call_at(now + STEP_S, self._step)

    def _propose_roster(self, now: float) -> None:
        published = self._replica.published
        wanted = self._wanted(published.roster)
        if wanted == published.roster:
            wanted = next_roster(
                published.roster,
                self._is_set_aside,
                in_force=self._in_force(published.roster, published.version),
            )
        if wanted == published.roster:
            return
        self._proposing = True
        self._proposals.propose(
            SetRoster(published.version, wanted),
            self._on_proposed,
            timeout_s=ROSTER_TIMEOUT_S,
            now=now,
        )

    def _on_proposed(self, outcome: Outcome, now: float) -> None:
        self._proposing = False

    def _wanted(self, roster: Roster) -> Roster:
        for entry in self._hellos.values():
            roster = with_entry(roster, entry)
        self._hellos.clear()
        return roster

    def _in_force(self, roster: Roster, version: int) -> bool:
        for entry in roster:
            view = self._membership.views.get(entry.vm)
            if entry.vm == self._outbox.vm:
                continue
            if view is None or view.heartbeat.version < version:
                return False
        return True
