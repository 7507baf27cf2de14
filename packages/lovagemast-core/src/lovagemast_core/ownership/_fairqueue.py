"""Start-time fair queueing by client account, with route priorities."""

import heapq
from typing import Final, NamedTuple

from .._types import AccountName, AttemptId, Priority

MAX_WAIT_BEHIND_S: Final = 20.0  # a lower priority then goes first


class Waiting(NamedTuple):
    """A request that waits for a slot at a target."""

    attempt: AttemptId
    account: AccountName
    weight: float
    priority: Priority
    cost: float  # tokens
    since: float  # s


class FairQueue:
    """Orders waiting requests by priority, then by virtual start time."""

    def __init__(self) -> None:
        self._heaps: dict[Priority, list[tuple[float, int, Waiting]]] = {
            priority: [] for priority in Priority
        }
        self._virtual = 0.0
        self._finish: dict[AccountName, float] = {}
        self._entries: dict[AttemptId, Waiting] = {}
        self._seq = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._entries)

    def push(self, entry: Waiting) -> None:
        """Add a request behind its account's earlier ones."""
        last_finish = self._finish.get(entry.account, 0.0)
        start = max(self._virtual, last_finish)
        self._finish[entry.account] = start + entry.cost / entry.weight
        self._seq += 1
        self._entries[entry.attempt] = entry
        heapq.heappush(
            self._heaps[entry.priority],
            (start, self._seq, entry),
        )

    def remove(self, attempt: AttemptId) -> bool:
        """Drop a request that no longer waits."""
        return self._entries.pop(attempt, None) is not None

    def pop(self, now: float) -> Waiting | None:
        """Return the request to serve next."""
        heads = [heap for heap in self._heaps.values() if self._clean(heap)]
        if not heads:
            self._forget_idle_accounts()
            return None
        chosen = heads[0]
        for heap in heads[1:]:
            if now - heap[0][2].since > MAX_WAIT_BEHIND_S:
                chosen = heap
        start, _, entry = heapq.heappop(chosen)
        self._virtual = max(self._virtual, start)
        self._entries.pop(entry.attempt)
        return entry

    def _clean(self, heap: list[tuple[float, int, Waiting]]) -> bool:
        while heap and self._entries.get(heap[0][2].attempt) is not heap[0][2]:
            heapq.heappop(heap)
        return bool(heap)

    def _forget_idle_accounts(self) -> None:
        self._finish.clear()
        self._virtual = 0.0
