"""An entry VM's side of quotas: tokens that it holds and may spend."""

import math
from typing import Final

from .._types import AccountName
from ..deployment import AccountSpec
from ..targets import TokenLot, TokenWish
from ._bounds import QuotaBounds

DEMAND_WINDOW_S: Final = 2.0  # over which demand is averaged
HOLD_S: Final = 2.5  # of demand, which bridges the election of a leader
SHORT_S: Final = 0.3
SCARCE_S: Final = 2.0
LEAST_RATE: Final = 1.0  # tokens a second
LOT_TTL_S: Final = 4.0  # a lower limit binds once older lots have expired
RENEW_S: Final = 2.5  # age from which a lot is replaced before it expires


class _Account:
    """Lots of one account, oldest first, and its demand."""

    def __init__(self, now: float) -> None:
        self.lots: list[tuple[float, float]] = []  # granted at, tokens
        self.demand = 0.0  # tokens a second
        self.demand_at = now
        self.waiting = 0.0  # tokens that requests wait for
        self.short_at = float('-inf')  # s, when the bucket was last empty
        self.granted = 0.0  # tokens a second
        self.granted_at = now

    def expire(self, now: float) -> None:
        self.lots = [lot for lot in self.lots if now - lot[0] < LOT_TTL_S]

    def held(self) -> float:
        return sum(tokens for _at, tokens in self.lots)

    def fresh(self, now: float) -> float:
        return sum(tokens for at, tokens in self.lots if now - at < RENEW_S)

    def record_demand(self, tokens: float, now: float) -> None:
        decay = math.exp(-(now - self.demand_at) / DEMAND_WINDOW_S)
        self.demand = self.demand * decay + tokens / DEMAND_WINDOW_S
        self.demand_at = now

    def note_grant(self, tokens: float, now: float) -> None:
        decay = math.exp(-(now - self.granted_at) / DEMAND_WINDOW_S)
        self.granted = self.granted * decay + tokens / DEMAND_WINDOW_S
        self.granted_at = now

    def demand_now(self, now: float) -> float:
        age = now - self.demand_at
        return self.demand * math.exp(-age / DEMAND_WINDOW_S)


class LocalTokens:
    """Spends tokens for requests and says how many more are wanted."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[AccountName, _Account] = {}

    def record_demand(
        self, account: AccountSpec, cost: float, now: float
    ) -> None:
        """Count a request's cost as demand, whether or not it is served."""
        self._account(account.name, now).record_demand(cost, now)

    def spend(self, account: AccountSpec, cost: float, now: float) -> bool:
        """Take a request's cost if enough tokens are held."""
        if account.rate <= 0:
            return True
        state = self._account(account.name, now)
        state.expire(now)
        if state.held() < cost:
            return False
        rest = cost
        while rest > 0 and state.lots:
            granted_at, tokens = state.lots[0]
            if tokens > rest:
                state.lots[0] = (granted_at, tokens - rest)
                return True
            rest -= tokens
            state.lots.pop(0)
        return True

    def refund(
        self,
        account: AccountSpec,
        cost: float,
        spent_at: float,
        now: float,
    ) -> None:
        """Take back the cost of a request that no target ran.

        The tokens expire as if they had been granted when they were spent.
        """
        if account.rate > 0 and now - spent_at < LOT_TTL_S:
            state = self._account(account.name, now)
            state.lots.insert(0, (spent_at, cost))

    def add_waiting(
        self, account: AccountSpec, cost: float, now: float
    ) -> None:
        """Count tokens that a request waits for, or no longer does."""
        self._account(account.name, now).waiting += cost

    def is_short(self, account: AccountSpec, now: float) -> bool:
        """Return whether the account's bucket was empty a moment ago."""
        state = self._account(account.name, now)
        return now - state.short_at < SHORT_S

    def add(self, lot: TokenLot, now: float) -> None:
        """Hold tokens that the leader sent."""
        state = self._account(lot.account, now)
        if lot.short:
            state.short_at = now
        if lot.tokens > 0:
            state.lots.append((now, lot.tokens))
            state.note_grant(lot.tokens, now)

    def wishes(
        self,
        accounts: dict[AccountName, AccountSpec],
        entries: int,
        now: float,
    ) -> tuple[TokenWish, ...]:
        """Return how many tokens of each account to ask for."""
        wishes = []
        for name, state in self._accounts.items():
            account = accounts.get(name)
            if account is None or account.rate <= 0:
                continue
            state.expire(now)
            held = state.held()
            needed = max(0.0, state.waiting - held)
            room = self._bounds.held(account) / entries - held
            wanted = state.demand_now(now) * HOLD_S
            wanted += state.waiting - needed - state.fresh(now)
            ahead = max(0.0, min(wanted, room))
            if now - state.short_at < SCARCE_S:
                ahead = 0.0  # what is held ahead would lie idle and expire
            if needed + ahead > 0:
                wishes.append(TokenWish(name, needed, ahead))
        return tuple(wishes)

    def expected_wait_s(
        self,
        account: AccountSpec,
        cost: float,
        entries: int,
        now: float,
    ) -> float:
        """Return how long a request would wait behind those that wait."""
        state = self._account(account.name, now)
        even_share = account.rate / max(1, entries)
        rate = max(state.granted, even_share, LEAST_RATE)
        return (state.waiting + cost) / rate

    def _account(self, name: AccountName, now: float) -> _Account:
        return self._accounts.setdefault(name, _Account(now))
