"""The state of a request at this VM, and of its attempts."""

from enum import Enum

from .._events import CallerRequest
from .._messages import Ticket, TicketClosed, TicketGrant
from .._outbox import Timer
from .._types import (
    AdapterRef,
    AttemptId,
    Refusal,
    TargetName,
    VmName,
)
from ..fleet._fleet import Account, Pool, PoolKind, Route
from ..rates._rates import AccountCharge


class AttemptState(Enum):
    """The state of an attempt."""

    ASKED = 'asked'  # a ticket was requested
    RUNNING = 'running'
    AWAITING_CRASH_VERDICT = 'awaiting-crash-verdict'  # the call broke off


class Attempt:
    """One attempt to run a request at a target."""

    def __init__(
        self,
        attempt: AttemptId,
        target: TargetName,
        owner: VmName,
        ticket: Ticket,
        now: float,
    ) -> None:
        self.attempt = attempt
        self.target = target
        self.owner = owner
        self.ticket = ticket
        self.state = AttemptState.ASKED
        self.asked_at = now  # s
        self.last_activity_at = now  # s, last data from the target
        self.grant: TicketGrant | None = None
        self.fence = 0
        self.opened_at = 0.0  # s
        self.earlier_may_have_run = False  # an earlier attempt
        self.first_chunk_s = 0.0
        self.status = 0
        self.media_type = ''
        self.crash_verdict: TicketClosed | None = None
        self.timer: Timer | None = None

    def open(
        self,
        owner: VmName,
        grant: TicketGrant,
        now: float,
        *,
        earlier_may_have_run: bool,
    ) -> None:
        """Record that the call is opened under a grant."""
        if self.timer:
            self.timer.cancel()
        self.state = AttemptState.RUNNING
        self.owner = owner
        self.grant = grant
        self.fence = grant.fence
        self.opened_at = now
        self.last_activity_at = now
        self.earlier_may_have_run = earlier_may_have_run

    def switch_owner(self, owner: VmName, fence: int) -> None:
        """Address the ticket's return to a newer owner of the target."""
        if self.state is not AttemptState.ASKED and fence >= self.fence:
            self.owner = owner
            self.fence = fence

    def timeout_at(self, route: Route) -> float:
        """Return when the call times out or its ticket expires."""
        limit_s = route.first_chunk_timeout_s
        if self.first_chunk_s:
            limit_s = route.chunk_timeout_s
        valid_s = self.grant.valid_s if self.grant else 0
        return min(self.last_activity_at + limit_s, self.opened_at + valid_s)


class RequestContext:
    """The state of a request from its arrival to the end of the response."""

    def __init__(self, req: CallerRequest, now: float) -> None:
        self.req = req
        self.arrived_at = now  # s
        self.route: Route | None = None
        self.pool: Pool | None = None
        self.account: Account | None = None
        self.adapter_ref: AdapterRef | None = None
        self.idempotent = True
        self.next_filter = 0  # index in the chain
        self.closed = False
        self.detached = False  # the caller disconnected; the call continues
        self.may_have_run = False  # a target may have executed the request
        self.suspect = False
        self.charge: AccountCharge | None = None
        self.claim = ''
        self.stored_body = bytearray()
        self.output_tokens = 0
        self.attempt_count = 0
        self.current_attempt: Attempt | None = None
        self.tried_targets: list[TargetName] = []
        self.head_sent = False
        self.overload_retry_s: float | None = None
        self.last_refusal: Refusal | None = None

    @property
    def account_name(self) -> str:
        """Return the client account's name, empty for open routes."""
        return self.account.name if self.account else ''

    @property
    def label(self) -> str:
        """Return the label of the adapter version, empty for plain services."""
        return self.adapter_ref.label if self.adapter_ref else ''

    @property
    def is_engine(self) -> bool:
        """Return whether an engine serves the request."""
        return self.pool is not None and self.pool.kind is PoolKind.ENGINE

    @property
    def max_tokens(self) -> int:
        """Return the limit of output tokens, 0 for plain services."""
        if not self.is_engine or self.route is None:
            return 0
        return self.req.max_tokens or self.route.default_max_tokens

    @property
    def cost(self) -> float:
        """Return the tokens to charge at admission."""
        if self.is_engine:
            output = self.max_tokens * self.req.choices
            return float(self.req.prompt_tokens + output)
        return self.route.call_cost if self.route else 0.0

    def remaining_wait_s(self, now: float) -> float:
        """Return how long the request may still wait for a target, in s."""
        timeout_s = self.route.queue_timeout_s if self.route else 0
        return self.arrived_at + timeout_s - now
