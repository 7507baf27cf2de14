"""Fleet-wide limits on retries, one for each pool.

Each entry VM keeps to its share, so that no messages are needed. What one pool
doesn't use is of no use to another: the retries of a small pool would pile up.
"""

from collections import deque
from typing import Final

from ._limits import EntryShare

LONG_AGO_S: Final = float('-inf')


class _PoolBudget:
    """The requests and retries of one pool in the last window."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()  # s, when each came
        self.retries: deque[float] = deque()

    def trim(self, since: float) -> None:
        """Forget what came before a time."""
        for times in (self.requests, self.retries):
            while times and times[0] < since:
                times.popleft()


class RetryBudget:
    """Limits retries to a ratio of the callers' requests plus some slack.

    Both are counted by pool, over a sliding window. The slack of a pool is
    shared by all entry VMs. A VM that has just started gets its part of it over
    one window, beginning with one retry: it may have used it before.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_at: float = LONG_AGO_S,
    ) -> None:
        self._ratio = ratio
        self._slack = int(slack)
        self._window_s = window_s
        self._started_at = started_at
        self._pools: dict[str, _PoolBudget] = {}
        # A sliding maximum of the entry VMs that share the slack: when each
        # number was last seen (s), the numbers decreasing.
        self._entries: deque[tuple[float, int]] = deque()

    def record_request(self, pool: str, now: float) -> None:
        """Count a caller's request."""
        budget = self._pools.setdefault(pool, _PoolBudget())
        budget.requests.append(now)
        budget.trim(now - self._window_s)

    def try_acquire(self, pool: str, share: EntryShare, now: float) -> bool:
        """Count one more retry if the budget allows it; return whether."""
        budget = self._pools.setdefault(pool, _PoolBudget())
        budget.trim(now - self._window_s)
        allowed = int(self._ratio * len(budget.requests))
        allowed += self._own_slack(share, now)
        if len(budget.retries) >= allowed:
            return False
        budget.retries.append(now)
        return True

    def retain(self, pools: frozenset[str]) -> None:
        """Forget the pools that are not in ``pools``."""
        for pool in self._pools.keys() - pools:
            self._pools.pop(pool)

    def _own_slack(self, share: EntryShare, now: float) -> int:
        """Return this VM's part of a pool's slack; the parts add up to it."""
        entries = self._most_entries(share.entries, now)
        even, rest = divmod(self._slack, entries)
        slack = even + (share.rank < rest)
        passed = (now - self._started_at) / self._window_s
        return slack if passed >= 1 else min(slack, 1 + int(slack * passed))

    def _most_entries(self, entries: int, now: float) -> int:
        """Return the most VMs of the last window; all have used their part."""
        known = self._entries
        while known and known[-1][1] <= entries:
            known.pop()
        known.append((now, entries))
        while known[0][0] < now - self._window_s:
            known.popleft()
        return max(1, known[0][1])
