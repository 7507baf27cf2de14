"""Idle connections to targets, by address."""

import asyncio
from collections import deque
from typing import Final

from ._bodybudget import BodyBudget
from ._client import ConnectFailed, TargetConnection
from ._sockets import split_address

MAX_IDLE_PER_ADDRESS: Final = 16
PURGE_INTERVAL_S: Final = 1.0
PROXY_CLOSE_S: Final = 0.02  # for a proxy to find its target gone
# The last two are for an address that no connection can be opened to.
CONNECT_ERRORS: Final = (OSError, TimeoutError, ValueError, OverflowError)


class TargetPool:
    """A pool of idle connections to targets, a few for each address.

    Requests that want a fresh connection leave theirs here too, and none of
    them takes it again.
    """

    def __init__(
        self,
        bodies: BodyBudget | None = None,
        max_idle: int | None = None,
    ) -> None:
        self.bodies = bodies or BodyBudget()  # of all requests and responses
        self._max_idle = max_idle
        self._is_full = False  # counted when connections are purged
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._purged_at = float('-inf')

    @property
    def idle_connections(self) -> int:
        """Return the number of connections that are kept."""
        return sum(map(len, self._idle.values()))

    async def acquire(
        self,
        address: str,
        *,
        fresh: bool,
        timeout_s: float,
        now: float,
    ) -> TargetConnection | ConnectFailed:
        """Return an idle connection, or open one if none fits."""
        idle = self._idle.get(address)
        while idle and not fresh:
            conn = idle.pop()
            if conn.is_usable(now):
                return conn
            conn.close()
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                _transport, conn = await loop.create_connection(
                    lambda: TargetConnection(address),
                    host,
                    port,
                )
        except CONNECT_ERRORS as exc:
            return ConnectFailed(repr(exc))
        return conn

    async def probe(self, address: str, timeout_s: float, now: float) -> bool:
        """Return whether a target takes a connection and keeps it open.

        A proxy takes connections for a target that is gone, and then closes
        them.
        """
        conn = await self.acquire(
            address, fresh=True, timeout_s=timeout_s, now=now
        )
        if isinstance(conn, ConnectFailed):
            return False
        await asyncio.sleep(PROXY_CLOSE_S)
        is_open = not conn.is_closed
        self.release(conn, now + PROXY_CLOSE_S)
        return is_open

    def release(self, conn: TargetConnection, now: float) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not conn.is_reusable or conn.is_closed:
            conn.close()
            return
        self._purge(now)
        if self._is_full:
            conn.close()
            return
        conn.idle_since = now
        conn.stop_timer()
        idle = self._idle.setdefault(conn.address, deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.popleft().close()

    def _purge(self, now: float) -> None:
        """Drop, at times, the connections that can't be used any more."""
        if now - self._purged_at < PURGE_INTERVAL_S:
            return
        self._purged_at = now
        kept: dict[str, deque[TargetConnection]] = {}
        for address, idle in self._idle.items():
            usable = deque(conn for conn in idle if conn.is_usable(now))
            for conn in idle:
                if not conn.is_usable(now):
                    conn.close()
            if usable:
                kept[address] = usable
        self._idle = kept
        self._is_full = (
            self._max_idle is not None
            and self.idle_connections >= self._max_idle
        )
