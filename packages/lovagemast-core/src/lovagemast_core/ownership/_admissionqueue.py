"""Queue of the tickets that can be granted as soon as capacity is free."""

from collections import deque

from .._messages import Ticket
from .._types import AttemptId, VmName
from ._adaptercache import Slot
from ._fairqueue import FairQueue, QueuedRequest


class TrackedTicket:
    """A ticket that waits or runs at a target, as its owner tracks it."""

    def __init__(self, vm: VmName, ticket: Ticket, now: float) -> None:
        self.vm = vm
        self.ticket = ticket
        self.asked_at = now  # s
        self.granted_at: float | None = None  # s
        self.load_wait_s = 0.0
        self.possibly_crashed_incarnation = ''  # of the target, under the call
        self._slot: Slot | None = None

    def pin(self, slot: Slot, now: float) -> None:
        """Protect the adapter in a slot from eviction."""
        self.unpin()
        slot.pin(now)
        self._slot = slot

    def unpin(self) -> None:
        """Allow the adapter in the pinned slot to be evicted again."""
        if self._slot:
            self._slot.pins -= 1
        self._slot = None


class AdmissionQueue:
    """Fair queueing, except that suspect requests run one at a time.

    A request is suspect if a target crashed while it ran. Running only one
    suspect request at a time shows which of them causes the next crash.
    """

    def __init__(self) -> None:
        self._queue = FairQueue()
        self._tickets: dict[AttemptId, TrackedTicket] = {}
        self._suspects: deque[TrackedTicket] = deque()
        self._running_suspect: AttemptId = ''

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._queue) + len(self._suspects)

    def push(self, tracked: TrackedTicket) -> None:
        """Queue a ticket after the earlier ones of its account."""
        ticket = tracked.ticket
        if ticket.suspect:
            self._suspects.append(tracked)
            return
        self._tickets[ticket.attempt] = tracked
        self._queue.push(
            QueuedRequest(
                ticket.attempt,
                ticket.account,
                ticket.weight,
                ticket.priority,
                ticket.cost,
                tracked.asked_at,
            ),
        )

    def pop(self, now: float) -> TrackedTicket | None:
        """Remove and return the ticket to grant next, or ``None``."""
        if self._suspects and not self._running_suspect:
            tracked = self._suspects.popleft()
            self._running_suspect = tracked.ticket.attempt
            return tracked
        entry = self._queue.pop(now)
        return self._tickets.pop(entry.attempt) if entry else None

    def remove(self, tracked: TrackedTicket) -> None:
        """Remove a ticket that no longer waits, or end a suspect call."""
        attempt = tracked.ticket.attempt
        self._tickets.pop(attempt, None)
        self._queue.remove(attempt)
        if tracked in self._suspects:
            self._suspects.remove(tracked)
        if attempt == self._running_suspect:
            self._running_suspect = ''
