"""Checks a request before a target is looked for.

The filters run in order: route, key, pool, quota. Each one lets the request
pass or ends it with an answer of the system's own.
"""

from typing import Final, NamedTuple

from lovagemast_core.deployment import (
    AccountSpec,
    DeploymentIndex,
    PoolSpec,
    RouteSpec,
)

from .._clock import now_s
from ..http import HttpRequest, header_value
from ._dialect import CallFacts
from ._entrystate import EntryState

BEHIND_S: Final = 1.5  # silence of the leader after which a denial is unsure
LEADERLESS_S: Final = 0.5  # silence after which a new leader is likely
ROUND_TRIP_S: Final = 0.1  # to the leader, and its push
TOKEN_WAIT_PART: Final = 0.5  # of the latency objective
LONGEST_RETRY_S: Final = 4.0
NEWS_WAIT_PART: Final = 0.3  # of the time that the caller waits
DEFAULT_PATIENCE_S: Final = 1.0  # of a caller that does not say
POLL_S: Final = 0.05
RETRY_SOON_S: Final = 0.3
NO_LEADER_RETRY_S: Final = 1.0  # about an election


class Refused(NamedTuple):
    """An answer of the system's own."""

    status: int
    reason: str
    retry_after_s: float | None = None


class Admitted(NamedTuple):
    """A request that passed all filters; times are in s."""

    req: HttpRequest
    facts: CallFacts
    route: RouteSpec
    pool: PoolSpec
    account: AccountSpec | None
    arrived: float
    deadline: float
    cost: float = 0.0  # charged to the account, in its unit

    @property
    def account_name(self) -> str | None:
        """Return the client account, ``None`` on routes open to all."""
        return self.account.name if self.account else None

    @property
    def priority(self) -> int:
        """Return the request's rank; the account's goes first."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class Admission:
    """The filter chain of an entry VM."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    async def admit(
        self,
        req: HttpRequest,
        facts: CallFacts | None,
        arrived: float,
    ) -> Admitted | Refused:
        """Return the request with what the filters found."""
        if facts is None:
            return Refused(400, 'headers are not proper')
        index = await self._wait_for_config(facts, arrived)
        if index is None:
            return Refused(503, 'no configuration yet', NO_LEADER_RETRY_S)
        host = header_value(req.headers, b'host') or ''
        route = index.route(host, req.path)
        if route is None:
            return self._denied(404, 'no route')
        account = self._check_key(index, route, facts)
        if isinstance(account, Refused):
            return account
        pool = index.pools.get(self._state.pick_pool(route))
        if pool is None:
            return Refused(503, 'the route has no pool', RETRY_SOON_S)
        cost = _cost(account, facts)
        refused = await self._charge(account, route, cost)
        if refused:
            return refused
        timeout_s = route.timeout_s
        if facts.deadline_s is not None:
            timeout_s = min(timeout_s, facts.deadline_s)
        deadline = arrived + timeout_s
        return Admitted(
            req,
            facts,
            route,
            pool,
            account,
            arrived,
            deadline,
            cost,
        )

    def _check_key(
        self,
        index: DeploymentIndex,
        route: RouteSpec,
        facts: CallFacts,
    ) -> AccountSpec | Refused | None:
        if route.open or not index.accounts:
            return None
        if not self._state.is_confirmed(now_s()):
            return Refused(
                503, 'keys could not be confirmed', NO_LEADER_RETRY_S
            )
        account = index.account_of_key(facts.key) if facts.key else None
        return account or self._denied(401, 'unknown key')

    def _denied(self, status: int, reason: str) -> Refused:
        """Deny a request, unless a newer configuration may allow it."""
        if self._state.view.age(now_s()) > BEHIND_S:
            return Refused(503, f'{reason}, but may be behind', RETRY_SOON_S)
        return Refused(status, reason)

    async def _charge(
        self,
        account: AccountSpec | None,
        route: RouteSpec,
        cost: float,
    ) -> Refused | None:
        if account is None or account.rate <= 0:
            return None
        holder = self._state.tokens
        holder.record_demand(account, cost, now_s())
        if holder.spend(account, cost, now_s()):
            return None
        entries = self._state.view.entries
        wait_s = holder.expected_wait_s(account, cost, entries, now_s())
        longest_s = max(ROUND_TRIP_S, TOKEN_WAIT_PART * route.objective_s)
        if self._state.view.age(now_s()) > LEADERLESS_S:
            longest_s = max(longest_s, route.objective_s)
            wait_s = max(wait_s, NO_LEADER_RETRY_S)
        hopeless = wait_s > longest_s and holder.is_short(account, now_s())
        if not hopeless and await self._wait_for_tokens(
            account,
            cost,
            longest_s,
        ):
            return None
        reason = f'{account.name} is over its {account.rate:.0f} by {cost:.0f}'
        wait_s = min(LONGEST_RETRY_S, max(ROUND_TRIP_S, wait_s))
        return Refused(429, reason, wait_s)

    async def _wait_for_tokens(
        self,
        account: AccountSpec,
        cost: float,
        longest_s: float,
    ) -> bool:
        give_up_at = now_s() + longest_s
        holder = self._state.tokens
        holder.add_waiting(account, cost, now_s())
        try:
            while now_s() < give_up_at:
                self._state.ask_leader()
                await self._state.wait_for_news(POLL_S)
                if holder.spend(account, cost, now_s()):
                    return True
        finally:
            holder.add_waiting(account, -cost, now_s())
        return False

    async def _wait_for_config(
        self,
        facts: CallFacts,
        arrived: float,
    ) -> DeploymentIndex | None:
        """Wait a while for the leader, as after a start of all VMs."""
        patience_s = facts.deadline_s or DEFAULT_PATIENCE_S
        give_up_at = arrived + patience_s * NEWS_WAIT_PART
        state = self._state
        while now_s() < give_up_at:
            if state.view.index and state.is_confirmed(now_s()):
                break
            await state.wait_for_news(POLL_S)
        return state.view.index


def _cost(account: AccountSpec | None, facts: CallFacts) -> float:
    if account is None:
        return 0.0
    if account.by_tokens:
        return facts.tokens or account.default_tokens
    return 1.0
