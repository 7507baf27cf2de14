"""Charges a request to its client account's quota."""

from typing import Final

from lovagemast_core.deployment import AccountSpec

from .._clock import now_s
from ._admitted import RESUMPTION_WAIT_FRACTION, AdmittedRequest
from ._entrystate import POLL_INTERVAL_S, EntryState
from ._refusal import ELECTION_RETRY_AFTER_S, HttpRefusal

# Without the leader for this long, an election is probably under way.
ELECTION_LIKELY_AFTER_S: Final = 0.5
LEADER_ROUND_TRIP_S: Final = 0.1  # a sync request, and the leader's push
TOKEN_WAIT_FRACTION: Final = 0.5  # of the route's latency objective
MAX_RETRY_AFTER_S: Final = 4.0


class QuotaCharge:
    """The charge of one request, which may wait for tokens.

    A stream that is resumed goes before other requests of its account, and
    may wait longer: its caller holds a part of the answer.
    """

    def __init__(self, state: EntryState, admitted: AdmittedRequest) -> None:
        self._state = state
        self._admitted = admitted
        self._is_urgent = admitted.is_resumption

    async def charge(self) -> HttpRefusal | None:
        """Spend the request's tokens, or return why there are none."""
        account = self._admitted.account
        if account is None or account.rate <= 0:
            return None
        cost = self._admitted.cost
        self._state.tokens.record_demand(account, cost, now_s())
        if self._spend(account):
            return None
        wait_s = self._expected_wait_s(account)
        max_wait_s = self._max_wait_s()
        is_short = self._state.tokens.is_short(account, now_s())
        exceeds_max_wait = wait_s > max_wait_s and is_short
        if not exceeds_max_wait and await self._wait(account, max_wait_s):
            return None
        reason = f'{account.name} is over its {account.rate:.0f} by {cost:.0f}'
        wait_s = min(MAX_RETRY_AFTER_S, max(LEADER_ROUND_TRIP_S, wait_s))
        return HttpRefusal(429, reason, wait_s)

    def _spend(self, account: AccountSpec) -> bool:
        return self._state.tokens.spend(
            account, self._admitted.cost, now_s(), is_urgent=self._is_urgent
        )

    def _expected_wait_s(self, account: AccountSpec) -> float:
        wait_s = self._state.tokens.expected_wait_s(
            account,
            self._admitted.cost,
            self._state.view.entries,
            now_s(),
            is_urgent=self._is_urgent,
        )
        if self._is_election_likely():
            return max(wait_s, ELECTION_RETRY_AFTER_S)
        return wait_s

    def _max_wait_s(self) -> float:
        admitted = self._admitted
        objective_s = admitted.route.objective_s
        max_wait_s = max(LEADER_ROUND_TRIP_S, TOKEN_WAIT_FRACTION * objective_s)
        if self._is_urgent:
            timeout_s = admitted.deadline - admitted.arrived_at
            max_wait_s = max(max_wait_s, RESUMPTION_WAIT_FRACTION * timeout_s)
        if self._is_election_likely():
            max_wait_s = max(max_wait_s, objective_s)
        return max_wait_s

    def _is_election_likely(self) -> bool:
        return self._state.view.age(now_s()) > ELECTION_LIKELY_AFTER_S

    async def _wait(self, account: AccountSpec, max_wait_s: float) -> bool:
        """Wait for tokens; return whether they were spent."""
        give_up_at = now_s() + max_wait_s
        self._change_waiting(account, self._admitted.cost)
        self._state.request_sync()
        try:
            while now_s() < give_up_at:
                await self._state.wait_for_update(POLL_INTERVAL_S)
                if self._spend(account):
                    return True
        finally:
            self._change_waiting(account, -self._admitted.cost)
        return False

    def _change_waiting(self, account: AccountSpec, cost: float) -> None:
        self._state.tokens.add_waiting(
            account, cost, now_s(), is_urgent=self._is_urgent
        )
