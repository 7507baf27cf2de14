"""Finds out which calls run at a target that has a new owner."""

from collections.abc import Callable, Iterable
from typing import Final

from .._messages import Ending, RunningAsk, RunningReply
from .._outbox import Outbox
from .._types import AttemptId, VmName
from ..agreement._membership import Membership
from ._ownedtarget import MAX_CALL_S, OwnedTarget

RECONCILE_S: Final = 2.0
RECOVERY_S: Final = 0.6  # wait for VMs that are alive to say what they run

Pump = Callable[[OwnedTarget, float], None]


def boot_of_attempt(attempt: AttemptId) -> str:
    """Return the start of the VM during which an attempt was made."""
    return attempt.split('/', 2)[1]


class RecoveryController:
    """Asks VMs for their running calls, at a takeover and ever after.

    Later rounds find tickets whose return was lost.
    """

    def __init__(
        self,
        outbox: Outbox,
        membership: Membership,
        pump: Pump,
    ) -> None:
        self._outbox = outbox
        self._membership = membership
        self._pump = pump

    def start(
        self,
        owned: OwnedTarget,
        vms: Iterable[VmName],
        extra_wait_s: float,
        now: float,
    ) -> None:
        """Ask all VMs; admit once those that live have answered."""
        owned.unanswered = set(vms)
        self._ask(owned, owned.unanswered, now)
        self._outbox.call_at(
            now + RECOVERY_S + extra_wait_s,
            lambda when: self._admit(owned, when),
        )

    def on_reply(
        self,
        owned: OwnedTarget,
        vm: VmName,
        reply: RunningReply,
        now: float,
    ) -> None:
        """Take over or drop calls, as a VM says what it has running."""
        owned.unanswered.discard(vm)
        listed = {ticket.attempt: ticket for ticket in reply.tickets}
        for held in list(owned.running.values()):
            attempt = held.ticket.attempt
            granted_at = held.granted_at or now
            older = held.vm == vm and granted_at < reply.asked_at
            if older and attempt not in listed:
                owned.remove(attempt, Ending.CANCELLED, 0, now)
        for ticket in listed.values():
            owned.adopt(vm, ticket, now)
        waits = any(
            self._membership.is_alive(other, now) for other in owned.unanswered
        )
        if not waits and not owned.order_may_linger:
            owned.recovered = True
        self._pump(owned, now)

    def reconcile(self, owned: OwnedTarget, now: float) -> None:
        """Ask about calls that have run for a while."""
        vms = set(owned.unanswered)
        for held in list(owned.running.values()):
            age_s = now - (held.granted_at or now)
            if age_s > MAX_CALL_S:
                attempt = held.ticket.attempt
                owned.remove(attempt, Ending.CANCELLED, 0, now)
            elif age_s > RECONCILE_S:
                vms.add(held.vm)
        self._ask(owned, vms, now)
        self._pump(owned, now)

    def vm_restarted(
        self,
        owned: OwnedTarget,
        vm: VmName,
        boot: str,
        now: float,
    ) -> None:
        """Drop the tickets of a VM's former run, whose calls have ended."""
        for held in list(owned.tickets.values()):
            attempt = held.ticket.attempt
            if held.vm == vm and boot_of_attempt(attempt) != boot:
                owned.remove(attempt, Ending.CANCELLED, 0, now)
        self._pump(owned, now)

    def _admit(self, owned: OwnedTarget, now: float) -> None:
        owned.recovered = True
        self._pump(owned, now)

    def _ask(
        self,
        owned: OwnedTarget,
        vms: Iterable[VmName],
        now: float,
    ) -> None:
        ask = RunningAsk(owned.facts.target, owned.fence, now)
        for vm in sorted(vms):
            self._outbox.send(vm, ask)
