"""Limits an entry VM's requests to targets that name a limit.

Each request to such a target spends a token that the leader has issued for
it, so that all entry VMs together keep to the limit, whoever knows of it and
however the fleet changes. An entry VM that the leader does not reach uses an
equal share by rank.
"""

from collections.abc import Collection
from typing import NamedTuple

from .._types import TargetName
from ..quota import LocalTokens
from ..targetlimits import (
    MIN_LIMIT_PER_S,
    LimitExchange,
    SendBounds,
    account_of,
)
from ..targets import TokenLot, TokenWish
from ._limits import EntryShare
from ._view import KnownTarget


class SendTerms(NamedTuple):
    """What decides, besides tokens, whether an entry VM may send."""

    share: EntryShare
    is_isolated: bool  # nothing was heard of the leader for some time


class SendPermit(NamedTuple):
    """Permission to send one request."""

    target: TargetName
    given_at: float  # s
    is_limited: bool
    has_token: bool  # else an own share, or no limit


class SendLimiter:
    """Tokens and own shares for requests to limited targets."""

    def __init__(self) -> None:
        self.exchange = LimitExchange()
        self._tokens = LocalTokens(SendBounds())
        self._shares = IsolatedShares()

    def limit_of(self, known: KnownTarget) -> float | None:
        """Return a target's limit in requests/s, ``None`` if it has none."""
        record = known.record
        return self.exchange.known.limit_of(record.target, record.incarnation)

    def may_send(
        self, known: KnownTarget, terms: SendTerms, now: float
    ) -> bool:
        """Return whether a target may be sent one more request."""
        limit = self.limit_of(known)
        if limit is None:
            return True
        target = known.record.target
        if self._tokens.can_spend(account_of(target, limit), 1.0, now):
            return True
        return terms.is_isolated and self._shares.may_send(
            target, limit, terms.share, now
        )

    def try_send(
        self, known: KnownTarget, terms: SendTerms, now: float
    ) -> SendPermit | None:
        """Count a request about to be sent; ``None`` if it may not be."""
        if not self.may_send(known, terms, now):
            return None
        target = known.record.target
        limit = self.limit_of(known)
        if limit is None:
            return SendPermit(target, now, is_limited=False, has_token=False)
        has_token = self._tokens.spend(account_of(target, limit), 1.0, now)
        if not has_token:
            self._shares.record_request(target, limit, terms.share, now)
        return SendPermit(target, now, is_limited=True, has_token=has_token)

    def cancel(self, permit: SendPermit, now: float) -> None:
        """Return the token of a request that was not sent after all."""
        if permit.has_token:
            account = account_of(permit.target, MIN_LIMIT_PER_S)
            self._tokens.refund(account, 1.0, permit.given_at, now)

    def add_waiting(self, target: TargetName, change: int, now: float) -> None:
        """Change the number of requests that wait for a target's tokens."""
        self._tokens.add_waiting(account_of(target, 0.0), change, now)

    def expected_wait_s(self, target: TargetName, now: float) -> float:
        """Return how long requests of all VMs wait for a target, in s.

        It is 0 unless the leader has just reported a shortage of tokens.
        """
        return self._tokens.shortage_wait_s(account_of(target, 0.0), now)

    def wishes(self, now: float) -> tuple[TokenWish, ...]:
        """Return the tokens to request, for requests that wait."""
        accounts = self.exchange.known.accounts()
        return self._tokens.wishes(accounts, 1, now)

    def add(self, lot: TokenLot, now: float) -> None:
        """Add tokens that the leader has issued."""
        self._tokens.add(lot, now)

    def retain(self, present: Collection[TargetName], now: float) -> None:
        """Forget the targets that are not in ``present``."""
        self.exchange.known.retain(present, now)
        self._tokens.retain(present)
        self._shares.retain(present)


class IsolatedShares:
    """Equal shares of limits, for entry VMs that the leader does not reach.

    If there are more entry VMs than a target takes requests per second, only
    those of the lowest ranks send any.
    """

    def __init__(self) -> None:
        self._next_at: dict[TargetName, float] = {}  # s

    def may_send(
        self, target: TargetName, limit: float, share: EntryShare, now: float
    ) -> bool:
        """Return whether the share allows one more request."""
        if share.rank >= _senders(limit, share):
            return False
        return now >= self._next_at.get(target, 0.0)

    def record_request(
        self, target: TargetName, limit: float, share: EntryShare, now: float
    ) -> None:
        """Count a request that is sent now."""
        self._next_at[target] = now + _senders(limit, share) / limit

    def retain(self, present: Collection[TargetName]) -> None:
        """Forget the targets that are not in ``present``."""
        for target in set(self._next_at) - set(present):
            self._next_at.pop(target)


def _senders(limit: float, share: EntryShare) -> int:
    """Return how many entry VMs share a limit."""
    return min(share.entries, max(1, int(limit)))
