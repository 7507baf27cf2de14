"""Tests of the token bucket."""

from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core.rates._bucket import TokenBucket

RATE = 10.0
CAPACITY = 50.0

steps = st.lists(
    st.tuples(
        st.sampled_from(('take', 'refund', 'lend', 'settle')),
        st.floats(0.0, 60.0),
        st.floats(0.0, 5.0),
    ),
    max_size=60,
)


def full_bucket() -> TokenBucket:
    """Return a bucket that is filled to its capacity."""
    bucket = TokenBucket(rate=RATE, capacity=CAPACITY, now=0)
    bucket.advance(100)
    return bucket


class TestTake:
    """Charges to the bucket."""

    def test_starts_empty(self) -> None:
        """A new bucket is empty, as earlier charges are unknown."""
        assert (
            TokenBucket(rate=RATE, capacity=CAPACITY, now=0).take(1, 0) is None
        )

    def test_takes_whole_or_nothing(self) -> None:
        """An amount above the level is refused and the level is kept."""
        bucket = full_bucket()
        assert bucket.take(CAPACITY + 1, 100) is None
        assert bucket.level == CAPACITY

    def test_accrues_up_to_cap(self) -> None:
        """Tokens accrue at the rate and stop at the capacity."""
        bucket = full_bucket()
        bucket.take(CAPACITY, 100)
        bucket.advance(102)
        assert bucket.level == 2 * RATE
        bucket.advance(200)
        assert bucket.level == CAPACITY


class TestRefund:
    """Refunds of tokens that a request did not use."""

    def test_credits_unused(self) -> None:
        """The unused part is refunded if the bucket has not been full."""
        bucket = full_bucket()
        charge = bucket.take(40, 100)
        assert charge
        assert bucket.refund(charge, 30, 101) == 30

    def test_full_bucket_has_lost_the_credit(self) -> None:
        """The refund is lost if the bucket was full after the charge."""
        bucket = full_bucket()
        charge = bucket.take(40, 100)
        assert charge
        bucket.take(1, 110)
        assert bucket.refund(charge, 30, 110) <= 1

    def test_credits_do_not_add_up(self) -> None:
        """Two refunds share the headroom left since the charges."""
        bucket = full_bucket()
        first = bucket.take(20, 100)
        second = bucket.take(20, 100)
        assert first
        assert second
        bucket.advance(103)
        credited = bucket.refund(first, 20, 103)
        credited += bucket.refund(second, 20, 103)
        assert credited <= bucket.capacity - 10 - 30 + 1e-9


class TestWindows:
    """Net spending in any time window."""

    @given(steps)
    def test_net_spending_is_bounded(
        self,
        plan: list[tuple[str, float, float]],
    ) -> None:
        """Net charges over any window stay within burst and rate."""
        bucket = full_bucket()
        now = 100.0
        spends: list[list[float]] = []
        charges = []
        lent: list[float] = []
        for action, amount, pause in plan:
            now += pause
            if action == 'take':
                charge = bucket.take(amount, now)
                if charge:
                    spends.append([now, amount])
                    charges.append((charge, spends[-1]))
            elif action == 'refund' and charges:
                charge, spend = charges.pop()
                spend[1] -= bucket.refund(charge, charge.amount / 2, now)
            elif action == 'lend':
                lent.append(bucket.lend(amount, now))
            elif action == 'settle' and lent:
                bucket.settle(lent.pop(), now)
            assert bucket.level + bucket.lent <= CAPACITY + 1e-6
        for first in range(len(spends)):
            total = 0.0
            for at, amount in spends[first:]:
                total += amount
                assert total <= CAPACITY + RATE * (at - spends[first][0]) + 1e-6
