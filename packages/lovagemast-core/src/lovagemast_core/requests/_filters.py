"""The filter chain that requests pass before they are dispatched.

The route filter comes first because the route tells whether a key is needed.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final, Protocol

from .._outbox import Outbox
from .._timeline import EventKind
from .._types import AdapterRef, Reason, Refusal
from ..agreement._published import PublishedController
from ..fleet._fleet import PoolKind, Route
from ..rates._rates import AccountCharge, RateController
from ._context import RequestContext

CHARGE_TIMEOUT_S: Final = 1.0  # a few round trips between VMs


class FilterDecision(Enum):
    """The decision of a filter that does not refuse the request."""

    PASS = 'pass'
    WAIT = 'wait'  # the filter resumes the chain later


class Filter(Protocol):
    """A step of the filter chain."""

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Pass, hold or refuse a request."""


OnPassed = Callable[[RequestContext, float], None]
OnRefused = Callable[[RequestContext, Refusal, float], None]


class FilterChain:
    """Runs filters in order and resumes held requests where they stopped."""

    def __init__(
        self,
        filters: tuple[Filter, ...],
        on_passed: OnPassed,
        on_refused: OnRefused,
    ) -> None:
        self._filters = filters
        self._on_passed = on_passed
        self._on_refused = on_refused

    def refuse(self, ctx: RequestContext, refusal: Refusal, now: float) -> None:
        """Refuse a held request."""
        self._on_refused(ctx, refusal, now)

    def run(self, ctx: RequestContext, now: float) -> None:
        """Run the remaining filters for a request."""
        while ctx.next_filter < len(self._filters):
            if ctx.closed:
                return
            step = self._filters[ctx.next_filter]
            ctx.next_filter += 1
            decision = step.apply(ctx, now)
            if isinstance(decision, Refusal):
                self._on_refused(ctx, decision, now)
                return
            if decision is FilterDecision.WAIT:
                return
        self._on_passed(ctx, now)


class RouteFilter:
    """Determines a request's route, pool and adapter version."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Set the route, or refuse a request that no route matches."""
        index = self._published.index
        routes = index.routes_of(ctx.req.path)
        if not routes:
            return Refusal(Reason.NO_ROUTE, f'no route for {ctx.req.path}')
        ref = AdapterRef.from_model(ctx.req.model)
        for route in routes:
            pool = index.pools[route.pool]
            if pool.kind is PoolKind.SERVICE:
                return self._take(ctx, route, None)
            if isinstance(ref, AdapterRef) and ref.base == pool.base:
                return self._take(ctx, route, ref)
        if isinstance(ref, Refusal):
            return ref
        return Refusal(Reason.BAD_MODEL, f'no route for base {ref.base!r}')

    def _take(
        self,
        ctx: RequestContext,
        route: Route,
        ref: AdapterRef | None,
    ) -> FilterDecision:
        ctx.route = route
        ctx.pool = self._published.index.pools[route.pool]
        ctx.adapter_ref = ref
        methods = route.idempotent_methods
        ctx.idempotent = ctx.is_engine or ctx.req.method in methods
        return FilterDecision.PASS


class KeyFilter:
    """Authenticates the caller: finds the client account of its API key."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Refuse keys that are missing, unknown, withdrawn or stale.

        A key is stale if the quorum has not confirmed the published state
        within the account's limit. Adapters forbidden to the account are
        refused as well.
        """
        if ctx.route and ctx.route.open:
            return FilterDecision.PASS
        if not ctx.req.key_digest:
            return Refusal(Reason.KEY_MISSING, 'no key was sent')
        index = self._published.index
        name = index.account_of(ctx.req.key_digest)
        account = index.accounts.get(name) if name else None
        if account is None:
            return Refusal(Reason.KEY_UNKNOWN, 'the key is not valid')
        limit_s = account.stale_key_limit_s
        age_s = self._published.quorum_age(now)
        if limit_s is not None and age_s > limit_s:
            detail = 'keys could not be confirmed with the control VMs'
            return Refusal(Reason.KEY_STALE, detail, retry_after_s=1)
        if ctx.adapter_ref and not account.may_use(ctx.adapter_ref.adapter):
            detail = f'{ctx.adapter_ref.adapter!r} is not open to the account'
            return Refusal(Reason.ADAPTER_FORBIDDEN, detail)
        ctx.account = account
        return FilterDecision.PASS


class QuarantineFilter:
    """Refuses requests that have crashed several targets."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Refuse a quarantined request and mark a suspect one."""
        fingerprint = ctx.req.fingerprint
        if fingerprint in self._published.quarantined:
            detail = 'targets crashed while they ran this request'
            return Refusal(Reason.QUARANTINED, detail)
        ctx.suspect = fingerprint in self._published.suspects
        return FilterDecision.PASS


class RateFilter:
    """Applies the client account's rate limit."""

    def __init__(self, outbox: Outbox, rates: RateController) -> None:
        self.chain: FilterChain | None = None
        self._outbox = outbox
        self._rates = rates

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Hold a request until its tokens are available, for a limited time."""
        if ctx.account is None:
            return FilterDecision.PASS
        if ctx.cost > ctx.account.burst_tokens:
            detail = f'{ctx.cost:.0f} tokens exceed the burst'
            return Refusal(Reason.OVER_RATE, detail)
        self._rates.spend(
            ctx.account.name,
            ctx.cost,
            lambda charge, when: self._on_charged(ctx, charge, when),
            timeout_s=CHARGE_TIMEOUT_S,
            now=now,
        )
        return FilterDecision.WAIT

    def _on_charged(
        self,
        ctx: RequestContext,
        charge: AccountCharge | None,
        now: float,
    ) -> None:
        if ctx.closed:
            if charge:
                self._rates.refund(charge, charge.amount, now)
            return
        if self.chain is None or ctx.account is None:
            return
        if charge is None:
            self.chain.refuse(ctx, self._over_rate(ctx), now)
            return
        ctx.charge = charge
        self._outbox.record(
            now,
            EventKind.ADMITTED,
            f'{charge.amount:.0f} tokens',
            request=ctx.req.request,
            account=ctx.account_name,
        )
        self.chain.run(ctx, now)

    def _over_rate(self, ctx: RequestContext) -> Refusal:
        retry_s = self._rates.retry_after(ctx.account_name, ctx.cost)
        detail = f'the account is over its rate by {ctx.cost:.0f} tokens'
        return Refusal(Reason.OVER_RATE, detail, retry_after_s=retry_s)
