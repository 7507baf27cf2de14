"""Coordinates admission, orders and probes for the targets of this VM."""

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
from .._policy import EvictionScore
from .._timeline import EventKind
from .._types import Reason, TargetName, VmName, ZoneName
from ..agreement._membership import Membership
from ..fleet._fleet import Pool, PoolKind
from ..placement._summaries import SummaryDiffer
from ._admissionqueue import TrackedTicket
from ._crashdetector import CrashDetector
from ._leases import Lease
from ._orders import ORDER_TIMEOUT_S, OrderController
from ._ownedtarget import MAX_CALL_DURATION_S, OwnedTarget
from ._recovery import RECONCILE_INTERVAL_S, RecoveryController

PROBE_INTERVAL_S: Final = 1.0
DEAD_VM_TIMEOUT_S: Final = 10.0
TICKET_VALID_S: Final = MAX_CALL_DURATION_S - 5.0


class OwnerController:
    """Admits calls to the targets that this VM owns by granting tickets."""

    def __init__(
        self,
        outbox: Outbox,
        membership: Membership,
        crash_detector: CrashDetector,
        zone_is_out: Callable[[ZoneName], bool],
        eviction_score: EvictionScore,
        boot: str,
    ) -> None:
        self.targets: dict[TargetName, OwnedTarget] = {}
        self.orders = OrderController(outbox, self.targets.get, boot)
        self._outbox = outbox
        self._membership = membership
        self._crash_detector = crash_detector
        self._recovery = RecoveryController(
            outbox,
            membership,
            self._grant_ready,
        )
        self._zone_is_out = zone_is_out
        self._eviction_score = eviction_score
        self._summary_differ = SummaryDiffer()

    # Ownership

    def add_target(
        self,
        lease: Lease,
        facts: TargetFacts,
        pool: Pool,
        vms: Iterable[VmName],
        last: TargetSummary | None,
        now: float,
    ) -> None:
        """Start to own a target and recover its running calls.

        ``last`` is the previous owner's last summary, whose incarnation and
        concurrency limit are adopted.
        """
        owned = OwnedTarget(
            facts,
            lease.fence,
            engine=pool.kind is PoolKind.ENGINE,
            eviction_score=self._eviction_score,
            now=now,
        )
        if last:
            owned.incarnation = last.incarnation
            owned.limit.resume_from(last.limit)
        owned.lease_until = lease.until
        owned.may_have_unfenced_orders = owned.engine and not pool.fencing
        self.targets[facts.target] = owned
        extra_wait_s = ORDER_TIMEOUT_S if owned.may_have_unfenced_orders else 0
        self._recovery.start(owned, vms, extra_wait_s, now)
        self._repeat(owned, PROBE_INTERVAL_S, self._crash_detector.probe, now)
        self._repeat(owned, RECONCILE_INTERVAL_S, self._recovery.reconcile, now)

    def remove_target(self, target: TargetName, now: float) -> None:
        """Stop owning a target; refuse its waiting tickets."""
        owned = self.targets.pop(target, None)
        if owned is None:
            return
        self._refuse_waiting(owned)
        self._summary_differ.forget(target)
        self._crash_detector.drop_target(target)
        self.orders.drop_target(target, now)

    def extend_lease(self, lease: Lease) -> None:
        """Set the new expiry time of an owned target's lease."""
        owned = self.targets.get(lease.target)
        if owned:
            owned.lease_until = lease.until

    def update_facts(self, facts: TargetFacts) -> None:
        """Apply a newer announcement of an owned target."""
        owned = self.targets.get(facts.target)
        if owned is None:
            return
        owned.facts = facts
        owned.limit.maximum = max(1, facts.max_in_flight)
        owned.cache.capacity = max(1, facts.adapter_slots)
        if facts.leaving:
            self._refuse_waiting(owned)

    def on_config_changed(self) -> None:
        """Refuse waiting tickets of targets whose zone is out of service."""
        for owned in self.targets.values():
            if self._is_closed(owned):
                self._refuse_waiting(owned)

    def summaries(self, now: float) -> Summaries:
        """Return the summaries of owned targets that are due to be sent."""
        present = [
            owned.summary(self._in_flight(owned, now), now)
            for owned in self.targets.values()
        ]
        return Summaries(
            self._summary_differ.reduce(present, now),
            self.orders.loads_in_flight,
        )

    # Tickets

    def on_ask(self, vm: VmName, ask: TicketAsk, now: float) -> None:
        """Queue a ticket; repeat the grant if it was granted before."""
        owned = self.targets.get(ask.target)
        attempt = ask.ticket.attempt
        if owned is None or self._is_closed(owned):
            refusal = TicketRefuse(attempt, ask.target, Reason.NO_TARGET, 0)
            self._outbox.send(vm, refusal)
            return
        tracked = owned.tickets.get(attempt)
        if tracked is None:
            wait_s = owned.expected_wait()
            tracked = owned.enqueue(vm, ask.ticket, now)
            if wait_s > ask.patience_s:
                self._refuse(owned, tracked, Reason.OVERLOADED, wait_s)
        elif tracked.granted_at is not None:
            self._send_grant(owned, tracked, now)
        self._grant_ready(owned, now)

    def on_return(self, vm: VmName, returned: TicketReturn, now: float) -> None:
        """Remove a ticket and handle how its call ended."""
        owned = self.targets.get(returned.target)
        tracked = self._remove(owned, returned, now) if owned else None
        if owned is None or tracked is None:
            if returned.ending is Ending.BROKEN:
                self._crash_detector.on_unknown_call_broken(vm, returned)
            return
        if returned.ending is Ending.BROKEN:
            self._crash_detector.on_call_broken(owned, tracked, now)
        elif returned.ending is Ending.SILENT:
            self._crash_detector.on_call_silent(owned, tracked, now)
        elif returned.ending is Ending.NOT_LOADED:
            self.orders.on_adapter_missing(owned, tracked.ticket.label, now)
            self._crash_detector.suspend_admission(owned, now)
        self._grant_ready(owned, now)

    def on_running_reply(
        self,
        vm: VmName,
        reply: RunningReply,
        now: float,
    ) -> None:
        """Add or remove running calls according to a VM's report."""
        owned = self.targets.get(reply.target)
        if owned and owned.fence == reply.fence:
            self._recovery.on_reply(owned, vm, reply, now)

    def on_vm_restarted(self, vm: VmName, boot: str, now: float) -> None:
        """Remove the tickets of a VM's previous run."""
        for owned in self.targets.values():
            self._recovery.on_vm_restarted(owned, vm, boot, now)

    # Orders and probes

    def on_order_answered(self, answer: OrderAnswered, now: float) -> None:
        """Apply an order's outcome and grant tickets it has enabled."""
        owned = self.orders.on_answer(answer, now)
        if owned is None:
            return
        if not answer.accepted:
            self._crash_detector.suspend_admission(owned, now)
        self._grant_ready(owned, now)

    def on_probed(self, probed: TargetProbed, now: float) -> None:
        """Apply a probe's result and detect restarts and crashes."""
        owned = self.targets.get(probed.target)
        if owned is None:
            return
        if probed.failure is not ProbeFailure.NONE:
            if probed.failure is ProbeFailure.REFUSED:
                self._handle_crash(owned, '', now)
            owned.ready = False
            return
        if owned.incarnation and probed.incarnation != owned.incarnation:
            self._handle_crash(owned, probed.incarnation, now)
        owned.confirm_incarnation(probed.incarnation, probed.sent_at)
        self._crash_detector.on_target_alive(owned)
        if owned.engine and self.orders.reconcile(owned, probed, now):
            owned.limit.reset()
            self._record_limit_reset(owned, 'adapter list was emptied', now)
        self._grant_ready(owned, now)

    def _remove(
        self,
        owned: OwnedTarget,
        returned: TicketReturn,
        now: float,
    ) -> TrackedTicket | None:
        before = owned.limit.value
        tracked = owned.remove(
            returned.attempt,
            returned.ending,
            returned.first_chunk_s,
            now,
        )
        if owned.limit.value < before:
            self._record_limit_reset(owned, f'limit cut from {before}', now)
        return tracked

    def _handle_crash(
        self,
        owned: OwnedTarget,
        incarnation: str,
        now: float,
    ) -> None:
        self._crash_detector.on_target_crashed(owned, incarnation, now)
        self.orders.drop_target(owned.facts.target, now)
        self.orders.request_loads(owned, now)
        self._record_limit_reset(owned, 'restarted or down', now)

    def _record_limit_reset(
        self,
        owned: OwnedTarget,
        why: str,
        now: float,
    ) -> None:
        target = owned.facts.target
        self._outbox.record(now, EventKind.LIMIT_RESET, why, target=target)

    # Grants

    def _grant_ready(self, owned: OwnedTarget, now: float) -> None:
        """Grant tickets up to the limit; request probes and loads."""
        tracked = owned.next_grant(self._in_flight(owned, now), now)
        while tracked:
            self._send_grant(owned, tracked, now)
            tracked = owned.next_grant(self._in_flight(owned, now), now)
        if owned.has_grantable() and owned.needs_fresh_probe(now):
            self._crash_detector.probe_if_due(owned, now)
        self.orders.request_loads(owned, now)

    def _send_grant(
        self,
        owned: OwnedTarget,
        tracked: TrackedTicket,
        now: float,
    ) -> None:
        granted_at = tracked.granted_at or now
        grant = TicketGrant(
            tracked.ticket.attempt,
            owned.facts.target,
            owned.incarnation,
            owned.fence,
            granted_at + TICKET_VALID_S - now,
            tracked.load_wait_s,
        )
        self._outbox.send(tracked.vm, grant)

    def _refuse(
        self,
        owned: OwnedTarget,
        tracked: TrackedTicket,
        reason: Reason,
        retry_after_s: float,
    ) -> None:
        attempt = tracked.ticket.attempt
        owned.remove(attempt, Ending.ABANDONED, 0, tracked.asked_at)
        refusal = TicketRefuse(
            attempt,
            owned.facts.target,
            reason,
            retry_after_s,
        )
        self._outbox.send(tracked.vm, refusal)

    def _refuse_waiting(self, owned: OwnedTarget) -> None:
        for tracked in list(owned.tickets.values()):
            if tracked.granted_at is None:
                self._refuse(owned, tracked, Reason.NO_TARGET, 0)

    def _is_closed(self, owned: OwnedTarget) -> bool:
        return owned.facts.leaving or self._zone_is_out(owned.facts.zone)

    def _in_flight(self, owned: OwnedTarget, now: float) -> int:
        """Count running calls, without those of VMs that are long dead.

        The latter are excluded only if the limit is at its maximum.
        """
        count = len(owned.running)
        if count < owned.limit.value or not owned.limit.is_at_maximum():
            return count
        dead = [
            tracked
            for tracked in owned.running.values()
            if self._is_long_dead(tracked.vm, now)
        ]
        return count - len(dead)

    def _is_long_dead(self, vm: VmName, now: float) -> bool:
        if vm == self._outbox.vm:
            return False
        view = self._membership.views.get(vm)
        return view is not None and now - view.received_at > DEAD_VM_TIMEOUT_S

    def _repeat(
        self,
        owned: OwnedTarget,
        interval_s: float,
        action: Callable[[OwnedTarget, float], None],
        now: float,
    ) -> None:
        """Run an action at intervals while the target is owned."""
        if self.targets.get(owned.facts.target) is not owned:
            return
        action(owned, now)
        self._outbox.call_at(
            now + interval_s,
            lambda when: self._repeat(owned, interval_s, action, when),
        )
