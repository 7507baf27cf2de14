"""The requests under way at this VM, and its draining."""

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
from ._relay import Relay

DRAIN_GRACE_S: Final = 2.0  # for the balancer to notice that readyz fails


class RequestController:
    """Takes requests in and passes them through the filter chain."""

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
        self._flights: dict[RequestId, RequestContext] = {}
        self._proposals = proposals
        self._drain_asked_at: float | None = None
        holder = f'{outbox.vm}/{boot}'
        claims = ClaimFilter(proposals, holder, self._answer_stored)
        self._relay = Relay(outbox, rates, claims, self._forget)
        self.dispatcher = Dispatcher(
            outbox,
            published,
            placer,
            self._relay,
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
            self._relay.refuse,
        )
        rate_filter.chain = self._chain
        claims.chain = self._chain

    def __len__(self) -> int:
        """Return how many requests are under way."""
        return len(self._flights)

    def on_arrived(self, req: CallerRequest, now: float) -> None:
        """Take a request in, unless the VM is about to stop."""
        ctx = RequestContext(req, now)
        self._flights[req.request] = ctx
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
            self._relay.refuse(ctx, refusal, now)
            return
        self._chain.run(ctx, now)

    def on_caller_gone(self, request: RequestId, now: float) -> None:
        """Cancel a request, unless its call must not be left half done."""
        ctx = self._flights.get(request)
        if ctx is None:
            return
        current = ctx.current
        sent = current and current.state is not AttemptState.ASKED
        if sent and not ctx.idempotent:
            ctx.detached = True
            return
        self.dispatcher.cancel(ctx)
        self._relay.drop(ctx, now)

    def drain(self, now: float) -> None:
        """Take no new requests after a grace period."""
        if self._drain_asked_at is None:
            self._drain_asked_at = now

    def is_draining(self) -> bool:
        """Return whether the VM was asked to drain."""
        return self._drain_asked_at is not None

    def is_drained(self, now: float) -> bool:
        """Return whether nothing runs or will come.

        The record of how a claimed call ended has to be committed as well.
        """
        if self._flights or len(self._proposals):
            return False
        return self._is_past_grace(now)

    def _is_past_grace(self, now: float) -> bool:
        asked_at = self._drain_asked_at
        return asked_at is not None and now - asked_at >= DRAIN_GRACE_S

    def _answer_stored(
        self,
        ctx: RequestContext,
        stored: SendStoredResponse,
        now: float,
    ) -> None:
        self._relay.stored(ctx, stored, now)

    def _forget(self, ctx: RequestContext) -> None:
        self._flights.pop(ctx.req.request, None)
