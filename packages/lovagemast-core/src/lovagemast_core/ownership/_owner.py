"""The owner's side of targets: who may run a call there, and when."""

from collections.abc import Callable, Iterable
from typing import Final

from .._events import OrderAnswered, ProbeFailure, TargetProbed
from .._messages import (
    Ending,
    RunningReply,
    Summaries,
    TargetFacts,
    TargetSummary,
    TicketAsk,
    TicketGrant,
    TicketRefuse,
    TicketReturn,
)
from .._outbox import Outbox
from .._policy import EvictionOrder
from .._timeline import EventKind
from .._types import Reason, TargetName, VmName, ZoneName
from ..agreement._membership import Membership
from ..fleet._fleet import Pool, PoolKind
from ..placement._summaries import SummaryDiffer
from ._crashdetector import CrashDetector
from ._leases import Lease
from ._orders import ORDER_TIMEOUT_S, OrderController
from ._ownedtarget import MAX_CALL_S, OwnedTarget
from ._recovery import RECONCILE_S, RecoveryController
from ._turnqueue import HeldTicket

PROBE_S: Final = 1.0
DEAD_VM_S: Final = 10.0
TICKET_VALID_S: Final = MAX_CALL_S - 5.0


class OwnerController:
    """Grants tickets for the targets that this VM owns."""

    def __init__(
        self,
        outbox: Outbox,
        membership: Membership,
        crashes: CrashDetector,
        zone_is_out: Callable[[ZoneName], bool],
        eviction_order: EvictionOrder,
        boot: str,
    ) -> None:
        self.targets: dict[TargetName, OwnedTarget] = {}
        self.orders = OrderController(outbox, self.targets.get, boot)
        self._outbox = outbox
        self._membership = membership
        self._crashes = crashes
        self._recovery = RecoveryController(outbox, membership, self._pump)
        self._zone_is_out = zone_is_out
        self._eviction_order = eviction_order
        self._differ = SummaryDiffer()

    # Ownership

    def gain(
        self,
        lease: Lease,
        facts: TargetFacts,
        pool: Pool,
        vms: Iterable[VmName],
        last: TargetSummary | None,
        now: float,
    ) -> None:
        """Take a target over and find out what runs there."""
        owned = OwnedTarget(
            facts,
            lease.fence,
            engine=pool.kind is PoolKind.ENGINE,
            eviction_order=self._eviction_order,
            now=now,
        )
        if last:
            owned.incarnation = last.incarnation
            owned.limit.start_from(last.limit)
        owned.lease_until = lease.until
        owned.order_may_linger = owned.engine and not pool.fencing
        self.targets[facts.target] = owned
        extra_wait_s = ORDER_TIMEOUT_S if owned.order_may_linger else 0
        self._recovery.start(owned, vms, extra_wait_s, now)
        self._repeat(owned, PROBE_S, self._crashes.probe, now)
        self._repeat(owned, RECONCILE_S, self._recovery.reconcile, now)

    def lose(self, target: TargetName, now: float) -> None:
        """Stop deciding about a target; waiting tickets go elsewhere."""
        owned = self.targets.pop(target, None)
        if owned is None:
            return
        self._turn_away(owned)
        self._differ.forget(target)
        self._crashes.forget_target(target)
        self.orders.forget_target(target, now)

    def extend(self, lease: Lease) -> None:
        """Note that a lease now runs longer."""
        owned = self.targets.get(lease.target)
        if owned:
            owned.lease_until = lease.until

    def update_facts(self, facts: TargetFacts) -> None:
        """Take a newer announcement of an owned target."""
        owned = self.targets.get(facts.target)
        if owned is None:
            return
        owned.facts = facts
        owned.limit.maximum = max(1, facts.max_in_flight)
        owned.cache.capacity = max(1, facts.adapter_slots)
        if facts.leaving:
            self._turn_away(owned)

    def config_changed(self) -> None:
        """Turn requests away whose zone has been taken out."""
        for owned in self.targets.values():
            if self._is_closed(owned):
                self._turn_away(owned)

    def summaries(self, now: float) -> Summaries:
        """Return what is new about the owned targets."""
        present = [
            owned.summary(self._in_flight(owned, now), now)
            for owned in self.targets.values()
        ]
        return Summaries(
            self._differ.reduce(present, now),
            self.orders.loads_in_flight,
        )

    # Tickets

    def on_ask(self, vm: VmName, ask: TicketAsk, now: float) -> None:
        """Queue a ticket, or answer again what was answered before."""
        owned = self.targets.get(ask.target)
        attempt = ask.ticket.attempt
        if owned is None or self._is_closed(owned):
            refusal = TicketRefuse(attempt, ask.target, Reason.NO_TARGET, 0)
            self._outbox.send(vm, refusal)
            return
        held = owned.tickets.get(attempt)
        if held is None:
            wait_s = owned.expected_wait()
            held = owned.enqueue(vm, ask.ticket, now)
            if wait_s > ask.patience_s:
                self._refuse(owned, held, Reason.OVERLOADED, wait_s)
        elif held.granted_at is not None:
            self._send_grant(owned, held, now)
        self._pump(owned, now)

    def on_return(self, vm: VmName, back: TicketReturn, now: float) -> None:
        """End a ticket."""
        owned = self.targets.get(back.target)
        held = self._remove(owned, back, now) if owned else None
        if owned is None or held is None:
            if back.ending is Ending.BROKEN:
                self._crashes.unknown_call_broke(vm, back)
            return
        if back.ending is Ending.BROKEN:
            self._crashes.call_broke(owned, held, now)
        elif back.ending is Ending.SILENT:
            self._crashes.call_fell_silent(owned, held, now)
        elif back.ending is Ending.NOT_LOADED:
            self.orders.adapter_missing(owned, held.ticket.label, now)
            self._crashes.distrust(owned, now)
        self._pump(owned, now)

    def on_running_reply(
        self, vm: VmName, reply: RunningReply, now: float
    ) -> None:
        """Take over or drop calls, as a VM says what it has running."""
        owned = self.targets.get(reply.target)
        if owned and owned.fence == reply.fence:
            self._recovery.on_reply(owned, vm, reply, now)

    def vm_restarted(self, vm: VmName, boot: str, now: float) -> None:
        """Drop the tickets of a VM's former run."""
        for owned in self.targets.values():
            self._recovery.vm_restarted(owned, vm, boot, now)

    # Targets' answers

    def on_order_answered(self, answer: OrderAnswered, now: float) -> None:
        """Note what an order did and grant what it made possible."""
        owned = self.orders.on_answer(answer, now)
        if owned is None:
            return
        if not answer.accepted:
            self._crashes.distrust(owned, now)
        self._pump(owned, now)

    def on_probed(self, probed: TargetProbed, now: float) -> None:
        """Learn a target's state; notice restarts and crashes."""
        owned = self.targets.get(probed.target)
        if owned is None:
            return
        if probed.failure is not ProbeFailure.NONE:
            if probed.failure is ProbeFailure.REFUSED:
                self._crashed(owned, '', now)
            owned.ready = False
            return
        if owned.incarnation and probed.incarnation != owned.incarnation:
            self._crashed(owned, probed.incarnation, now)
        owned.prove(probed.incarnation, probed.sent_at)
        self._crashes.target_lives(owned)
        if owned.engine and self.orders.reconcile(owned, probed, now):
            owned.limit.reset()
            self._note_reset(owned, 'adapter list was emptied', now)
        self._pump(owned, now)

    def _remove(
        self,
        owned: OwnedTarget,
        back: TicketReturn,
        now: float,
    ) -> HeldTicket | None:
        before = owned.limit.value
        held = owned.remove(
            back.attempt,
            back.ending,
            back.first_chunk_s,
            now,
        )
        if owned.limit.value < before:
            self._note_reset(owned, f'limit cut from {before}', now)
        return held

    def _crashed(
        self,
        owned: OwnedTarget,
        incarnation: str,
        now: float,
    ) -> None:
        self._crashes.target_crashed(owned, incarnation, now)
        self.orders.forget_target(owned.facts.target, now)
        self.orders.want_loads(owned, now)
        self._note_reset(owned, 'restarted or down', now)

    def _note_reset(self, owned: OwnedTarget, why: str, now: float) -> None:
        target = owned.facts.target
        self._outbox.record(now, EventKind.LIMIT_RESET, why, target=target)

    # Grants

    def _pump(self, owned: OwnedTarget, now: float) -> None:
        """Grant what the target can bear now."""
        held = owned.next_grant(self._in_flight(owned, now), now)
        while held:
            self._send_grant(owned, held, now)
            held = owned.next_grant(self._in_flight(owned, now), now)
        if owned.has_ready() and owned.needs_proof(now):
            self._crashes.probe_soon(owned, now)
        self.orders.want_loads(owned, now)

    def _send_grant(
        self,
        owned: OwnedTarget,
        held: HeldTicket,
        now: float,
    ) -> None:
        granted_at = held.granted_at or now
        grant = TicketGrant(
            held.ticket.attempt,
            owned.facts.target,
            owned.incarnation,
            owned.fence,
            granted_at + TICKET_VALID_S - now,
            held.load_wait_s,
        )
        self._outbox.send(held.vm, grant)

    def _refuse(
        self,
        owned: OwnedTarget,
        held: HeldTicket,
        reason: Reason,
        retry_after_s: float,
    ) -> None:
        attempt = held.ticket.attempt
        owned.remove(attempt, Ending.ABANDONED, 0, held.asked_at)
        refusal = TicketRefuse(
            attempt,
            owned.facts.target,
            reason,
            retry_after_s,
        )
        self._outbox.send(held.vm, refusal)

    def _turn_away(self, owned: OwnedTarget) -> None:
        for held in list(owned.tickets.values()):
            if held.granted_at is None:
                self._refuse(owned, held, Reason.NO_TARGET, 0)

    def _is_closed(self, owned: OwnedTarget) -> bool:
        return owned.facts.leaving or self._zone_is_out(owned.facts.zone)

    def _in_flight(self, owned: OwnedTarget, now: float) -> int:
        """Count running calls, but not those of VMs that died long ago."""
        count = len(owned.running)
        if count < owned.limit.value or not owned.limit.is_warm():
            return count
        dead = [
            held
            for held in owned.running.values()
            if self._is_long_dead(held.vm, now)
        ]
        return count - len(dead)

    def _is_long_dead(self, vm: VmName, now: float) -> bool:
        if vm == self._outbox.vm:
            return False
        view = self._membership.views.get(vm)
        return view is not None and now - view.received_at > DEAD_VM_S

    def _repeat(
        self,
        owned: OwnedTarget,
        interval_s: float,
        action: Callable[[OwnedTarget, float], None],
        now: float,
    ) -> None:
        """Do something at intervals for as long as the target is owned."""
        if self.targets.get(owned.facts.target) is not owned:
            return
        action(owned, now)
        self._outbox.call_at(
            now + interval_s,
            lambda when: self._repeat(owned, interval_s, action, when),
        )
