"""The leader's side of quotas: one token bucket for each client account.

A token leaves the bucket when it is sent to an entry VM and is spent there at
most once. A lot that is lost in transit, or held by a VM that fails, is not
reissued. A new leader starts with the tokens that no leader issued between
the end of the former lease and its own election.

In any window an account spends at most the tokens that entry VMs hold at its
start, a full bucket, and its rate. Bucket and holdings are sized so that their
sum stays within the burst, its overage and the slack that operators allow.
"""

from collections.abc import Iterable
from typing import Final

from .._types import AccountName
from ..deployment import AccountSpec
from ..targets import TokenLot, TokenWish
from ._bounds import QuotaBounds

# Shorter than the election timeout by more than the initial fill of a bucket.
ISSUE_LEASE_S: Final = 0.35
INITIAL_FILL_S: Final = 0.25  # of an account's rate
# Of a bucket's capacity, reserved for queued requests.
RESERVED_FRACTION: Final = 0.25


class _Bucket:
    """Tokens of one account that may be issued."""

    def __init__(self, account: AccountSpec, now: float) -> None:
        self.tokens = account.rate * INITIAL_FILL_S
        self.refilled_at = now  # s

    def refill(self, account: AccountSpec, capacity: float, now: float) -> None:
        refilled = self.tokens + account.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(capacity, refilled)
        self.refilled_at = now

    def take(self, wanted: float) -> float:
        taken = max(0.0, min(wanted, self.tokens))
        self.tokens -= taken
        return taken


class TokenIssuer:
    """Issues tokens to entry VMs while this VM leads."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[AccountName, _Bucket] = {}

    def reset(self) -> None:
        """Discard all buckets, at the start of a term."""
        self._buckets.clear()

    def issue(
        self,
        wishes: Iterable[TokenWish],
        accounts: dict[AccountName, AccountSpec],
        now: float,
    ) -> tuple[TokenLot, ...]:
        """Issue tokens for the wishes of an entry VM and return the lots.

        Queued requests come first: tokens held ahead leave a reserve in the
        bucket.
        """
        for account in accounts.values():
            if account.rate > 0:
                capacity = self._bounds.bucket_capacity(account)
                self._bucket(account, now).refill(account, capacity, now)
        lots = []
        for wish in wishes:
            spec = accounts.get(wish.account)
            if spec is None or spec.rate <= 0:
                continue
            bucket = self._bucket(spec, now)
            taken = bucket.take(wish.tokens)
            short = taken < wish.tokens
            reserved = RESERVED_FRACTION * self._bounds.bucket_capacity(spec)
            taken += bucket.take(min(wish.ahead, bucket.tokens - reserved))
            if taken > 0 or short:
                lots.append(TokenLot(wish.account, taken, short))
        return tuple(lots)

    def _bucket(self, account: AccountSpec, now: float) -> _Bucket:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(account, now)
            self._buckets[account.name] = bucket
        return bucket
