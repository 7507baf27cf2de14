"""Shares of fleet-wide limits that each entry VM keeps for itself."""

from collections import deque
from typing import Final, NamedTuple

from .._types import TargetName

COLD_WINDOW_S: Final = 1.0
RETRY_WINDOW_S: Final = 10.0


class EntryShare(NamedTuple):
    """An entry VM's place among those that share a limit."""

    rank: int  # from 0
    entries: int


class ColdStartLimiter:
    """Bounds the requests that a cold target gets each second.

    Every entry VM takes an equal part of what the target bears, so that no
    message is needed. Where there are more entry VMs than requests to share,
    only those of the lowest ranks send any.
    """

    def __init__(self) -> None:
        self._sent: dict[TargetName, deque[float]] = {}

    def may_send(
        self,
        target: TargetName,
        per_s: float,
        share: EntryShare,
        now: float,
    ) -> bool:
        """Return whether a cold target may get one more request."""
        senders = min(share.entries, max(1, int(per_s)))
        if share.rank >= senders:
            return False
        sent = self._sent.setdefault(target, deque())
        while sent and now - sent[0] > COLD_WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(per_s / senders))

    def record_request(self, target: TargetName, now: float) -> None:
        """Count a request to a target."""
        sent = self._sent.setdefault(target, deque(maxlen=256))
        sent.append(now)


class RetryBudget:
    """Bounds second sends to a part of the requests plus a small slack."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._trim(now)

    def try_acquire(self, entries: int, now: float) -> bool:
        """Count one more send if the allowance has room for it."""
        self._trim(now)
        allowed = self._ratio * len(self._requests)
        allowed += self._slack / max(1, entries)
        if len(self._retries) >= allowed:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
