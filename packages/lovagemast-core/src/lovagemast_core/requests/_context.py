"""One caller's request on its way through this VM."""

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
    """How far an attempt has come."""

    ASKED = 'asked'
    RUNNING = 'running'
    VERDICT = 'verdict'  # broke off; the owner says whether by a crash


class Attempt:
    """One try of a request at one target."""

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
        self.active_at = now  # s, when the target last sent something
        self.grant: TicketGrant | None = None
        self.fence = 0
        self.opened_at = 0.0  # s
        self.ran_before = False  # an earlier attempt may have executed
        self.first_chunk_s = 0.0
        self.status = 0
        self.media_type = ''
        self.verdict: TicketClosed | None = None
        self.timer: Timer | None = None

    def open(
        self,
        owner: VmName,
        grant: TicketGrant,
        now: float,
        *,
        ran_before: bool,
    ) -> None:
        """Note that the call is opened under a grant."""
        if self.timer:
            self.timer.cancel()
        self.state = AttemptState.RUNNING
        self.owner = owner
        self.grant = grant
        self.fence = grant.fence
        self.opened_at = now
        self.active_at = now
        self.ran_before = ran_before

    def follow_owner(self, owner: VmName, fence: int) -> None:
        """Return the ticket to a newer owner of the target."""
        if self.state is not AttemptState.ASKED and fence >= self.fence:
            self.owner = owner
            self.fence = fence

    def silent_at(self, route: Route) -> float:
        """Return when the call counts as silent or its ticket runs out."""
        limit_s = route.first_chunk_timeout_s
        if self.first_chunk_s:
            limit_s = route.chunk_timeout_s
        valid_s = self.grant.valid_s if self.grant else 0
        return min(self.active_at + limit_s, self.opened_at + valid_s)


class RequestContext:
    """The state of a request from its arrival to its answer's end."""

    def __init__(self, req: CallerRequest, now: float) -> None:
        self.req = req
        self.arrived_at = now  # s
        self.route: Route | None = None
        self.pool: Pool | None = None
        self.account: Account | None = None
        self.ref: AdapterRef | None = None
        self.idempotent = True
        self.position = 0  # of the next filter
        self.done = False
        self.detached = False  # the caller left, the call goes on
        self.may_have_run = False  # a target may have executed it
        self.suspect = False
        self.spent: AccountCharge | None = None
        self.claim = ''
        self.claim_body = bytearray()
        self.tokens = 0
        self.attempts = 0
        self.current: Attempt | None = None
        self.tried_targets: list[TargetName] = []
        self.head_sent = False
        self.overload_retry_s: float | None = None
        self.last_refusal: Refusal | None = None

    @property
    def account_name(self) -> str:
        """Return the client account's name, empty on open routes."""
        return self.account.name if self.account else ''

    @property
    def label(self) -> str:
        """Return the adapter version, empty at a plain service."""
        return self.ref.label if self.ref else ''

    @property
    def is_engine(self) -> bool:
        """Return whether an engine serves the request."""
        return self.pool is not None and self.pool.kind is PoolKind.ENGINE

    @property
    def max_tokens(self) -> int:
        """Return how many tokens the answer may have."""
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

    def patience_left(self, now: float) -> float:
        """Return how much longer the request may wait for a target, in s."""
        timeout_s = self.route.queue_timeout_s if self.route else 0
        return self.arrived_at + timeout_s - now
