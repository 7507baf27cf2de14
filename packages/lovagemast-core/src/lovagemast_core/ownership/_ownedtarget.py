"""Admission control for one target, exercised by its owner alone."""

from typing import Final

from .._messages import Ending, TargetFacts, TargetSummary, Ticket
from .._policy import EvictionScore
from .._types import AttemptId, VmName
from ._adaptercache import AdapterCache, SlotState
from ._admissionqueue import AdmissionQueue, TrackedTicket
from ._limit import ConcurrencyLimit

MAX_CALL_DURATION_S: Final = 120.0  # a granted ticket ends after this time
MAX_LOAD_FAILURES: Final = 2
PROBE_FRESHNESS_S: Final = 0.25  # validity of a confirmed incarnation
SERVICE_SMOOTHING: Final = 0.1
LOAD_WAIT_HALF_LIFE_S: Final = 2.0


class OwnedTarget:
    """The ticket queue, adapter slots and running calls of a target."""

    def __init__(
        self,
        facts: TargetFacts,
        fence: int,
        *,
        engine: bool,
        eviction_score: EvictionScore,
        now: float,
    ) -> None:
        self.facts = facts
        self.fence = fence
        self.engine = engine
        self.incarnation = ''
        self.acquired_at = now  # s
        self.lease_until = float('inf')  # s
        self.ready = False  # a probe has succeeded
        self.recovered = False  # the calls of earlier owners are known
        self.probed_at = float('-inf')  # s
        self.confirmed_at = float('-inf')  # s, same incarnation seen running
        self.may_have_unfenced_orders = False  # sent by the previous owner
        self.unreported_vms: set[VmName] = set()  # may have untracked calls
        self.limit = ConcurrencyLimit(max(1, facts.max_in_flight))
        self.cache = AdapterCache(
            max(1, facts.adapter_slots),
            eviction_score,
        )
        self.service_s = 0.0
        self._load_wait_s = 0.0
        self._load_wait_at = now
        self.tickets: dict[AttemptId, TrackedTicket] = {}
        self.running: dict[AttemptId, TrackedTicket] = {}
        self.waiting_for_load: dict[str, dict[AttemptId, TrackedTicket]] = {}
        self.load_failures: dict[str, int] = {}
        self._queue = AdmissionQueue()

    @property
    def admits(self) -> bool:
        """Return whether the target's state permits grants."""
        return self.ready and self.recovered and not self.facts.leaving

    @property
    def queued(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.tickets) - len(self.running)

    def may_evict(self, now: float) -> bool:
        """Return whether all calls at the target are known.

        Calls of VMs that have not reported theirs have ended after the
        longest duration of a call.
        """
        return (
            not self.unreported_vms
            or now - self.acquired_at >= MAX_CALL_DURATION_S
        )

    def expected_wait(self) -> float:
        """Return the expected queueing time of a new ticket, in s."""
        ahead = self.queued + len(self.running) + 1 - self.limit.value
        return max(0, ahead) * self.service_s / self.limit.value

    def enqueue(self, vm: VmName, ticket: Ticket, now: float) -> TrackedTicket:
        """Queue a ticket and protect its adapter version from eviction."""
        tracked = TrackedTicket(vm, ticket, now)
        self.tickets[ticket.attempt] = tracked
        slot = self.cache.get(ticket.label) if self.engine else None
        if not self.engine or (slot and slot.state is SlotState.LOADED):
            if slot:
                tracked.pin(slot, now)
            self._queue.push(tracked)
            return tracked
        if slot and slot.state is SlotState.LOADING:
            tracked.pin(slot, now)
        waiting = self.waiting_for_load.setdefault(ticket.label, {})
        waiting[ticket.attempt] = tracked
        return tracked

    def add_running(self, vm: VmName, ticket: Ticket, now: float) -> None:
        """Track a running call that was granted earlier, by any owner."""
        if ticket.attempt in self.running:
            return
        tracked = TrackedTicket(vm, ticket, now)
        tracked.granted_at = now
        self.tickets[ticket.attempt] = tracked
        self.running[ticket.attempt] = tracked
        if self.engine:
            slot = self.cache.get(ticket.label)
            if slot is None:
                slot = self.cache.add(ticket.label, SlotState.LOADED, now)
            tracked.pin(slot, now)

    def versions_to_load(self) -> list[str]:
        """Return the adapter versions that tickets need and no slot has."""
        return [
            label
            for label in self.waiting_for_load
            if self.cache.get(label) is None
        ]

    def begin_load(self, label: str, now: float) -> None:
        """Assign a slot to a version and pin it for the waiting tickets."""
        slot = self.cache.add(label, SlotState.LOADING, now)
        for tracked in self.waiting_for_load.get(label, {}).values():
            tracked.pin(slot, now)

    def finish_load(self, label: str, now: float) -> None:
        """Mark a version as loaded and queue the tickets waiting for it."""
        self.cache.set_state(label, SlotState.LOADED, now)
        self.load_failures.pop(label, None)
        waiting = self.waiting_for_load.pop(label, {})
        for tracked in waiting.values():
            tracked.load_wait_s = now - tracked.asked_at
            self._queue.push(tracked)
        if waiting:
            waits = [tracked.load_wait_s for tracked in waiting.values()]
            longest_s = max(waits)
            known_s = self._recent_load_wait(now)
            self._load_wait_s = max(longest_s, known_s)
            self._load_wait_at = now

    def fail_load(self, label: str) -> list[TrackedTicket]:
        """Free the slot; return tickets to refuse after the last failure."""
        self.cache.drop(label)
        failures = self.load_failures.get(label, 0) + 1
        self.load_failures[label] = failures
        if failures < MAX_LOAD_FAILURES:
            return []
        self.load_failures.pop(label)
        refused = list(self.waiting_for_load.pop(label, {}).values())
        for tracked in refused:
            self.tickets.pop(tracked.ticket.attempt)
        return refused

    def next_grant(self, in_flight: int, now: float) -> TrackedTicket | None:
        """Return the next ticket to grant, now counted as running."""
        if not self.admits or in_flight >= self.limit.value:
            return None
        if not self.holds_lease(now):
            return None
        if self.needs_fresh_probe(now):
            return None
        tracked = self._queue.pop(now)
        if tracked:
            tracked.granted_at = now
            self.running[tracked.ticket.attempt] = tracked
        return tracked

    def confirm_incarnation(self, incarnation: str, at: float) -> None:
        """Record a successful probe and the incarnation that responded."""
        self.incarnation = incarnation
        self.confirmed_at = max(self.confirmed_at, at)
        self.ready = True

    def holds_lease(self, now: float) -> bool:
        """Return whether this VM's lease on the target is valid.

        A process that was suspended may handle old timers before it learns
        that another VM has acquired the target.
        """
        return now < self.lease_until

    def needs_fresh_probe(self, now: float) -> bool:
        """Return whether another call requires a fresh probe first.

        A target that has restarted undetected can run only one call.
        """
        return (
            bool(self.running) and now - self.confirmed_at > PROBE_FRESHNESS_S
        )

    def has_grantable(self) -> bool:
        """Return whether a queued ticket does not wait for a load."""
        return len(self._queue) > 0

    def remove(
        self,
        attempt: AttemptId,
        ending: Ending,
        first_chunk_s: float,
        now: float,
    ) -> TrackedTicket | None:
        """Remove a ticket and update the limit from the call's outcome."""
        tracked = self.tickets.pop(attempt, None)
        if tracked is None:
            return None
        saturated = len(self.running) >= self.limit.value
        was_running = self.running.pop(attempt, None) is not None
        self._remove_waiting(tracked)
        self._queue.remove(tracked)
        if was_running:
            self._record_outcome(tracked, ending, first_chunk_s, saturated, now)
        return tracked

    def reset_after_restart(
        self,
        incarnation: str,
        now: float,
    ) -> list[TrackedTicket]:
        """Reset the state that a restart of the target has invalidated.

        Returns the calls that the restart ended. A call granted since the
        incarnation was last confirmed may run in the new one and is kept.
        Waiting tickets are kept as well and wait for their adapter version
        to be loaded again. An empty ``incarnation`` means that the target
        is down; no call is kept then.
        """
        crashed = self.incarnation
        since = self.confirmed_at if incarnation else float('inf')
        running = list(self.running.values())
        lost = [
            tracked
            for tracked in running
            if (tracked.granted_at or now) <= since
        ]
        kept = [
            tracked
            for tracked in running
            if (tracked.granted_at or now) > since
        ]
        waiting = [
            tracked
            for tracked in self.tickets.values()
            if tracked.granted_at is None
        ]
        self.running.clear()
        self.tickets.clear()
        self.waiting_for_load.clear()
        self._queue = AdmissionQueue()
        self.cache.clear()
        self.limit.reset()
        self.incarnation = incarnation
        for tracked in kept:
            self.add_running(
                tracked.vm,
                tracked.ticket,
                tracked.granted_at or now,
            )
            adopted = self.tickets[tracked.ticket.attempt]
            adopted.possibly_crashed_incarnation = (
                tracked.possibly_crashed_incarnation or crashed
            )
        for tracked in waiting:
            self.enqueue(
                tracked.vm,
                tracked.ticket,
                now,
            ).asked_at = tracked.asked_at
        return lost

    def requeue_for_load(self, labels: list[str], now: float) -> None:
        """Move tickets whose version was unloaded back to wait for a load."""
        for label in labels:
            queued = [
                tracked
                for tracked in self.tickets.values()
                if tracked.ticket.label == label and tracked.granted_at is None
            ]
            for tracked in queued:
                tracked.unpin()
                self._queue.remove(tracked)
                waiting = self.waiting_for_load.setdefault(label, {})
                waiting[tracked.ticket.attempt] = tracked

    def summary(self, in_flight: int, now: float) -> TargetSummary:
        """Return the summary that other VMs use to place requests."""
        return TargetSummary(
            self.facts.target,
            self.fence,
            self.incarnation,
            self.admits,
            self.limit.value,
            in_flight,
            self.queued,
            self.service_s,
            self._recent_load_wait(now),
            True,
            (*self.cache.labels(), *self.versions_to_load()),
        )

    def _recent_load_wait(self, now: float) -> float:
        age = now - self._load_wait_at
        return float(self._load_wait_s * 2 ** (-age / LOAD_WAIT_HALF_LIFE_S))

    def _remove_waiting(self, tracked: TrackedTicket) -> None:
        tracked.unpin()
        label = tracked.ticket.label
        waiting = self.waiting_for_load.get(label)
        if waiting is not None:
            waiting.pop(tracked.ticket.attempt, None)
            if not waiting:
                self.waiting_for_load.pop(label)

    def _record_outcome(
        self,
        tracked: TrackedTicket,
        ending: Ending,
        first_chunk_s: float,
        saturated: bool,
        now: float,
    ) -> None:
        if ending is Ending.WHOLE:
            self.confirmed_at = max(self.confirmed_at, now)
            duration_s = now - (tracked.granted_at or now)
            step = duration_s - self.service_s
            weight = SERVICE_SMOOTHING if self.service_s else 1
            self.service_s += weight * step
            self.limit.record_success(first_chunk_s, saturated=saturated)
        elif ending in {Ending.BROKEN, Ending.SILENT}:
            self.limit.record_failure()
