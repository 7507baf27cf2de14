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
from ._flight import Attempt, Flight

MIN_CHARGE: Final = 0  # tokens, for a request that did not run


class Relay:
    """The only place that answers callers."""

    def __init__(
        self,
        outbox: Outbox,
        rates: RateController,
        claims: ClaimFilter,
        on_finished: Callable[[Flight], None],
    ) -> None:
        self._outbox = outbox
        self._rates = rates
        self._claims = claims
        self._on_finished = on_finished

    def chunk(self, flight: Flight, attempt: Attempt, chunk: bytes) -> None:
        """Pass a part of an answer on, after the head."""
        if not flight.head_sent:
            self._head(flight, attempt)
        if flight.claim:
            flight.claim_body += chunk
        if chunk and not flight.detached:
            self._outbox.emit(SendResponseChunk(flight.req.request, chunk))

    def end(self, flight: Flight, attempt: Attempt, now: float) -> None:
        """End an answer that came whole."""
        if not flight.head_sent:
            self._head(flight, attempt)
        if not flight.detached:
            self._outbox.emit(EndResponse(flight.req.request, None))
        if len(flight.claim_body) <= MAX_STORED_BODY:
            self._claims.finish(
                flight,
                attempt.status,
                attempt.media_type,
                now,
            )
        self._record(flight, EventKind.ANSWERED, f'{attempt.status}', now)
        self._close(flight, flight.req.prompt_tokens + flight.tokens, now)

    def refuse(self, flight: Flight, refusal: Refusal, now: float) -> None:
        """Refuse a request; ``not-run`` is said only where it is proven."""
        used = MIN_CHARGE
        if flight.may_have_run:
            refusal = refusal._replace(run=ExecutionStatus.UNKNOWN)
            used = flight.req.prompt_tokens + flight.tokens
        else:
            self._claims.finish(flight, 0, '', now)
        if not flight.detached:
            self._outbox.emit(SendRefusal(flight.req.request, refusal))
        self._record(flight, EventKind.REFUSED, refusal.reason.value, now)
        self._close(flight, used, now)

    def fail(self, flight: Flight, refusal: Refusal, now: float) -> None:
        """End a request whose answer did not come or broke off."""
        if not flight.head_sent:
            self.refuse(flight, refusal, now)
            return
        if not flight.detached:
            self._outbox.emit(EndResponse(flight.req.request, refusal))
        self._record(flight, EventKind.REFUSED, refusal.reason.value, now)
        self._close(flight, flight.req.prompt_tokens + flight.tokens, now)

    def stored(
        self, flight: Flight, stored: SendStoredResponse, now: float
    ) -> None:
        """Answer a repeated call with the first call's outcome."""
        self._outbox.emit(stored)
        self._record(flight, EventKind.ANSWERED, 'from the record', now)
        self._close(flight, MIN_CHARGE, now)

    def drop(self, flight: Flight, now: float) -> None:
        """Close a request whose caller has left."""
        used = flight.req.prompt_tokens + flight.tokens
        if not flight.may_have_run:
            used = MIN_CHARGE
            self._claims.finish(flight, 0, '', now)
        self._record(flight, EventKind.REFUSED, 'the caller left', now)
        self._close(flight, used, now)

    def _head(self, flight: Flight, attempt: Attempt) -> None:
        flight.head_sent = True
        if not flight.detached:
            self._outbox.emit(
                StartResponse(
                    flight.req.request,
                    attempt.status,
                    attempt.media_type,
                ),
            )

    def _record(
        self,
        flight: Flight,
        kind: EventKind,
        detail: str,
        now: float,
    ) -> None:
        self._outbox.record(
            now,
            kind,
            detail,
            request=flight.req.request,
            account=flight.account_name,
        )

    def _close(self, flight: Flight, used: int, now: float) -> None:
        flight.done = True
        if flight.spent and flight.is_engine:
            unused = flight.spent.amount - used
            if unused > 0:
                self._rates.refund(flight.spent, unused, now)
        self._on_finished(flight)
