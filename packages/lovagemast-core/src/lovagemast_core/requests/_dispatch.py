"""Dispatches admitted requests: placement, admission tickets, calls."""

from typing import Final

from .._effects import CancelCall, OpenCall
from .._messages import (
    Ending,
    TicketAsk,
    TicketGrant,
    TicketRefuse,
    TicketReturn,
)
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import Reason, Refusal, VmName
from ..agreement._published import PublishedController
from ..placement._placer import Placer
from ._attempts import AttemptRegistry
from ._calls import CallController
from ._context import Attempt, AttemptState, RequestContext
from ._responses import ResponseWriter
from ._retry import MAX_ATTEMPTS, RetryBudget

TICKET_RETRY_INTERVAL_S: Final = 0.5
PLACEMENT_RETRY_INTERVAL_S: Final = 0.1
RETRY_AFTER_S: Final = 2.0


class Dispatcher:
    """Places requests, asks target owners for tickets and opens calls."""

    def __init__(
        self,
        outbox: Outbox,
        published: PublishedController,
        placer: Placer,
        responses: ResponseWriter,
        boot: str,
    ) -> None:
        self.attempts = AttemptRegistry(outbox, boot)
        self._outbox = outbox
        self._published = published
        self._placer = placer
        self._responses = responses
        self._budget = RetryBudget()
        self.calls = CallController(
            outbox,
            self.attempts,
            responses,
            self._budget,
            self._place,
        )

    def start(self, ctx: RequestContext, now: float) -> None:
        """Dispatch a request that has passed all filters."""
        self._budget.record_request()
        self._place(ctx, now)

    def cancel(self, ctx: RequestContext) -> None:
        """Cancel the current attempt after the caller has disconnected."""
        attempt = ctx.current_attempt
        if attempt is None:
            return
        ending = Ending.ABANDONED
        if attempt.state is AttemptState.RUNNING:
            self._outbox.emit(CancelCall(attempt.attempt))
            ending = Ending.CANCELLED
        self.attempts.end(ctx, ending)

    def on_grant(self, owner: VmName, grant: TicketGrant, now: float) -> None:
        """Open the call of an admitted attempt."""
        ctx = self.attempts.find(grant.attempt)
        attempt = ctx.current_attempt if ctx else None
        known = self._placer.find(grant.target)
        if ctx is None or attempt is None or known is None:
            self._return_grant(owner, grant)
            return
        if attempt.state is not AttemptState.ASKED:
            return
        if not self._key_still_valid(ctx):
            self.attempts.end(ctx, Ending.ABANDONED)
            refusal = Refusal(Reason.KEY_UNKNOWN, 'the key was withdrawn')
            self._responses.refuse(ctx, refusal, now)
            return
        attempt.open(owner, grant, now, earlier_may_have_run=ctx.may_have_run)
        ctx.may_have_run = True
        self._placer.record_prefix(ctx, attempt.target)
        self.calls.check_timeout(ctx, attempt, now)
        self._record_call(ctx, attempt, grant, now)
        self._outbox.emit(
            OpenCall(
                attempt.attempt,
                ctx.req.request,
                attempt.target,
                known.facts.address,
                ctx.label,
                ctx.max_tokens,
                grant.fence,
                fresh_connection=not ctx.idempotent,
            ),
        )

    def on_refuse(self, refuse: TicketRefuse, now: float) -> None:
        """Place a request again after an owner's refusal."""
        ctx = self.attempts.find(refuse.attempt)
        if ctx is None or ctx.current_attempt is None:
            return
        if ctx.current_attempt.state is not AttemptState.ASKED:
            return
        self.attempts.discard(ctx)
        ctx.tried_targets.append(refuse.target)
        self._record_refusal(ctx, refuse)
        if ctx.attempt_count >= MAX_ATTEMPTS and ctx.last_refusal:
            self._responses.refuse(ctx, ctx.last_refusal, now)
        else:
            self._place(ctx, now)

    def _place(self, ctx: RequestContext, now: float) -> None:
        if ctx.closed:
            return
        known = self._placer.choose(ctx, now)
        if known is None:
            self._retry_placement(ctx, now)
            return
        known.unreported_requests += 1
        attempt = self.attempts.begin(
            ctx,
            known.facts.target,
            known.owner,
            now,
        )
        self._outbox.record(
            now,
            EventKind.PLACED,
            f'attempt {ctx.attempt_count}, owner {known.owner}',
            request=ctx.req.request,
            account=ctx.account_name,
            target=known.facts.target,
        )
        self._ask(ctx, attempt, now)

    def _retry_placement(self, ctx: RequestContext, now: float) -> None:
        if ctx.overload_retry_s is not None:
            refusal = Refusal(
                Reason.OVERLOADED,
                'every target has a longer queue than the route allows',
                retry_after_s=ctx.overload_retry_s,
            )
            self._responses.refuse(ctx, refusal, now)
        elif ctx.remaining_wait_s(now) <= 0:
            self._responses.refuse(ctx, _no_target(ctx), now)
        else:
            ctx.tried_targets.clear()
            self._outbox.call_at(
                now + PLACEMENT_RETRY_INTERVAL_S,
                lambda when: self._place(ctx, when),
            )

    def _ask(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        self._outbox.send(
            attempt.owner,
            TicketAsk(
                attempt.target,
                attempt.ticket,
                max(0, ctx.remaining_wait_s(now)),
            ),
        )
        attempt.timer = self._outbox.call_at(
            now + TICKET_RETRY_INTERVAL_S,
            lambda when: self._retry_ask(ctx, attempt, when),
        )

    def _retry_ask(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        """Repeat a ticket request; place again if the target is unavailable."""
        if ctx.current_attempt is not attempt:
            return
        known = self._placer.find_available(attempt.target, now)
        if ctx.remaining_wait_s(now) <= 0:
            self.attempts.end(ctx, Ending.ABANDONED)
            refusal = Refusal(
                Reason.OVERLOADED,
                'no place at a target came free in time',
                retry_after_s=RETRY_AFTER_S,
            )
            self._responses.refuse(ctx, refusal, now)
        elif known is None or known.owner != attempt.owner:
            self.attempts.end(ctx, Ending.ABANDONED)
            self._place(ctx, now)
        else:
            self._ask(ctx, attempt, now)

    def _record_refusal(
        self,
        ctx: RequestContext,
        refuse: TicketRefuse,
    ) -> None:
        known = self._placer.find(refuse.target)
        if refuse.reason is Reason.OVERLOADED:
            known_s = ctx.overload_retry_s or refuse.retry_after_s
            ctx.overload_retry_s = min(known_s, refuse.retry_after_s)
        elif refuse.reason is Reason.ADAPTER_UNAVAILABLE:
            ctx.last_refusal = Refusal(
                Reason.ADAPTER_UNAVAILABLE,
                f'{ctx.label} could not be loaded',
                retry_after_s=RETRY_AFTER_S,
            )
        elif known:
            known.summary_at = float('-inf')

    def _key_still_valid(self, ctx: RequestContext) -> bool:
        if ctx.account is None:
            return True
        account_name = self._published.index.account_of(ctx.req.key_digest)
        return account_name == ctx.account.name

    def _return_grant(self, owner: VmName, grant: TicketGrant) -> None:
        ticket = TicketReturn(grant.attempt, grant.target, Ending.ABANDONED, 0)
        self._outbox.send(owner, ticket)

    def _record_call(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        grant: TicketGrant,
        now: float,
    ) -> None:
        self._outbox.record(
            now,
            EventKind.CALL_OPENED,
            f'after {now - ctx.arrived_at:.3f} s, '
            f'{grant.load_wait_s:.3f} s spent on an adapter load',
            request=ctx.req.request,
            account=ctx.account_name,
            target=attempt.target,
        )


def _no_target(ctx: RequestContext) -> Refusal:
    return ctx.last_refusal or Refusal(
        Reason.NO_TARGET,
        'no target of the pool can take the request now',
        retry_after_s=RETRY_AFTER_S,
    )
