"""A token bucket whose refunds do not weaken the limit of any time window.

At admission a request is charged the most that it can use, and the unused
part is refunded when it ends. The refund is limited to what the bucket
would hold in addition now if the smaller amount had been charged from the
start: if the bucket has been full since the charge, those tokens would have
overflowed and are not refunded.
"""

from bisect import bisect_right
from typing import Final, NamedTuple

MAX_HEADROOM_MINIMA: Final = 64


class Charge(NamedTuple):
    """An amount taken from a bucket and the sequence number of the charge."""

    amount: float  # tokens
    seq: int


class _HeadroomMinimum(NamedTuple):
    seq: int
    headroom: float  # tokens


class TokenBucket:
    """One VM's share of a client account's rate and burst.

    For refunds the bucket keeps the minima of the headroom since earlier
    charges, in increasing order. Only the last :data:`MAX_HEADROOM_MINIMA`
    are kept; a charge that is older than those is not refunded.
    """

    def __init__(self, *, rate: float, capacity: float, now: float) -> None:
        self.rate = rate  # tokens/s
        self.capacity = capacity  # tokens
        self.level = 0.0  # tokens
        self.lent = 0.0  # tokens sent to other VMs and not yet settled
        self._updated = now
        self._seq = 0
        self._discarded_seq = 0
        self._headroom_minima: list[_HeadroomMinimum] = []

    @property
    def headroom(self) -> float:
        """Return the number of tokens that fit below the capacity."""
        return max(0.0, self.capacity - self.lent - self.level)

    def advance(self, now: float) -> None:
        """Add the tokens accrued since the last update."""
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self.level += min(self.headroom, elapsed * self.rate)

    def set_share(self, *, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the capacity are lost."""
        self.advance(now)
        self._record_headroom()
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, max(0.0, capacity - self.lent))
        if self.headroom <= 0:
            self._record_headroom()

    def take(self, amount: float, now: float) -> Charge | None:
        """Charge the whole amount; return ``None`` if tokens are short."""
        self.advance(now)
        if amount > self.level:
            return None
        self._record_headroom()
        self.level -= amount
        return Charge(amount, self._seq)

    def refund(self, charge: Charge, unused: float, now: float) -> float:
        """Refund the unused part of a charge; return the amount credited."""
        self.advance(now)
        self._record_headroom()
        if charge.seq < self._discarded_seq:
            return 0.0
        first = bisect_right(self._headroom_minima, charge.seq, key=_seq_of)
        later = self._headroom_minima[first:]
        credit = min(unused, later[0].headroom if later else 0.0)
        lowered = [
            _HeadroomMinimum(seq, headroom - credit) for seq, headroom in later
        ]
        earlier = self._headroom_minima[:first]
        while (
            lowered and earlier and earlier[-1].headroom >= lowered[0].headroom
        ):
            earlier.pop()
        self._headroom_minima = earlier + lowered
        self.level += credit
        return credit

    def lend(self, amount: float, now: float) -> float:
        """Remove up to ``amount`` tokens to lend them to another VM.

        The capacity is reduced by as much until :meth:`settle`, so that the
        tokens held and lent together never exceed the share's burst.
        """
        self.advance(now)
        granted = min(amount, self.level)
        self._record_headroom()
        self.level -= granted
        self.lent += granted
        return granted

    def settle(self, amount: float, now: float) -> None:
        """End a loan, whether its tokens were spent, returned or lost."""
        self.advance(now)
        self.lent = max(0.0, self.lent - amount)

    def deposit(self, amount: float, now: float) -> None:
        """Add tokens that a borrower returned, up to the headroom."""
        self.advance(now)
        self.level += min(self.headroom, amount)

    def wait_for(self, amount: float, now: float) -> float:
        """Return the time until the amount has accrued, in s."""
        self.advance(now)
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float('inf')

    def _record_headroom(self) -> None:
        self._seq += 1
        headroom = self.headroom
        minima = self._headroom_minima
        while minima and minima[-1].headroom >= headroom:
            minima.pop()
        minima.append(_HeadroomMinimum(self._seq, headroom))
        if len(minima) > MAX_HEADROOM_MINIMA:
            self._discarded_seq = minima.pop(0).seq


def _seq_of(minimum: _HeadroomMinimum) -> int:
    return minimum.seq
