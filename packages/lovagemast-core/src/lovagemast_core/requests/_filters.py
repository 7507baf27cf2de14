"""The filter chain that each request passes before it is dispatched.

The route comes first, since it says whether a key is needed at all.
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
from ._flight import Flight

RATE_PATIENCE_S: Final = 1.0  # a few round trips between VMs


class Verdict(Enum):
    """What a filter decided, other than a refusal."""

    PASS = 'pass'
    WAIT = 'wait'  # the filter resumes the chain itself


class Filter(Protocol):
    """One step of the chain."""

    def apply(self, flight: Flight, now: float) -> Verdict | Refusal:
        """Let a request pass, hold it or refuse it."""


OnPassed = Callable[[Flight, float], None]
OnRefused = Callable[[Flight, Refusal, float], None]


class FilterChain:
    """Runs filters in order; a held request goes on where it stopped."""

    def __init__(
        self,
        filters: tuple[Filter, ...],
        on_passed: OnPassed,
        on_refused: OnRefused,
    ) -> None:
        self._filters = filters
        self._on_passed = on_passed
        self._on_refused = on_refused

    def refuse(self, flight: Flight, refusal: Refusal, now: float) -> None:
        """End a held request with a refusal."""
        self._on_refused(flight, refusal, now)

    def run(self, flight: Flight, now: float) -> None:
        """Run the filters that a request has not passed yet."""
        while flight.position < len(self._filters):
            if flight.done:
                return
            step = self._filters[flight.position]
            flight.position += 1
            verdict = step.apply(flight, now)
            if isinstance(verdict, Refusal):
                self._on_refused(flight, verdict, now)
                return
            if verdict is Verdict.WAIT:
                return
        self._on_passed(flight, now)


class RouteFilter:
    """Finds the route, the pool and the adapter version."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(self, flight: Flight, now: float) -> Verdict | Refusal:
        """Refuse requests that no route serves."""
        index = self._published.index
        routes = index.routes_of(flight.req.path)
        if not routes:
            return Refusal(Reason.NO_ROUTE, f'no route for {flight.req.path}')
        ref = AdapterRef.from_model(flight.req.model)
        for route in routes:
            pool = index.pools[route.pool]
            if pool.kind is PoolKind.SERVICE:
                return self._take(flight, route, None)
            if isinstance(ref, AdapterRef) and ref.base == pool.base:
                return self._take(flight, route, ref)
        if isinstance(ref, Refusal):
            return ref
        return Refusal(Reason.BAD_MODEL, f'no route for base {ref.base!r}')

    def _take(
        self,
        flight: Flight,
        route: Route,
        ref: AdapterRef | None,
    ) -> Verdict:
        flight.route = route
        flight.pool = self._published.index.pools[route.pool]
        flight.ref = ref
        methods = route.idempotent_methods
        flight.idempotent = flight.is_engine or flight.req.method in methods
        return Verdict.PASS


class KeyFilter:
    """Finds the client account that holds the caller's key."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(self, flight: Flight, now: float) -> Verdict | Refusal:
        """Refuse unknown, withdrawn and stale keys."""
        if flight.route and flight.route.open:
            return Verdict.PASS
        if not flight.req.key_digest:
            return Refusal(Reason.KEY_MISSING, 'no key was sent')
        index = self._published.index
        name = index.account_of(flight.req.key_digest)
        account = index.accounts.get(name) if name else None
        if account is None:
            return Refusal(Reason.KEY_UNKNOWN, 'the key is not valid')
        limit_s = account.stale_key_limit_s
        age_s = self._published.quorum_age(now)
        if limit_s is not None and age_s > limit_s:
            detail = 'keys could not be confirmed with the control VMs'
            return Refusal(Reason.KEY_STALE, detail, retry_after_s=1)
        if flight.ref and not account.may_use(flight.ref.adapter):
            detail = f'{flight.ref.adapter!r} is not open to the account'
            return Refusal(Reason.ADAPTER_FORBIDDEN, detail)
        flight.account = account
        return Verdict.PASS


class QuarantineFilter:
    """Stops requests that crashed several targets."""

    def __init__(self, published: PublishedController) -> None:
        self._published = published

    def apply(self, flight: Flight, now: float) -> Verdict | Refusal:
        """Refuse what is quarantined and mark what is suspect."""
        fingerprint = flight.req.fingerprint
        if fingerprint in self._published.quarantined:
            detail = 'targets crashed while they ran this request'
            return Refusal(Reason.QUARANTINED, detail)
        flight.suspect = fingerprint in self._published.suspects
        return Verdict.PASS


class RateFilter:
    """Charges the client account's tokens."""

    def __init__(self, outbox: Outbox, rates: RateController) -> None:
        self.chain: FilterChain | None = None
        self._outbox = outbox
        self._rates = rates

    def apply(self, flight: Flight, now: float) -> Verdict | Refusal:
        """Hold a request until its tokens are there, for a short time."""
        if flight.account is None:
            return Verdict.PASS
        if flight.cost > flight.account.burst_tokens:
            detail = f'{flight.cost:.0f} tokens exceed the burst'
            return Refusal(Reason.OVER_RATE, detail)
        self._rates.spend(
            flight.account.name,
            flight.cost,
            lambda spent, when: self._spent(flight, spent, when),
            timeout_s=RATE_PATIENCE_S,
            now=now,
        )
        return Verdict.WAIT

    def _spent(
        self, flight: Flight, spent: AccountCharge | None, now: float
    ) -> None:
        if flight.done:
            if spent:
                self._rates.refund(spent, spent.amount, now)
            return
        if self.chain is None or flight.account is None:
            return
        if spent is None:
            self.chain.refuse(flight, self._over_rate(flight), now)
            return
        flight.spent = spent
        self._outbox.record(
            now,
            EventKind.ADMITTED,
            f'{spent.amount:.0f} tokens',
            request=flight.req.request,
            account=flight.account_name,
        )
        self.chain.run(flight, now)

    def _over_rate(self, flight: Flight) -> Refusal:
        retry_s = self._rates.retry_after(flight.account_name, flight.cost)
        detail = f'the account is over its rate by {flight.cost:.0f} tokens'
        return Refusal(Reason.OVER_RATE, detail, retry_after_s=retry_s)
