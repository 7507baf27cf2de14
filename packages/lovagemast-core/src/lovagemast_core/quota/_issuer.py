"""The leader's side of quotas: one token bucket for each client account.

A token leaves the bucket when it is sent to an entry VM and is spent there at
most once. A lot that is lost in transit, or held by a VM that fails, is not
reissued. A new leader starts with the tokens that no leader issued between
the end of the former lease and its own election.

In any window an account spends at most the tokens that entry VMs hold at its
start, a full bucket, and its rate. Bucket and holdings are sized so that their
sum stays within the burst, its overage and the slack that operators allow.
"""

import math
from collections.abc import Iterable
from typing import Final

from .._types import AccountName, VmName
from ..deployment import AccountSpec
from ..targets import TokenLot, TokenWish
from ._bounds import TokenBounds

# Shorter than the election timeout by more than the initial fill of a bucket.
ISSUE_LEASE_S: Final = 0.35
INITIAL_FILL_S: Final = 0.25  # of an account's rate
# Of a bucket's capacity, reserved for queued requests.
RESERVED_FRACTION: Final = 0.25
UNMET_TTL_S: Final = 0.5  # relays repeat unmet wishes more often


class _Bucket:
    """Tokens of one account that may be issued."""

    def __init__(self, account: AccountSpec, now: float) -> None:
        self.tokens = account.rate * INITIAL_FILL_S
        self.refilled_at = now  # s
        self._unmet: dict[VmName, tuple[float, float]] = {}  # by relay

    def refill(self, account: AccountSpec, capacity: float, now: float) -> None:
        refilled = self.tokens + account.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(capacity, refilled)
        self.refilled_at = now

    def take(self, wanted: float) -> float:
        taken = max(0.0, min(wanted, self.tokens))
        self.tokens -= taken
        return taken

    def record_unmet(self, relay: VmName, tokens: float, now: float) -> None:
        """Record what a relay wishes and did not get."""
        self._unmet[relay] = (tokens, now)

    def wait_s(self, account: AccountSpec, now: float) -> float:
        """Return the expected time until all unmet wishes are met."""
        unmet = sum(
            tokens
            for tokens, at in self._unmet.values()
            if now - at < UNMET_TTL_S
        )
        return max(0.0, unmet - self.tokens) / account.rate


class TokenIssuer:
    """Issues tokens to entry VMs while this VM leads."""

    def __init__(self, bounds: TokenBounds) -> None:
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
        relay: VmName = '',
    ) -> tuple[TokenLot, ...]:
        """Issue tokens for the wishes of a relay and return the lots.

        Queued requests come first: tokens held ahead leave a reserve in the
        bucket.
        """
        self._refill(accounts, now)
        lots = []
        for wish in wishes:
            spec = accounts.get(wish.account)
            if spec is None or spec.rate <= 0:
                continue
            bucket = self._bucket(spec, now)
            taken = self._take(bucket, wish.tokens)
            short = taken < wish.tokens
            bucket.record_unmet(relay, wish.tokens - taken, now)
            reserved = RESERVED_FRACTION * self._bounds.bucket_capacity(spec)
            ahead = min(wish.ahead, bucket.tokens - reserved)
            taken += self._take(bucket, ahead)
            if taken > 0 or short:
                wait_s = bucket.wait_s(spec, now) if short else 0.0
                lots.append(TokenLot(wish.account, taken, short, wait_s=wait_s))
        return tuple(lots)

    def exhausted(
        self, accounts: dict[AccountName, AccountSpec], now: float
    ) -> frozenset[AccountName]:
        """Return the accounts whose buckets hold less than one token."""
        self._refill(accounts, now)
        return frozenset(
            name
            for name, account in accounts.items()
            if self._bucket(account, now).tokens < 1
        )

    def _refill(
        self, accounts: dict[AccountName, AccountSpec], now: float
    ) -> None:
        for account in accounts.values():
            if account.rate > 0:
                capacity = self._bounds.bucket_capacity(account)
                self._bucket(account, now).refill(account, capacity, now)

    def _take(self, bucket: _Bucket, wanted: float) -> float:
        if self._bounds.is_whole:
            wanted = math.floor(min(wanted, bucket.tokens))
        return bucket.take(wanted)

    def _bucket(self, account: AccountSpec, now: float) -> _Bucket:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(account, now)
            self._buckets[account.name] = bucket
        return bucket
