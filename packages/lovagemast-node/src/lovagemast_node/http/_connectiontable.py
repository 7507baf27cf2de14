"""Bounds the number of connections that a process accepts.

When there are too many, those without a request in progress are closed first:
the oldest that never sent one, then those whose request does not arrive, then
those that wait for their next one. A new connection is closed if all others
are busy. Nothing that was closed has run.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import Final, Protocol

# Of the limit, closed at a time, so that not each new connection searches.
BATCH_FRACTION: Final = 1 / 16


class ClosingRank(IntEnum):
    """The order in which connections are closed."""

    UNUSED = 0
    INCOMPLETE = 1
    USED = 2
    BUSY = 3


class LimitedConnection(Protocol):
    """A connection that can be closed to make room for others."""

    def closing_rank(self) -> ClosingRank:
        """Return how soon the connection is closed."""

    def close_for_room(self) -> None:
        """Close the connection at once."""


def _ignore(_count: int) -> None:
    """Do nothing about connections that were closed."""


class ConnectionTable:
    """The connections that all listeners of a process have accepted."""

    def __init__(self, limit: int | None = None) -> None:
        self.on_closed: Callable[[int], None] = _ignore
        self._limit = limit
        self._open: dict[LimitedConnection, None] = {}  # the oldest first

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def add(self, conn: LimitedConnection) -> None:
        """Add a connection; close others, or this one, if there are many."""
        self._open[conn] = None
        if self._limit is not None and len(self._open) > self._limit:
            self._make_room(conn, self._limit)

    def remove(self, conn: LimitedConnection) -> None:
        """Remove a connection that is closed."""
        self._open.pop(conn, None)

    def _make_room(self, added: LimitedConnection, limit: int) -> None:
        ranked = sorted(
            (
                (conn.closing_rank(), position)
                for position, conn in enumerate(self._open)
                if conn is not added
            ),
        )
        excess = len(self._open) - limit + int(limit * BATCH_FRACTION)
        idle = [
            position for rank, position in ranked if rank < ClosingRank.BUSY
        ]
        conns = list(self._open)
        closed = [conns[position] for position in idle[:excess]] or [added]
        for conn in closed:
            self._open.pop(conn, None)
            conn.close_for_room()
        self.on_closed(len(closed))
