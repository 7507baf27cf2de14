"""The entry VM's side of quotas: tokens that it holds and may spend."""

import math
from collections.abc import Collection
from typing import Final

from .._types import AccountName
from ..deployment import AccountSpec
from ..targets import TokenLot, TokenWish
from ._bounds import TokenBounds

DEMAND_WINDOW_S: Final = 2.0  # over which demand is averaged
PREFETCH_S: Final = 2.5  # of demand; covers the election of a leader
SHORTAGE_TTL_S: Final = 0.3  # until a shortage no longer counts as current
PREFETCH_PAUSE_S: Final = 2.0  # without tokens held ahead, after a shortage
MIN_RATE: Final = 1.0  # tokens/s
LOT_TTL_S: Final = 4.0  # a lowered limit takes full effect after this time
RENEWAL_AGE_S: Final = 2.5  # age at which a replacement is requested


class _AccountTokens:
    """Lots of one account, oldest first, with its demand and grants."""

    def __init__(self, now: float) -> None:
        self.lots: list[tuple[float, float]] = []  # granted at, tokens
        self.demand = 0.0  # tokens/s
        self.demand_at = now
        self.waiting = 0.0  # tokens that queued requests need
        self.urgent = 0.0  # the part of them for urgent requests
        self.short_at = float('-inf')  # s, of the last shortage
        self.short_wait_s = 0.0  # expected at the last shortage
        self.granted = 0.0  # tokens/s
        self.granted_at = now

    def expire(self, now: float) -> None:
        self.lots = [lot for lot in self.lots if now - lot[0] < LOT_TTL_S]

    def held(self) -> float:
        return sum(tokens for _at, tokens in self.lots)

    def fresh(self, now: float) -> float:
        return sum(
            tokens for at, tokens in self.lots if now - at < RENEWAL_AGE_S
        )

    def record_demand(self, tokens: float, now: float) -> None:
        decay = math.exp(-(now - self.demand_at) / DEMAND_WINDOW_S)
        self.demand = self.demand * decay + tokens / DEMAND_WINDOW_S
        self.demand_at = now

    def record_grant(self, tokens: float, now: float) -> None:
        decay = math.exp(-(now - self.granted_at) / DEMAND_WINDOW_S)
        self.granted = self.granted * decay + tokens / DEMAND_WINDOW_S
        self.granted_at = now

    def demand_now(self, now: float) -> float:
        age = now - self.demand_at
        return self.demand * math.exp(-age / DEMAND_WINDOW_S)


class LocalTokens:
    """Spends tokens for requests and requests more from the leader."""

    def __init__(self, bounds: TokenBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[AccountName, _AccountTokens] = {}

    def record_demand(
        self, account: AccountSpec, cost: float, now: float
    ) -> None:
        """Count a request's cost as demand, whether or not it is admitted."""
        self._account(account.name, now).record_demand(cost, now)

    def can_spend(
        self,
        account: AccountSpec,
        cost: float,
        now: float,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Return whether enough tokens are held for a cost.

        Those that urgent requests wait for are left to them.
        """
        state = self._account(account.name, now)
        state.expire(now)
        reserved = 0.0 if is_urgent else state.urgent
        return account.rate <= 0 or state.held() >= cost + reserved

    def spend(
        self,
        account: AccountSpec,
        cost: float,
        now: float,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Spend a request's cost; return whether enough tokens were held.

        The oldest lots are spent first. Accounts without a rate are not
        limited.
        """
        if account.rate <= 0:
            return True
        if not self.can_spend(account, cost, now, is_urgent=is_urgent):
            return False
        state = self._account(account.name, now)
        remaining = cost
        while remaining > 0 and state.lots:
            granted_at, tokens = state.lots[0]
            if tokens > remaining:
                state.lots[0] = (granted_at, tokens - remaining)
                return True
            remaining -= tokens
            state.lots.pop(0)
        return True

    def refund(
        self,
        account: AccountSpec,
        cost: float,
        spent_at: float,
        now: float,
    ) -> None:
        """Return the cost of a request that no target executed.

        The tokens expire as if they had been granted when they were spent.
        """
        if account.rate > 0 and now - spent_at < LOT_TTL_S:
            state = self._account(account.name, now)
            state.lots.insert(0, (spent_at, cost))

    def add_waiting(
        self,
        account: AccountSpec,
        cost: float,
        now: float,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Add a queued request's cost, or remove it by a negative cost."""
        state = self._account(account.name, now)
        state.waiting += cost
        if is_urgent:
            state.urgent += cost

    def is_short(self, account: AccountSpec, now: float) -> bool:
        """Return whether the leader has just reported a shortage of tokens."""
        state = self._account(account.name, now)
        return now - state.short_at < SHORTAGE_TTL_S

    def shortage_wait_s(self, account: AccountSpec, now: float) -> float:
        """Return the wait that the leader expected at the last shortage.

        It is 0 if there was none just now. Requests from all VMs wait.
        """
        if not self.is_short(account, now):
            return 0.0
        state = self._account(account.name, now)
        return max(0.0, state.short_wait_s - (now - state.short_at))

    def add(self, lot: TokenLot, now: float) -> None:
        """Add a lot of tokens that the leader has issued.

        Its lifetime began when the relay received it.
        """
        state = self._account(lot.account, now)
        if lot.short:
            state.short_at = now
            state.short_wait_s = lot.wait_s
        if lot.tokens > 0:
            state.lots.append((now - lot.age_s, lot.tokens))
            state.record_grant(lot.tokens, now)

    def wishes(
        self,
        accounts: dict[AccountName, AccountSpec],
        entries: int,
        now: float,
    ) -> tuple[TokenWish, ...]:
        """Return how many tokens of each account to request.

        ``entries`` is the number of entry VMs that share what may be held.
        """
        wishes = []
        for name, state in self._accounts.items():
            account = accounts.get(name)
            if account is None or account.rate <= 0:
                continue
            state.expire(now)
            held = state.held()
            required = max(0.0, state.waiting - held)
            headroom = self._bounds.max_held(account) / entries - held
            prefetch = state.demand_now(now) * PREFETCH_S
            prefetch += state.waiting - required - state.fresh(now)
            ahead = max(0.0, min(prefetch, headroom))
            if now - state.short_at < PREFETCH_PAUSE_S:
                ahead = 0.0  # tokens held ahead might expire unused
            if required + ahead > 0:
                wishes.append(TokenWish(name, required, ahead))
        return tuple(wishes)

    def expected_wait_s(
        self,
        account: AccountSpec,
        cost: float,
        entries: int,
        now: float,
        *,
        is_urgent: bool = False,
    ) -> float:
        """Return the expected wait of a request behind queued ones, in s."""
        state = self._account(account.name, now)
        even_share = account.rate / max(1, entries)
        rate = max(state.granted, even_share, MIN_RATE)
        queued = state.urgent if is_urgent else state.waiting
        return (queued + cost) / rate

    def retain(self, names: Collection[AccountName]) -> None:
        """Forget the accounts that are not in ``names``.

        Those that requests still wait for are kept, so that the count of
        these stays right.
        """
        for name in set(self._accounts) - set(names):
            if not self._accounts[name].waiting:
                self._accounts.pop(name)

    def _account(self, name: AccountName, now: float) -> _AccountTokens:
        return self._accounts.setdefault(name, _AccountTokens(now))
