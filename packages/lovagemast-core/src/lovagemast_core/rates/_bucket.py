"""A token bucket whose refunds never raise what any window may spend.

A charge is made at admission for the most that a request can use. When
the request ends, the unused part is credited only as far as the bucket
would hold it now had the smaller charge been made in the first place: a
bucket that has since been full has already lost that credit.
"""

from bisect import bisect_right
from typing import Final, NamedTuple

MAX_LOW_POINTS: Final = 64


class Charge(NamedTuple):
    """An amount taken from a bucket, and its place in the order."""

    amount: float  # tokens
    seq: int


class _LowPoint(NamedTuple):
    seq: int
    room: float  # tokens


class TokenBucket:
    """A share of one client account's rate and burst, held by one VM."""

    def __init__(self, *, rate: float, cap: float, now: float) -> None:
        self.rate = rate  # tokens/s
        self.cap = cap  # tokens
        self.level = 0.0  # tokens
        self.lent = 0.0  # tokens sent to other VMs and not yet settled
        self._updated = now
        self._seq = 0
        self._forgotten_seq = 0
        self._low_points: list[_LowPoint] = []

    @property
    def room(self) -> float:
        """Return how many tokens the bucket can still hold."""
        return max(0.0, self.cap - self.lent - self.level)

    def advance(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self.level += min(self.room, elapsed * self.rate)

    def set_share(self, *, rate: float, cap: float, now: float) -> None:
        """Change the share; tokens above a smaller cap are lost."""
        self.advance(now)
        self._note_room()
        self.rate = rate
        self.cap = cap
        self.level = min(self.level, max(0.0, cap - self.lent))
        if self.room <= 0:
            self._note_room()

    def take(self, amount: float, now: float) -> Charge | None:
        """Take an amount whole, or nothing."""
        self.advance(now)
        if amount > self.level:
            return None
        self._note_room()
        self.level -= amount
        return Charge(amount, self._seq)

    def refund(self, charge: Charge, unused: float, now: float) -> float:
        """Credit the unused part of a charge and return what was added."""
        self.advance(now)
        self._note_room()
        if charge.seq < self._forgotten_seq:
            return 0.0
        first = bisect_right(self._low_points, charge.seq, key=_seq_of)
        later = self._low_points[first:]
        credit = min(unused, later[0].room if later else 0.0)
        lowered = [_LowPoint(seq, room - credit) for seq, room in later]
        earlier = self._low_points[:first]
        while lowered and earlier and earlier[-1].room >= lowered[0].room:
            earlier.pop()
        self._low_points = earlier + lowered
        self.level += credit
        return credit

    def lend(self, amount: float, now: float) -> float:
        """Set aside up to ``amount`` tokens for another VM.

        The cap shrinks by as much until :meth:`settle`, so that tokens in
        flight and tokens held never exceed the share's burst together.
        """
        self.advance(now)
        granted = min(amount, self.level)
        self._note_room()
        self.level -= granted
        self.lent += granted
        return granted

    def settle(self, amount: float, now: float) -> None:
        """End a loan whose tokens were spent, dropped or lost."""
        self.advance(now)
        self.lent = max(0.0, self.lent - amount)

    def put_back(self, amount: float, now: float) -> None:
        """Add borrowed tokens that were not needed, as far as they fit."""
        self.advance(now)
        self.level += min(self.room, amount)

    def wait_for(self, amount: float, now: float) -> float:
        """Return in how many seconds the amount can have accrued."""
        self.advance(now)
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float('inf')

    def _note_room(self) -> None:
        self._seq += 1
        room = self.room
        points = self._low_points
        while points and points[-1].room >= room:
            points.pop()
        points.append(_LowPoint(self._seq, room))
        if len(points) > MAX_LOW_POINTS:
            self._forgotten_seq = points.pop(0).seq


def _seq_of(point: _LowPoint) -> int:
    return point.seq
