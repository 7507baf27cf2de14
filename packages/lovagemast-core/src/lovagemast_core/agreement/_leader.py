"""The leader's duties beside log replication: roster and rate shares."""

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

ROSTER_CHECK_INTERVAL_S: Final = 0.25  # between checks for a roster change
ROSTER_PROPOSAL_TIMEOUT_S: Final = 2.0


class LeaderController:
    """Proposes roster changes and leases rate shares while this VM leads."""

    def __init__(
        self,
        outbox: Outbox,
        replica: Replica,
        proposals: ProposalController,
        membership: Membership,
        is_out_of_service: Callable[[RosterEntry], bool],
        now: float,
    ) -> None:
        self._is_out_of_service = is_out_of_service
        self._outbox = outbox
        self._replica = replica
        self._proposals = proposals
        self._membership = membership
        self._allocator = ShareAllocator(outbox)
        self._pending_entries: dict[VmName, RosterEntry] = {}
        self._started_term = 0
        self._proposing = False
        outbox.call_at(now, self._step)

    def on_hello(self, entry: RosterEntry) -> None:
        """Record a VM's request to join the roster for the next proposal."""
        self._pending_entries[entry.vm] = entry

    def on_share_ask(self, vm: VmName, ask: ShareAsk, now: float) -> None:
        """Renew a VM's lease on its share of the accounts' rates."""
        if self._replica.is_leader():
            self._start_term(now)
            self._allocator.on_ask(vm, ask, now)

    def ensure_term_started(self, now: float) -> None:
        """Prepare for a new term if this VM leads and has not done so yet."""
        if self._replica.is_leader():
            self._start_term(now)

    def _start_term(self, now: float) -> None:
        if self._started_term != self._replica.term:
            self._started_term = self._replica.term
            self._proposals.clear_appended()
            self._allocator.start(now)

    def _step(self, now: float) -> None:
        if self._replica.is_leader() and not self._proposing:
            self._propose_roster(now)
        self._outbox.call_at(now + ROSTER_CHECK_INTERVAL_S, self._step)

    def _propose_roster(self, now: float) -> None:
        published = self._replica.published
        wanted = self._merge_pending_entries(published.roster)
        if wanted == published.roster:
            wanted = next_roster(
                published.roster,
                self._is_out_of_service,
                is_acknowledged=self._is_acknowledged(
                    published.roster, published.version
                ),
            )
        if wanted == published.roster:
            return
        self._proposing = True
        self._proposals.propose(
            SetRoster(published.version, wanted),
            self._on_proposed,
            timeout_s=ROSTER_PROPOSAL_TIMEOUT_S,
            now=now,
        )

    def _on_proposed(self, outcome: Outcome, now: float) -> None:
        self._proposing = False

    def _merge_pending_entries(self, roster: Roster) -> Roster:
        for entry in self._pending_entries.values():
            roster = with_entry(roster, entry)
        self._pending_entries.clear()
        return roster

    def _is_acknowledged(self, roster: Roster, version: int) -> bool:
        for entry in roster:
            view = self._membership.views.get(entry.vm)
            if entry.vm == self._outbox.vm:
                continue
            if view is None or view.heartbeat.version < version:
                return False
        return True
