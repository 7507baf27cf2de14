"""Sends responses to callers and settles the charges of requests."""

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
from ._claims import MAX_STORED_BODY_BYTES, ClaimFilter
from ._context import Attempt, RequestContext

MIN_CHARGE_TOKENS: Final = 0  # for a request that did not run


class ResponseWriter:
    """Sends all responses to callers and closes their requests."""

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

    def send_chunk(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        chunk: bytes,
    ) -> None:
        """Send a part of the response, preceded by the head if necessary."""
        if not ctx.head_sent:
            self._send_head(ctx, attempt)
        if ctx.claim:
            # One byte beyond the limit tells that it is not stored.
            room = MAX_STORED_BODY_BYTES + 1 - len(ctx.stored_body)
            ctx.stored_body += chunk[:room]
        if chunk and not ctx.detached:
            self._outbox.emit(SendResponseChunk(ctx.req.request, chunk))

    def end(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        """End a complete response."""
        if not ctx.head_sent:
            self._send_head(ctx, attempt)
        if not ctx.detached:
            self._outbox.emit(EndResponse(ctx.req.request, None))
        if len(ctx.stored_body) <= MAX_STORED_BODY_BYTES:
            self._claims.finish(
                ctx,
                attempt.status,
                attempt.media_type,
                now,
            )
        self._record(ctx, EventKind.ANSWERED, f'{attempt.status}', now)
        self._close(ctx, ctx.req.prompt_tokens + ctx.output_tokens, now)

    def refuse(self, ctx: RequestContext, refusal: Refusal, now: float) -> None:
        """Refuse a request; ``not-run`` is reported only if it is certain."""
        used = MIN_CHARGE_TOKENS
        if ctx.may_have_run:
            refusal = refusal._replace(run=ExecutionStatus.UNKNOWN)
            used = ctx.req.prompt_tokens + ctx.output_tokens
        else:
            self._claims.finish(ctx, 0, '', now)
        if not ctx.detached:
            self._outbox.emit(SendRefusal(ctx.req.request, refusal))
        self._record(ctx, EventKind.REFUSED, refusal.reason.value, now)
        self._close(ctx, used, now)

    def fail(self, ctx: RequestContext, refusal: Refusal, now: float) -> None:
        """End a request whose response is missing or incomplete."""
        if not ctx.head_sent:
            self.refuse(ctx, refusal, now)
            return
        if not ctx.detached:
            self._outbox.emit(EndResponse(ctx.req.request, refusal))
        self._record(ctx, EventKind.REFUSED, refusal.reason.value, now)
        self._close(ctx, ctx.req.prompt_tokens + ctx.output_tokens, now)

    def send_stored(
        self,
        ctx: RequestContext,
        stored: SendStoredResponse,
        now: float,
    ) -> None:
        """Respond to a repeated call with the first call's stored outcome."""
        self._outbox.emit(stored)
        self._record(ctx, EventKind.ANSWERED, 'from the stored outcome', now)
        self._close(ctx, MIN_CHARGE_TOKENS, now)

    def close_disconnected(self, ctx: RequestContext, now: float) -> None:
        """Close a request whose caller has disconnected."""
        used = ctx.req.prompt_tokens + ctx.output_tokens
        if not ctx.may_have_run:
            used = MIN_CHARGE_TOKENS
            self._claims.finish(ctx, 0, '', now)
        self._record(ctx, EventKind.REFUSED, 'the caller disconnected', now)
        self._close(ctx, used, now)

    def _send_head(self, ctx: RequestContext, attempt: Attempt) -> None:
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
        ctx.closed = True
        if ctx.charge and ctx.is_engine:
            unused = ctx.charge.amount - used
            if unused > 0:
                self._rates.refund(ctx.charge, unused, now)
        self._on_finished(ctx)
