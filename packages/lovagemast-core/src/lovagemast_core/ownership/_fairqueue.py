"""Start-time fair queueing across client accounts, with priorities."""

import heapq
from typing import Final, NamedTuple

from .._types import AccountName, AttemptId, Priority

MAX_PRIORITY_WAIT_S: Final = 20.0  # bounds starvation of lower priorities


class QueuedRequest(NamedTuple):
    """A request that waits for admission at a target."""

    attempt: AttemptId
    account: AccountName
    weight: float
    priority: Priority
    cost: float  # tokens
    queued_at: float  # s


class FairQueue:
    """Orders requests by priority, then by virtual start time.

    A request that has waited longer than :data:`MAX_PRIORITY_WAIT_S` is
    served before requests of a higher priority.
    """

    def __init__(self) -> None:
        self._heaps: dict[Priority, list[tuple[float, int, QueuedRequest]]] = {
            priority: [] for priority in Priority
        }
        self._virtual_time = 0.0
        self._finish_times: dict[AccountName, float] = {}
        self._entries: dict[AttemptId, QueuedRequest] = {}
        self._seq = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def push(self, entry: QueuedRequest) -> None:
        """Queue a request after the earlier ones of its account."""
        last_finish = self._finish_times.get(entry.account, 0.0)
        start = max(self._virtual_time, last_finish)
        self._finish_times[entry.account] = start + entry.cost / entry.weight
        self._seq += 1
        self._entries[entry.attempt] = entry
        heapq.heappush(
            self._heaps[entry.priority],
            (start, self._seq, entry),
        )

    def remove(self, attempt: AttemptId) -> bool:
        """Remove a request; return whether it was queued."""
        return self._entries.pop(attempt, None) is not None

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the request to serve next, or ``None``."""
        heads = [
            heap for heap in self._heaps.values() if self._drop_removed(heap)
        ]
        if not heads:
            self._reset_accounts()
            return None
        chosen = heads[0]
        for heap in heads[1:]:
            if now - heap[0][2].queued_at > MAX_PRIORITY_WAIT_S:
                chosen = heap
        start, _, entry = heapq.heappop(chosen)
        self._virtual_time = max(self._virtual_time, start)
        self._entries.pop(entry.attempt)
        return entry

    def _drop_removed(
        self,
        heap: list[tuple[float, int, QueuedRequest]],
    ) -> bool:
        while heap and self._entries.get(heap[0][2].attempt) is not heap[0][2]:
            heapq.heappop(heap)
        return bool(heap)

    def _reset_accounts(self) -> None:
        self._finish_times.clear()
        self._virtual_time = 0.0
