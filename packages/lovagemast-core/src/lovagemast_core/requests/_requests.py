"""Admits requests at this VM, tracks open ones and drains the VM."""

from typing import Final

from .._effects import SendStoredResponse
from .._events import CallerRequest
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import Reason, Refusal, RequestId
from ..agreement._proposals import ProposalController
from ..agreement._published import PublishedController
from ..placement._placer import Placer
from ..rates._rates import RateController
from ._claims import ClaimFilter
from ._context import AttemptState, RequestContext
from ._dispatch import Dispatcher
from ._filters import (
    FilterChain,
    KeyFilter,
    QuarantineFilter,
    RateFilter,
    RouteFilter,
)
from ._responses import ResponseWriter

DRAIN_GRACE_S: Final = 2.0  # for load balancers to see readyz fail


class RequestController:
    """Runs arriving requests through the filter chain and tracks them."""

    def __init__(
        self,
        outbox: Outbox,
        published: PublishedController,
        proposals: ProposalController,
        rates: RateController,
        placer: Placer,
        boot: str,
    ) -> None:
        self._outbox = outbox
        self._contexts: dict[RequestId, RequestContext] = {}
        self._proposals = proposals
        self._drain_requested_at: float | None = None
        holder = f'{outbox.vm}/{boot}'
        claims = ClaimFilter(proposals, holder, self._send_stored)
        self._responses = ResponseWriter(outbox, rates, claims, self._remove)
        self.dispatcher = Dispatcher(
            outbox,
            published,
            placer,
            self._responses,
            boot,
        )
        rate_filter = RateFilter(outbox, rates)
        self._chain = FilterChain(
            (
                RouteFilter(published),
                KeyFilter(published),
                QuarantineFilter(published),
                rate_filter,
                claims,
            ),
            self.dispatcher.start,
            self._responses.refuse,
        )
        rate_filter.chain = self._chain
        claims.chain = self._chain

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._contexts)

    def on_arrived(self, req: CallerRequest, now: float) -> None:
        """Accept a request, unless the VM is shutting down."""
        ctx = RequestContext(req, now)
        self._contexts[req.request] = ctx
        self._outbox.record(
            now,
            EventKind.ARRIVED,
            f'{req.method} {req.path}',
            request=req.request,
        )
        if self._is_past_grace(now):
            refusal = Refusal(
                Reason.DRAINING,
                'this VM is about to stop',
                retry_after_s=1,
            )
            self._responses.refuse(ctx, refusal, now)
            return
        self._chain.run(ctx, now)

    def on_caller_disconnected(self, request: RequestId, now: float) -> None:
        """Cancel a request, unless it is a non-idempotent call already sent.

        Such a call continues without the caller.
        """
        ctx = self._contexts.get(request)
        if ctx is None:
            return
        current = ctx.current_attempt
        sent = current and current.state is not AttemptState.ASKED
        if sent and not ctx.idempotent:
            ctx.detached = True
            return
        self.dispatcher.cancel(ctx)
        self._responses.close_disconnected(ctx, now)

    def start_drain(self, now: float) -> None:
        """Refuse new requests once the grace period has passed."""
        if self._drain_requested_at is None:
            self._drain_requested_at = now

    def is_draining(self) -> bool:
        """Return whether a drain was requested."""
        return self._drain_requested_at is not None

    def is_drained(self, now: float) -> bool:
        """Return whether no requests are open or still to be accepted.

        Outcomes of claimed calls must have been committed as well.
        """
        if self._contexts or len(self._proposals):
            return False
        return self._is_past_grace(now)

    def _is_past_grace(self, now: float) -> bool:
        requested_at = self._drain_requested_at
        return requested_at is not None and now - requested_at >= DRAIN_GRACE_S

    def _send_stored(
        self,
        ctx: RequestContext,
        stored: SendStoredResponse,
        now: float,
    ) -> None:
        self._responses.send_stored(ctx, stored, now)

    def _remove(self, ctx: RequestContext) -> None:
        self._contexts.pop(ctx.req.request, None)
