"""Tickets that wait for nothing but their turn at a target."""

from collections import deque

from .._messages import Ticket
from .._types import AttemptId, VmName
from ._adaptercache import Slot
from ._fairqueue import FairQueue, Waiting


class HeldTicket:
    """A ticket that waits at a target or runs there."""

    def __init__(self, vm: VmName, ticket: Ticket, now: float) -> None:
        self.vm = vm
        self.ticket = ticket
        self.asked_at = now  # s
        self.granted_at: float | None = None  # s
        self.load_wait_s = 0.0
        self.doubtful = ''  # incarnation that may have crashed under it
        self._slot: Slot | None = None

    def pin(self, slot: Slot, now: float) -> None:
        """Keep the adapter in a slot from being evicted."""
        self.unpin()
        slot.use(now)
        self._slot = slot

    def unpin(self) -> None:
        """Stop keeping the adapter in its slot."""
        if self._slot:
            self._slot.pins -= 1
        self._slot = None


class TurnQueue:
    """Fair queueing, but suspects of a crash run one at a time.

    A crash then shows which of the suspects was to blame.
    """

    def __init__(self) -> None:
        self._queue = FairQueue()
        self._tickets: dict[AttemptId, HeldTicket] = {}
        self._suspects: deque[HeldTicket] = deque()
        self._running_suspect: AttemptId = ''

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return len(self._queue) + len(self._suspects)

    def push(self, held: HeldTicket) -> None:
        """Add a ticket behind its account's earlier ones."""
        ticket = held.ticket
        if ticket.suspect:
            self._suspects.append(held)
            return
        self._tickets[ticket.attempt] = held
        self._queue.push(
            Waiting(
                ticket.attempt,
                ticket.account,
                ticket.weight,
                ticket.priority,
                ticket.cost,
                held.asked_at,
            ),
        )

    def pop(self, now: float) -> HeldTicket | None:
        """Return the ticket whose turn it is."""
        if self._suspects and not self._running_suspect:
            held = self._suspects.popleft()
            self._running_suspect = held.ticket.attempt
            return held
        entry = self._queue.pop(now)
        return self._tickets.pop(entry.attempt) if entry else None

    def remove(self, held: HeldTicket) -> None:
        """Drop a ticket that waits no longer, or end a suspect's run."""
        attempt = held.ticket.attempt
        self._tickets.pop(attempt, None)
        self._queue.remove(attempt)
        if held in self._suspects:
            self._suspects.remove(held)
        if attempt == self._running_suspect:
            self._running_suspect = ''
