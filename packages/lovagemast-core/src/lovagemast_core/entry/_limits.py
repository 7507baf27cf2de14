"""Fleet-wide limits that each entry VM enforces for its own share."""

from collections import deque
from typing import Final, NamedTuple

from .._types import TargetName

COLD_WINDOW_S: Final = 1.0


class EntryShare(NamedTuple):
    """An entry VM's rank among all entry VMs that share a limit."""

    rank: int  # from 0
    entries: int


class ColdStartLimiter:
    """Limits the requests per second sent to a target in its cold start.

    Every entry VM uses an equal share of the target's rate, so no messages
    are needed. If there are more entry VMs than requests per second, only
    those of the lowest ranks send any.
    """

    def __init__(self) -> None:
        self._sent: dict[TargetName, deque[float]] = {}

    def may_send(
        self,
        target: TargetName,
        requests_per_s: float,
        share: EntryShare,
        now: float,
    ) -> bool:
        """Return whether a cold target may be sent one more request.

        ``requests_per_s`` is the rate that it can take from all entry VMs.
        """
        senders = min(share.entries, max(1, int(requests_per_s)))
        if share.rank >= senders:
            return False
        sent = self._sent.setdefault(target, deque())
        while sent and now - sent[0] > COLD_WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(requests_per_s / senders))

    def record_request(self, target: TargetName, now: float) -> None:
        """Count a request sent to a target."""
        sent = self._sent.setdefault(target, deque(maxlen=256))
        sent.append(now)
