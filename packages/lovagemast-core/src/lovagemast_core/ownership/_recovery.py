"""Recovers the running calls of a target after a change of owner."""

from collections.abc import Callable, Iterable
from typing import Final

from .._messages import Ending, RunningAsk, RunningReply
from .._outbox import Outbox
from .._types import AttemptId, VmName
from ..agreement._membership import Membership
from ._ownedtarget import MAX_CALL_DURATION_S, OwnedTarget

RECONCILE_INTERVAL_S: Final = 2.0
RECOVERY_TIMEOUT_S: Final = 0.6  # for live VMs to report their calls

GrantCallback = Callable[[OwnedTarget, float], None]


def boot_of_attempt(attempt: AttemptId) -> str:
    """Return the boot identifier that is part of an attempt's name.

    It identifies the run of the VM process that made the attempt.
    """
    return attempt.split('/', 2)[1]


class RecoveryController:
    """Asks VMs for their running calls when a target is acquired.

    Calls that have run for a while are checked at intervals as well, which
    finds tickets whose return message was lost.
    """

    def __init__(
        self,
        outbox: Outbox,
        membership: Membership,
        grant_ready: GrantCallback,
    ) -> None:
        self._outbox = outbox
        self._membership = membership
        self._grant_ready = grant_ready

    def start(
        self,
        owned: OwnedTarget,
        vms: Iterable[VmName],
        extra_wait_s: float,
        now: float,
    ) -> None:
        """Ask all VMs; admission starts when the live ones have replied.

        It starts after a timeout in any case, extended by ``extra_wait_s``.
        """
        owned.unreported_vms = set(vms)
        self._ask(owned, owned.unreported_vms, now)
        self._outbox.call_at(
            now + RECOVERY_TIMEOUT_S + extra_wait_s,
            lambda when: self._finish(owned, when),
        )

    def on_reply(
        self,
        owned: OwnedTarget,
        vm: VmName,
        reply: RunningReply,
        now: float,
    ) -> None:
        """Add or remove running calls according to a VM's report."""
        owned.unreported_vms.discard(vm)
        listed = {ticket.attempt: ticket for ticket in reply.tickets}
        for tracked in list(owned.running.values()):
            attempt = tracked.ticket.attempt
            granted_at = tracked.granted_at or now
            older = tracked.vm == vm and granted_at < reply.asked_at
            if older and attempt not in listed:
                owned.remove(attempt, Ending.CANCELLED, 0, now)
        for ticket in listed.values():
            owned.add_running(vm, ticket, now)
        waits = any(
            self._membership.is_alive(other, now)
            for other in owned.unreported_vms
        )
        if not waits and not owned.may_have_unfenced_orders:
            owned.recovered = True
        self._grant_ready(owned, now)

    def reconcile(self, owned: OwnedTarget, now: float) -> None:
        """Ask again about long calls and VMs that have not reported."""
        vms = set(owned.unreported_vms)
        for tracked in list(owned.running.values()):
            age_s = now - (tracked.granted_at or now)
            if age_s > MAX_CALL_DURATION_S:
                attempt = tracked.ticket.attempt
                owned.remove(attempt, Ending.CANCELLED, 0, now)
            elif age_s > RECONCILE_INTERVAL_S:
                vms.add(tracked.vm)
        self._ask(owned, vms, now)
        self._grant_ready(owned, now)

    def on_vm_restarted(
        self,
        owned: OwnedTarget,
        vm: VmName,
        boot: str,
        now: float,
    ) -> None:
        """Remove the tickets of a VM's previous run, which have ended."""
        for tracked in list(owned.tickets.values()):
            attempt = tracked.ticket.attempt
            if tracked.vm == vm and boot_of_attempt(attempt) != boot:
                owned.remove(attempt, Ending.CANCELLED, 0, now)
        self._grant_ready(owned, now)

    def _finish(self, owned: OwnedTarget, now: float) -> None:
        owned.recovered = True
        self._grant_ready(owned, now)

    def _ask(
        self,
        owned: OwnedTarget,
        vms: Iterable[VmName],
        now: float,
    ) -> None:
        ask = RunningAsk(owned.facts.target, owned.fence, now)
        for vm in sorted(vms):
            self._outbox.send(vm, ask)
