"""Logs for how long a control VM has known no leader."""

import asyncio
from typing import Final

from lovagemast_core.control import ControlNode

from .._clock import now_s
from ._jsonlog import JsonLog

LOG_INTERVAL_S: Final = 2.0


class LeaderlessTime:
    """Measures the time without a leader. Times are arguments, in s."""

    def __init__(self) -> None:
        self._since: float | None = None

    def update(self, leader: str, now: float) -> float | None:
        """Return how long there has been no leader, ``None`` if there is."""
        if leader:
            self._since = None
            return None
        if self._since is None:
            self._since = now
        return now - self._since


async def watch_leader(node: ControlNode, log: JsonLog) -> None:
    """Log at intervals that no leader is known, until cancelled."""
    leaderless = LeaderlessTime()
    while True:
        await asyncio.sleep(LOG_INTERVAL_S)
        for_s = leaderless.update(node.leader, now_s())
        if for_s is not None:
            log.write(
                'agree',
                'no leader',
                for_s=round(for_s, 1),
                term=node.replica.term,
                voters=node.replica.voter_vms,
            )
