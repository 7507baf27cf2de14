"""The leader's side of quotas: one bucket for each client account.

A token leaves the bucket when it is sent to an entry VM and is spent there
at most once. A lot that is lost on its way, or held by a VM that dies, is
gone. A new leader starts with what no leader handed out between the end of
the former lease and its own election.

Over any window an account spends at most what entry VMs hold at its start,
a full bucket, and its rate. Bucket and holdings are sized so that their sum
stays within the burst, its overage and the slack that operators allow.
"""

from collections.abc import Iterable
from typing import Final

from .._types import AccountName
from ..deployment import AccountSpec
from ..targets import TokenLot, TokenWish
from ._bounds import QuotaBounds

# Below the election timeout by more than the start of a bucket is worth.
ISSUE_LEASE_S: Final = 0.35
START_S: Final = 0.25  # of an account's rate
# Of a bucket, kept for requests that wait somewhere.
KEPT_PART: Final = 0.25


class _Bucket:
    """Tokens that may be handed out."""

    def __init__(self, account: AccountSpec, now: float) -> None:
        self.tokens = account.rate * START_S
        self.filled_at = now  # s

    def fill(self, account: AccountSpec, most: float, now: float) -> None:
        grown = self.tokens + account.rate * max(0.0, now - self.filled_at)
        self.tokens = min(most, grown)
        self.filled_at = now

    def take(self, wanted: float) -> float:
        taken = max(0.0, min(wanted, self.tokens))
        self.tokens -= taken
        return taken


class TokenIssuer:
    """Hands out tokens while this VM leads."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[AccountName, _Bucket] = {}

    def restart(self) -> None:
        """Forget all buckets, at the start of a term."""
        self._buckets.clear()

    def issue(
        self,
        wishes: Iterable[TokenWish],
        accounts: dict[AccountName, AccountSpec],
        now: float,
    ) -> tuple[TokenLot, ...]:
        """Return the tokens that an entry VM gets for its wishes."""
        for account in accounts.values():
            if account.rate > 0:
                most = self._bounds.bucket(account)
                self._bucket(account, now).fill(account, most, now)
        lots = []
        for wish in wishes:
            known = accounts.get(wish.account)
            if known is None or known.rate <= 0:
                continue
            bucket = self._bucket(known, now)
            taken = bucket.take(wish.tokens)
            short = taken < wish.tokens
            kept = KEPT_PART * self._bounds.bucket(known)
            taken += bucket.take(min(wish.ahead, bucket.tokens - kept))
            if taken > 0 or short:
                lots.append(TokenLot(wish.account, taken, short))
        return tuple(lots)

    def _bucket(self, account: AccountSpec, now: float) -> _Bucket:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(account, now)
            self._buckets[account.name] = bucket
        return bucket
