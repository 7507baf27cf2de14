"""Admission control: checks a request before a target is chosen.

The checks run in this order: route, API key, pool, quarantine, quota. A
check either passes the request on or rejects it with a response that the
entry VM generates itself.
"""

from typing import Final

from lovagemast_core.deployment import (
    AccountSpec,
    DeploymentIndex,
    RouteSpec,
)

from .._clock import now_s
from ..http import HttpRequest, header_value
from ._admitted import AdmittedRequest, subjects_of
from ._codec import RequestMetadata
from ._entrystate import POLL_INTERVAL_S, EntryState
from ._quarantinecheck import QuarantineCheck
from ._quotacharge import QuotaCharge
from ._refusal import ELECTION_RETRY_AFTER_S, HttpRefusal

# If the leader has not confirmed the configuration for this long, a newer one
# may exist, so 401 and 404 are replaced by 503.
DENIAL_MAX_VIEW_AGE_S: Final = 1.5
CONFIG_WAIT_FRACTION: Final = 0.3  # of the caller's timeout
DEFAULT_CALLER_TIMEOUT_S: Final = 1.0  # if the caller sends no deadline
CONFIG_RETRY_AFTER_S: Final = 0.3


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
        admitted = AdmittedRequest(
            req,
            metadata,
            route,
            pool,
            account,
            arrived_at,
            arrived_at + _timeout_s(route, metadata),
            _cost(account, metadata),
            subjects_of(req, host, account, metadata),
        )
        check = QuarantineCheck(
            self._state, admitted.subjects, metadata.request_id
        )
        refusal = check.quarantine_refusal()
        if refusal:
            return refusal
        return await QuotaCharge(self._state, admitted).charge() or admitted

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


def _timeout_s(route: RouteSpec, metadata: RequestMetadata) -> float:
    if metadata.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, metadata.deadline_s)


def _cost(account: AccountSpec | None, metadata: RequestMetadata) -> float:
    if account is None:
        return 0.0
    if account.by_tokens:
        return metadata.tokens or account.default_tokens
    return 1.0
