"""Admission control: checks a request before a target is chosen.

The checks run in this order: route, API key, pool, prompt parts, quota. A
check either passes the request on or rejects it with a response that the
entry VM generates itself.
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
from ._codec import RequestMetadata
from ._entrystate import EntryState
from ._promptcheck import PromptCheck
from ._refusal import HttpRefusal

# If the leader has not confirmed the configuration for this long, a newer one
# may exist, so 401 and 404 are replaced by 503.
DENIAL_MAX_VIEW_AGE_S: Final = 1.5
# Without the leader for this long, an election is probably under way.
ELECTION_LIKELY_AFTER_S: Final = 0.5
LEADER_ROUND_TRIP_S: Final = 0.1  # a sync request, and the leader's push
TOKEN_WAIT_FRACTION: Final = 0.5  # of the route's latency objective
MAX_RETRY_AFTER_S: Final = 4.0
CONFIG_WAIT_FRACTION: Final = 0.3  # of the caller's timeout
DEFAULT_CALLER_TIMEOUT_S: Final = 1.0  # if the caller sends no deadline
POLL_INTERVAL_S: Final = 0.05
CONFIG_RETRY_AFTER_S: Final = 0.3
ELECTION_RETRY_AFTER_S: Final = 1.0  # about the duration of an election


class AdmittedRequest(NamedTuple):
    """A request that passed all checks.

    ``arrived_at`` and ``deadline`` are clock readings in seconds.
    """

    req: HttpRequest
    metadata: RequestMetadata
    route: RouteSpec
    pool: PoolSpec
    account: AccountSpec | None
    arrived_at: float
    deadline: float
    cost: float = 0.0  # charged to the account, in its quota unit

    @property
    def account_name(self) -> str | None:
        """Return the client account, ``None`` on public routes."""
        return self.account.name if self.account else None

    @property
    def priority(self) -> int:
        """Return the account's priority if it has one, else the route's."""
        if self.account and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class Admission:
    """Runs the admission checks of an entry VM."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    async def admit(
        self,
        req: HttpRequest,
        metadata: RequestMetadata | None,
        arrived_at: float,
    ) -> AdmittedRequest | HttpRefusal:
        """Return the admitted request, or the refusal of the first check."""
        if metadata is None:
            return HttpRefusal(400, 'headers are not proper')
        index = await self._wait_for_config(metadata, arrived_at)
        if index is None:
            return HttpRefusal(
                503, 'no configuration yet', ELECTION_RETRY_AFTER_S
            )
        host = header_value(req.headers, b'host') or ''
        route = index.route(host, req.path)
        if route is None:
            return self._deny(404, 'no route')
        account = self._check_key(index, route, metadata)
        if isinstance(account, HttpRefusal):
            return account
        pool = index.pools.get(self._state.pick_pool(route))
        if pool is None:
            return HttpRefusal(
                503, 'the route has no pool', CONFIG_RETRY_AFTER_S
            )
        cost = _cost(account, metadata)
        refusal = PromptCheck(self._state, metadata).quarantine_refusal()
        refusal = refusal or await self._charge_quota(account, route, cost)
        if refusal:
            return refusal
        timeout_s = route.timeout_s
        if metadata.deadline_s is not None:
            timeout_s = min(timeout_s, metadata.deadline_s)
        deadline = arrived_at + timeout_s
        return AdmittedRequest(
            req,
            metadata,
            route,
            pool,
            account,
            arrived_at,
            deadline,
            cost,
        )

    def _check_key(
        self,
        index: DeploymentIndex,
        route: RouteSpec,
        metadata: RequestMetadata,
    ) -> AccountSpec | HttpRefusal | None:
        if route.open or not index.accounts:
            return None
        if not self._state.are_keys_confirmed(now_s()):
            return HttpRefusal(
                503, 'keys could not be confirmed', ELECTION_RETRY_AFTER_S
            )
        account = index.account_of_key(metadata.key) if metadata.key else None
        return account or self._deny(401, 'unknown key')

    def _deny(self, status: int, reason: str) -> HttpRefusal:
        """Deny a request, or respond 503 if a newer configuration may exist."""
        if self._state.view.age(now_s()) > DENIAL_MAX_VIEW_AGE_S:
            return HttpRefusal(
                503,
                f'{reason}, but may be behind',
                CONFIG_RETRY_AFTER_S,
            )
        return HttpRefusal(status, reason)

    async def _charge_quota(
        self,
        account: AccountSpec | None,
        route: RouteSpec,
        cost: float,
    ) -> HttpRefusal | None:
        if account is None or account.rate <= 0:
            return None
        tokens = self._state.tokens
        tokens.record_demand(account, cost, now_s())
        if tokens.spend(account, cost, now_s()):
            return None
        entries = self._state.view.entries
        wait_s = tokens.expected_wait_s(account, cost, entries, now_s())
        max_wait_s = max(
            LEADER_ROUND_TRIP_S, TOKEN_WAIT_FRACTION * route.objective_s
        )
        if self._state.view.age(now_s()) > ELECTION_LIKELY_AFTER_S:
            max_wait_s = max(max_wait_s, route.objective_s)
            wait_s = max(wait_s, ELECTION_RETRY_AFTER_S)
        exceeds_max_wait = wait_s > max_wait_s and tokens.is_short(
            account, now_s()
        )
        if not exceeds_max_wait and await self._wait_for_tokens(
            account,
            cost,
            max_wait_s,
        ):
            return None
        reason = f'{account.name} is over its {account.rate:.0f} by {cost:.0f}'
        wait_s = min(MAX_RETRY_AFTER_S, max(LEADER_ROUND_TRIP_S, wait_s))
        return HttpRefusal(429, reason, wait_s)

    async def _wait_for_tokens(
        self,
        account: AccountSpec,
        cost: float,
        max_wait_s: float,
    ) -> bool:
        give_up_at = now_s() + max_wait_s
        tokens = self._state.tokens
        tokens.add_waiting(account, cost, now_s())
        self._state.request_sync()
        try:
            while now_s() < give_up_at:
                await self._state.wait_for_update(POLL_INTERVAL_S)
                if tokens.spend(account, cost, now_s()):
                    return True
        finally:
            tokens.add_waiting(account, -cost, now_s())
        return False

    async def _wait_for_config(
        self,
        metadata: RequestMetadata,
        arrived_at: float,
    ) -> DeploymentIndex | None:
        """Wait for a confirmed configuration, as after a restart of all VMs."""
        caller_timeout_s = metadata.deadline_s or DEFAULT_CALLER_TIMEOUT_S
        give_up_at = arrived_at + caller_timeout_s * CONFIG_WAIT_FRACTION
        state = self._state
        while now_s() < give_up_at:
            if state.view.index and state.are_keys_confirmed(now_s()):
                break
            await state.wait_for_update(POLL_INTERVAL_S)
        return state.view.index


def _cost(account: AccountSpec | None, metadata: RequestMetadata) -> float:
    if account is None:
        return 0.0
    if account.by_tokens:
        return metadata.tokens or account.default_tokens
    return 1.0
