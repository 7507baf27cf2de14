"""Expected waits of requests that wait for a target at this entry VM.

On the heaviest loads more requests wait than can be served before each gives
up. Those that arrive behind too many others are better refused at once, so
that their callers can return to another VM or later.
"""

import math
from collections import Counter, defaultdict
from typing import Final

RATE_TIME_CONSTANT_S: Final = 2.0  # over which the rate of sends is averaged
MIN_QUEUE: Final = 4  # requests that may always wait
UNKNOWN_S: Final = 4.0  # expected wait while nothing is sent


class _PoolQueue:
    def __init__(self) -> None:
        self.waiting: Counter[int] = Counter()  # by priority
        self.rate = 0.0  # requests/s sent to the pool's targets
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        age_s = now - self.updated_at
        self.rate *= math.exp(-age_s / RATE_TIME_CONSTANT_S)
        self.updated_at = now


class WaitQueue:
    """Counts requests that wait, and the rate at which targets take them."""

    def __init__(self) -> None:
        self._pools: dict[str, _PoolQueue] = defaultdict(_PoolQueue)

    def join(self, pool: str, priority: int) -> None:
        """Count a request that begins to wait."""
        self._pools[pool].waiting[priority] += 1

    def leave(self, pool: str, priority: int) -> None:
        """Count a request that ends its wait."""
        self._pools[pool].waiting[priority] -= 1

    def record_send(self, pool: str, now: float) -> None:
        """Count a request that a target takes, whether or not it waited."""
        queue = self._pools[pool]
        queue.decay(now)
        queue.rate += 1 / RATE_TIME_CONSTANT_S

    def expected_wait_s(self, pool: str, priority: int, now: float) -> float:
        """Return the wait of one more request behind more urgent ones.

        ``priority`` is lower for more urgent requests.
        """
        queue = self._pools[pool]
        ahead = sum(
            count for other, count in queue.waiting.items() if other <= priority
        )
        if ahead < MIN_QUEUE:
            return 0.0
        queue.decay(now)
        return min(UNKNOWN_S, ahead / queue.rate) if queue.rate else UNKNOWN_S
