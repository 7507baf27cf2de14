"""Passes answers on to callers and closes requests' accounts."""

from collections.abc import Callable
from typing import Final

from .._effects import (
    EndResponse,
    SendRefusal,
    SendResponseChunk,
    SendStoredResponse,
    StartResponse,
)
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import ExecutionStatus, Refusal
from ..rates._rates import RateController
from ._claims import MAX_STORED_BODY, ClaimFilter
from ._context import Attempt, RequestContext

MIN_CHARGE: Final = 0  # tokens, for a request that did not run


class Relay:
    """The only place that answers callers."""

    def __init__(
        self,
        outbox: Outbox,
        rates: RateController,
        claims: ClaimFilter,
        on_finished: Callable[[RequestContext], None],
    ) -> None:
        self._outbox = outbox
        self._rates = rates
        self._claims = claims
        self._on_finished = on_finished

    def chunk(
        self, ctx: RequestContext, attempt: Attempt, chunk: bytes
    ) -> None:
        """Pass a part of an answer on, after the head."""
        if not ctx.head_sent:
            self._head(ctx, attempt)
        if ctx.claim:
            ctx.claim_body += chunk
        if chunk and not ctx.detached:
            self._outbox.emit(SendResponseChunk(ctx.req.request, chunk))

    def end(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        """End an answer that came whole."""
        if not ctx.head_sent:
            self._head(ctx, attempt)
        if not ctx.detached:
            self._outbox.emit(EndResponse(ctx.req.request, None))
        if len(ctx.claim_body) <= MAX_STORED_BODY:
            self._claims.finish(
                ctx,
                attempt.status,
                attempt.media_type,
                now,
            )
        self._record(ctx, EventKind.ANSWERED, f'{attempt.status}', now)
        self._close(ctx, ctx.req.prompt_tokens + ctx.tokens, now)

    def refuse(self, ctx: RequestContext, refusal: Refusal, now: float) -> None:
        """Refuse a request; ``not-run`` is said only where it is proven."""
        used = MIN_CHARGE
        if ctx.may_have_run:
            refusal = refusal._replace(run=ExecutionStatus.UNKNOWN)
            used = ctx.req.prompt_tokens + ctx.tokens
        else:
            self._claims.finish(ctx, 0, '', now)
        if not ctx.detached:
            self._outbox.emit(SendRefusal(ctx.req.request, refusal))
        self._record(ctx, EventKind.REFUSED, refusal.reason.value, now)
        self._close(ctx, used, now)

    def fail(self, ctx: RequestContext, refusal: Refusal, now: float) -> None:
        """End a request whose answer did not come or broke off."""
        if not ctx.head_sent:
            self.refuse(ctx, refusal, now)
            return
        if not ctx.detached:
            self._outbox.emit(EndResponse(ctx.req.request, refusal))
        self._record(ctx, EventKind.REFUSED, refusal.reason.value, now)
        self._close(ctx, ctx.req.prompt_tokens + ctx.tokens, now)

    def stored(
        self, ctx: RequestContext, stored: SendStoredResponse, now: float
    ) -> None:
        """Answer a repeated call with the first call's outcome."""
        self._outbox.emit(stored)
        self._record(ctx, EventKind.ANSWERED, 'from the record', now)
        self._close(ctx, MIN_CHARGE, now)

    def drop(self, ctx: RequestContext, now: float) -> None:
        """Close a request whose caller has left."""
        used = ctx.req.prompt_tokens + ctx.tokens
        if not ctx.may_have_run:
            used = MIN_CHARGE
            self._claims.finish(ctx, 0, '', now)
        self._record(ctx, EventKind.REFUSED, 'the caller left', now)
        self._close(ctx, used, now)

    def _head(self, ctx: RequestContext, attempt: Attempt) -> None:
        ctx.head_sent = True
        if not ctx.detached:
            self._outbox.emit(
                StartResponse(
                    ctx.req.request,
                    attempt.status,
                    attempt.media_type,
                ),
            )

    def _record(
        self,
        ctx: RequestContext,
        kind: EventKind,
        detail: str,
        now: float,
    ) -> None:
        self._outbox.record(
            now,
            kind,
            detail,
            request=ctx.req.request,
            account=ctx.account_name,
        )

    def _close(self, ctx: RequestContext, used: int, now: float) -> None:
        ctx.done = True
        if ctx.spent and ctx.is_engine:
            unused = ctx.spent.amount - used
            if unused > 0:
                self._rates.refund(ctx.spent, unused, now)
        self._on_finished(ctx)
