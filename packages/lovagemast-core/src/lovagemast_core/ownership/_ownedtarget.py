"""Admission at one target, decided by its owner alone."""

from typing import Final

from .._messages import Ending, TargetFacts, TargetSummary, Ticket
from .._policy import EvictionOrder
from .._types import AttemptId, VmName
from ._adaptercache import AdapterCache, SlotState
from ._limit import ConcurrencyLimit
from ._turnqueue import HeldTicket, TurnQueue

MAX_CALL_S: Final = 120.0  # longest life of a granted ticket
MAX_LOAD_TRIES: Final = 2
PROOF_S: Final = 0.25  # age at which a proof of the incarnation is too old
SERVICE_SMOOTHING: Final = 0.1
LOAD_WAIT_HALF_LIFE_S: Final = 2.0


class OwnedTarget:
    """The queue, the adapter slots and the running calls of a target."""

    def __init__(
        self,
        facts: TargetFacts,
        fence: int,
        *,
        engine: bool,
        eviction_order: EvictionOrder,
        now: float,
    ) -> None:
        self.facts = facts
        self.fence = fence
        self.engine = engine
        self.incarnation = ''
        self.gained_at = now  # s
        self.lease_until = float('inf')  # s
        self.ready = False  # a probe has succeeded
        self.recovered = False  # may admit
        self.probed_at = float('-inf')  # s
        self.proven_at = float('-inf')  # s, that the incarnation was the same
        self.order_may_linger = False  # of the last owner, unfenced
        self.unanswered: set[VmName] = set()  # may run calls unknown to us
        self.limit = ConcurrencyLimit(max(1, facts.max_in_flight))
        self.cache = AdapterCache(
            max(1, facts.adapter_slots),
            eviction_order,
        )
        self.service_s = 0.0
        self._load_wait_s = 0.0
        self._load_wait_at = now
        self.tickets: dict[AttemptId, HeldTicket] = {}
        self.running: dict[AttemptId, HeldTicket] = {}
        self.waiting_load: dict[str, dict[AttemptId, HeldTicket]] = {}
        self.load_tries: dict[str, int] = {}
        self._turns = TurnQueue()

    @property
    def admits(self) -> bool:
        """Return whether calls may be granted now."""
        return self.ready and self.recovered and not self.facts.leaving

    @property
    def queued(self) -> int:
        """Return how many tickets wait."""
        return len(self.tickets) - len(self.running)

    def may_evict(self, now: float) -> bool:
        """Return whether all calls at the target are known.

        Calls of VMs that have not answered end within their longest life.
        """
        return not self.unanswered or now - self.gained_at >= MAX_CALL_S

    def expected_wait(self) -> float:
        """Return how long a new ticket would wait for its turn, in s."""
        ahead = self.queued + len(self.running) + 1 - self.limit.value
        return max(0, ahead) * self.service_s / self.limit.value

    def enqueue(self, vm: VmName, ticket: Ticket, now: float) -> HeldTicket:
        """Add a ticket; its adapter version cannot be evicted from now."""
        held = HeldTicket(vm, ticket, now)
        self.tickets[ticket.attempt] = held
        slot = self.cache.get(ticket.label) if self.engine else None
        if not self.engine or (slot and slot.state is SlotState.LOADED):
            if slot:
                held.pin(slot, now)
            self._turns.push(held)
            return held
        if slot and slot.state is SlotState.LOADING:
            held.pin(slot, now)
        waiting = self.waiting_load.setdefault(ticket.label, {})
        waiting[ticket.attempt] = held
        return held

    def adopt(self, vm: VmName, ticket: Ticket, now: float) -> None:
        """Count a call that runs since before this VM owned the target."""
        if ticket.attempt in self.running:
            return
        held = HeldTicket(vm, ticket, now)
        held.granted_at = now
        self.tickets[ticket.attempt] = held
        self.running[ticket.attempt] = held
        if self.engine:
            slot = self.cache.get(ticket.label)
            if slot is None:
                slot = self.cache.add(ticket.label, SlotState.LOADED, now)
            held.pin(slot, now)

    def loads_wanted(self) -> list[str]:
        """Return the versions that tickets wait for and no slot holds."""
        return [
            label
            for label in self.waiting_load
            if self.cache.get(label) is None
        ]

    def begin_load(self, label: str, now: float) -> None:
        """Take a slot for a version; its waiting tickets pin it."""
        slot = self.cache.add(label, SlotState.LOADING, now)
        for held in self.waiting_load.get(label, {}).values():
            held.pin(slot, now)

    def loaded(self, label: str, now: float) -> None:
        """Let the tickets that waited for a version take their turns."""
        self.cache.set_state(label, SlotState.LOADED, now)
        self.load_tries.pop(label, None)
        waiting = self.waiting_load.pop(label, {})
        for held in waiting.values():
            held.load_wait_s = now - held.asked_at
            self._turns.push(held)
        if waiting:
            waits = [held.load_wait_s for held in waiting.values()]
            longest_s = max(waits)
            known_s = self._recent_load_wait(now)
            self._load_wait_s = max(longest_s, known_s)
            self._load_wait_at = now

    def load_failed(self, label: str) -> list[HeldTicket]:
        """Free the slot; return the tickets to refuse after the last try."""
        self.cache.drop(label)
        tries = self.load_tries.get(label, 0) + 1
        self.load_tries[label] = tries
        if tries < MAX_LOAD_TRIES:
            return []
        self.load_tries.pop(label)
        refused = list(self.waiting_load.pop(label, {}).values())
        for held in refused:
            self.tickets.pop(held.ticket.attempt)
        return refused

    def next_grant(self, in_flight: int, now: float) -> HeldTicket | None:
        """Return the ticket to grant now and count it as running."""
        if not self.admits or in_flight >= self.limit.value:
            return None
        if not self.holds_lease(now):
            return None
        if self.needs_proof(now):
            return None
        held = self._turns.pop(now)
        if held:
            held.granted_at = now
            self.running[held.ticket.attempt] = held
        return held

    def prove(self, incarnation: str, at: float) -> None:
        """Note that the target lives and which incarnation it is."""
        self.incarnation = incarnation
        self.proven_at = max(self.proven_at, at)
        self.ready = True

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease still runs.

        A process that was frozen may handle old timers before it learns
        that another VM has taken the target over.
        """
        return now < self.lease_until

    def needs_proof(self, now: float) -> bool:
        """Return whether more than one call needs a probe first.

        A target that has restarted unnoticed bears one call only.
        """
        return bool(self.running) and now - self.proven_at > PROOF_S

    def has_ready(self) -> bool:
        """Return whether a ticket waits for nothing but its turn."""
        return len(self._turns) > 0

    def remove(
        self,
        attempt: AttemptId,
        ending: Ending,
        first_chunk_s: float,
        now: float,
    ) -> HeldTicket | None:
        """End a ticket and learn from how it ended."""
        held = self.tickets.pop(attempt, None)
        if held is None:
            return None
        saturated = len(self.running) >= self.limit.value
        was_running = self.running.pop(attempt, None) is not None
        self._stop_waiting(held)
        self._turns.remove(held)
        if was_running:
            self._learn(held, ending, first_chunk_s, saturated, now)
        return held

    def restarted(self, incarnation: str, now: float) -> list[HeldTicket]:
        """Forget what a restart of the target has ended.

        Returns the calls that ran before it. A call granted since the last
        proof may run in the new incarnation and stays. Tickets that wait
        stay too, and wait for their adapter version to be loaded again.
        """
        crashed = self.incarnation
        since = self.proven_at if incarnation else float('inf')
        running = list(self.running.values())
        lost = [held for held in running if (held.granted_at or now) <= since]
        kept = [held for held in running if (held.granted_at or now) > since]
        waiting = [
            held for held in self.tickets.values() if held.granted_at is None
        ]
        self.running.clear()
        self.tickets.clear()
        self.waiting_load.clear()
        self._turns = TurnQueue()
        self.cache.clear()
        self.limit.reset()
        self.incarnation = incarnation
        for held in kept:
            self.adopt(held.vm, held.ticket, held.granted_at or now)
            adopted = self.tickets[held.ticket.attempt]
            adopted.doubtful = held.doubtful or crashed
        for held in waiting:
            self.enqueue(held.vm, held.ticket, now).asked_at = held.asked_at
        return lost

    def drop_vanished(self, labels: list[str], now: float) -> None:
        """Let tickets wait again whose version the engine has dropped."""
        for label in labels:
            queued = [
                held
                for held in self.tickets.values()
                if held.ticket.label == label and held.granted_at is None
            ]
            for held in queued:
                held.unpin()
                self._turns.remove(held)
                waiting = self.waiting_load.setdefault(label, {})
                waiting[held.ticket.attempt] = held

    def summary(self, in_flight: int, now: float) -> TargetSummary:
        """Return what other VMs need to know to place requests."""
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
            (*self.cache.labels(), *self.loads_wanted()),
        )

    def _recent_load_wait(self, now: float) -> float:
        age = now - self._load_wait_at
        return float(self._load_wait_s * 2 ** (-age / LOAD_WAIT_HALF_LIFE_S))

    def _stop_waiting(self, held: HeldTicket) -> None:
        held.unpin()
        label = held.ticket.label
        waiting = self.waiting_load.get(label)
        if waiting is not None:
            waiting.pop(held.ticket.attempt, None)
            if not waiting:
                self.waiting_load.pop(label)

    def _learn(
        self,
        held: HeldTicket,
        ending: Ending,
        first_chunk_s: float,
        saturated: bool,
        now: float,
    ) -> None:
        if ending is Ending.WHOLE:
            self.proven_at = max(self.proven_at, now)
            spent_s = now - (held.granted_at or now)
            step = spent_s - self.service_s
            weight = SERVICE_SMOOTHING if self.service_s else 1
            self.service_s += weight * step
            self.limit.succeeded(first_chunk_s, saturated=saturated)
        elif ending in {Ending.BROKEN, Ending.SILENT}:
            self.limit.failed()
