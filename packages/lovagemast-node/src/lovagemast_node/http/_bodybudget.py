"""Bounds the memory that a process uses for messages of its connections.

Each message is bounded by itself, but many come at a time. One account of all
that is held decides: when it runs out, the incomplete messages that hold much
and have moved little lately are given up first. A message that still finds no
room is refused at once, so that the process and all other requests live on.
"""

import sys
from collections.abc import Callable
from typing import Final

from .._clock import now_s

MAX_BODIES_BYTES: Final = 64 * 1_048_576
# Of each body, which isn't counted as large: small ones pass while large ones
# don't.
FREE_BYTES: Final = 65_536
# Over which progress is measured: longer than pauses of an ordinary upload.
PROGRESS_WINDOW_S: Final = 0.5
# Of a message that has just begun, so that its rate means something.
MIN_AGE_S: Final = 0.05


def _ignore(_count: int) -> None:
    """Do nothing about messages that were given up."""


class BodyBudget:
    """The memory that all messages of a process may use.

    The first ``FREE_BYTES`` of each body, and heads, have a limit of their
    own, which large bodies can't use up.
    """

    def __init__(
        self,
        limit_bytes: int = MAX_BODIES_BYTES,
        small_limit_bytes: int = sys.maxsize,
    ) -> None:
        self.used_bytes = 0  # of large bodies, beyond what is small of each
        self.small_bytes = 0
        self.on_evicted: Callable[[int], None] = _ignore
        self._limit_bytes = limit_bytes
        self._small_limit_bytes = small_limit_bytes
        self._incomplete: dict[BodyShare, None] = {}

    def try_add(self, count: int, share: 'BodyShare | None' = None) -> bool:
        """Reserve some bytes if there is room; return whether."""
        if self.used_bytes + count > self._limit_bytes and not self._evict(
            lambda: self.used_bytes + count <= self._limit_bytes, share
        ):
            return False
        self.used_bytes += count
        return True

    def try_add_small(
        self, count: int, share: 'BodyShare | None' = None
    ) -> bool:
        """Reserve some bytes of small messages; return whether."""
        limit = self._small_limit_bytes
        if self.small_bytes + count > limit and not self._evict(
            lambda: self.small_bytes + count <= limit, share
        ):
            return False
        self.small_bytes += count
        return True

    def remove(self, count: int, small: int = 0) -> None:
        """Return bytes that were reserved."""
        self.used_bytes -= count
        self.small_bytes -= small

    def add_incomplete(self, share: 'BodyShare') -> None:
        """Add a message that may be given up."""
        self._incomplete[share] = None

    def remove_incomplete(self, share: 'BodyShare') -> None:
        """Remove a message that may not be given up any more."""
        self._incomplete.pop(share, None)

    def exceeds_limit(self, size: int) -> bool:
        """Return whether a message could never find room."""
        return size - FREE_BYTES > self._limit_bytes

    def _evict(
        self, has_room: Callable[[], bool], wanting: 'BodyShare | None'
    ) -> bool:
        """Give up incomplete messages until there is room; return whether.

        The one that wants room may itself be the one to give up.
        """
        now = now_s()
        ranked = sorted(self._incomplete, key=lambda share: share.rank(now))
        evicted = 0
        for share in ranked:
            if share is wanting or has_room():
                break
            share.evict()
            evicted += 1
        if evicted:
            self.on_evicted(evicted)
        return has_room()


class _Progress:
    """How fast an incomplete message arrives.

    The rate is that since the last mark, and over a span of time before it.
    """

    def __init__(self, now: float) -> None:
        self.received = 0
        self._marked = 0
        self._marked_at = now
        self._former_bytes = 0
        self._former_s = 0.0

    def take_rate(self, now: float) -> float:
        """Return the rate in bytes/s; set a mark if the last one is old."""
        moved = self.received - self._marked
        elapsed_s = now - self._marked_at
        span_s = max(MIN_AGE_S, self._former_s + elapsed_s)
        rate = (self._former_bytes + moved) / span_s
        if elapsed_s > PROGRESS_WINDOW_S:
            self._marked = self.received
            self._marked_at = now
            self._former_bytes = moved
            self._former_s = elapsed_s
        return rate


class BodyShare:
    """What one message uses of the budget, until it is released.

    With ``evict``, the message may be given up while it is incomplete.
    """

    def __init__(
        self, budget: BodyBudget, evict: Callable[[], None] | None = None
    ) -> None:
        self._budget = budget
        self._evict = evict
        self._counted = 0
        self._small = 0
        self._head = 0
        self._progress: _Progress | None = None  # while it is incomplete

    def try_grow(self, size: int) -> bool:
        """Reserve room for a body's bytes in total; return whether."""
        small = min(size, FREE_BYTES) - self._small
        if small > 0:
            if not self._budget.try_add_small(small, self):
                return False
            self._small += small
        added = size - FREE_BYTES - self._counted
        if added > 0:
            if not self._budget.try_add(added, self):
                return False
            self._counted += added
        return True

    def try_hold_head(self, size: int) -> bool:
        """Reserve room for a head's bytes in total; return whether."""
        added = size - self._head
        if added > 0:
            if not self._budget.try_add_small(added, self):
                return False
            self._head = size
        return True

    def mark_incomplete(self, received: int) -> None:
        """Note that a message is incomplete, and how much of it has come."""
        if self._evict is None:
            return
        if self._progress is None:
            self._progress = _Progress(now_s())
            self._budget.add_incomplete(self)
        self._progress.received = received

    def mark_complete(self) -> None:
        """Note that a message is complete, and is not given up any more."""
        if self._progress:
            self._progress = None
            self._budget.remove_incomplete(self)

    def release(self) -> None:
        """Return all that was reserved."""
        if self._progress:
            self.mark_complete()
        self._budget.remove(self._counted, self._small + self._head)
        self._counted = 0
        self._small = 0
        self._head = 0

    def rank(self, now: float) -> tuple[float, int]:
        """Return a key that is least for what holds most and moves least."""
        held = self._counted + self._small + self._head
        rate = self._progress.take_rate(now) if self._progress else 0.0
        return rate / max(1, held), -held

    def evict(self) -> None:
        """Give up the message."""
        self.mark_complete()
        if self._evict:
            self._evict()
