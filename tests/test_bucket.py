"""Tests of the token bucket."""

from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core.rates._bucket import TokenBucket

RATE = 10.0
CAP = 50.0

steps = st.lists(
    st.tuples(
        st.sampled_from(('take', 'refund', 'lend', 'settle')),
        st.floats(0.0, 60.0),
        st.floats(0.0, 5.0),
    ),
    max_size=60,
)


def full_bucket() -> TokenBucket:
    """Return a bucket that has accrued its whole cap."""
    bucket = TokenBucket(rate=RATE, cap=CAP, now=0)
    bucket.advance(100)
    return bucket


class TestTake:
    """Taking tokens."""

    def test_starts_empty(self) -> None:
        """A new bucket holds nothing, as its past is not known."""
        assert TokenBucket(rate=RATE, cap=CAP, now=0).take(1, 0) is None

    def test_takes_whole_or_nothing(self) -> None:
        """An amount above the level leaves the level as it is."""
        bucket = full_bucket()
        assert bucket.take(CAP + 1, 100) is None
        assert bucket.level == CAP

    def test_accrues_up_to_cap(self) -> None:
        """Tokens accrue at the rate and stop at the cap."""
        bucket = full_bucket()
        bucket.take(CAP, 100)
        bucket.advance(102)
        assert bucket.level == 2 * RATE
        bucket.advance(200)
        assert bucket.level == CAP


class TestRefund:
    """Crediting what a request did not use."""

    def test_credits_unused(self) -> None:
        """The unused part comes back while the bucket has not been full."""
        bucket = full_bucket()
        charge = bucket.take(40, 100)
        assert charge
        assert bucket.refund(charge, 30, 101) == 30

    def test_full_bucket_has_lost_the_credit(self) -> None:
        """A bucket that was full since the charge gets nothing back."""
        bucket = full_bucket()
        charge = bucket.take(40, 100)
        assert charge
        bucket.take(1, 110)
        assert bucket.refund(charge, 30, 110) <= 1

    def test_credits_do_not_add_up(self) -> None:
        """Two charges share the room that was left."""
        bucket = full_bucket()
        first = bucket.take(20, 100)
        second = bucket.take(20, 100)
        assert first
        assert second
        bucket.advance(103)
        credited = bucket.refund(first, 20, 103)
        credited += bucket.refund(second, 20, 103)
        assert credited <= bucket.cap - 10 - 30 + 1e-9


class TestWindows:
    """What any window of time may spend."""

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
            assert bucket.level + bucket.lent <= CAP + 1e-6
        for first in range(len(spends)):
            total = 0.0
            for at, amount in spends[first:]:
                total += amount
                assert total <= CAP + RATE * (at - spends[first][0]) + 1e-6
