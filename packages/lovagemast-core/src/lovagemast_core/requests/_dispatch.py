"""Brings admitted requests to targets: places, asks for tickets, calls."""

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
from ._answers import AnswerController
from ._attempts import AttemptBook
from ._flight import Attempt, AttemptState, Flight
from ._relay import Relay
from ._retry import MAX_ATTEMPTS, RetryBudget

CHECK_ASK_S: Final = 0.5
PLACE_AGAIN_S: Final = 0.1
RETRY_AFTER_S: Final = 2.0


class Dispatcher:
    """The entry side of a request's way to a target."""

    def __init__(
        self,
        outbox: Outbox,
        published: PublishedController,
        placer: Placer,
        relay: Relay,
        boot: str,
    ) -> None:
        self.book = AttemptBook(outbox, boot)
        self._outbox = outbox
        self._published = published
        self._placer = placer
        self._relay = relay
        self._budget = RetryBudget()
        self.answers = AnswerController(
            outbox,
            self.book,
            relay,
            self._budget,
            self._place,
        )

    def start(self, flight: Flight, now: float) -> None:
        """Dispatch a request that has passed all filters."""
        self._budget.earn()
        self._place(flight, now)

    def cancel(self, flight: Flight) -> None:
        """Stop the current attempt, since the caller has left."""
        attempt = flight.current
        if attempt is None:
            return
        ending = Ending.ABANDONED
        if attempt.state is AttemptState.RUNNING:
            self._outbox.emit(CancelCall(attempt.attempt))
            ending = Ending.CANCELLED
        self.book.end(flight, ending)

    def on_grant(self, owner: VmName, grant: TicketGrant, now: float) -> None:
        """Open the call of an admitted attempt."""
        flight = self.book.flight_of(grant.attempt)
        attempt = flight.current if flight else None
        known = self._placer.find(grant.target)
        if flight is None or attempt is None or known is None:
            self._give_back(owner, grant)
            return
        if attempt.state is not AttemptState.ASKED:
            return
        if not self._key_still_valid(flight):
            self.book.end(flight, Ending.ABANDONED)
            refusal = Refusal(Reason.KEY_UNKNOWN, 'the key was withdrawn')
            self._relay.refuse(flight, refusal, now)
            return
        attempt.open(owner, grant, now, ran_before=flight.may_have_run)
        flight.may_have_run = True
        self._placer.record_prefix(flight, attempt.target)
        self.answers.watch(flight, attempt, now)
        self._note_call(flight, attempt, grant, now)
        self._outbox.emit(
            OpenCall(
                attempt.attempt,
                flight.req.request,
                attempt.target,
                known.facts.address,
                flight.label,
                flight.max_tokens,
                grant.fence,
                fresh_connection=not flight.idempotent,
            ),
        )

    def on_refuse(self, refuse: TicketRefuse, now: float) -> None:
        """Try elsewhere after an owner's refusal."""
        flight = self.book.flight_of(refuse.attempt)
        if flight is None or flight.current is None:
            return
        if flight.current.state is not AttemptState.ASKED:
            return
        self.book.forget(flight)
        flight.tried.append(refuse.target)
        self._note_refusal(flight, refuse)
        if flight.attempts >= MAX_ATTEMPTS and flight.last_refusal:
            self._relay.refuse(flight, flight.last_refusal, now)
        else:
            self._place(flight, now)

    def _place(self, flight: Flight, now: float) -> None:
        if flight.done:
            return
        known = self._placer.choose(flight, now)
        if known is None:
            self._wait_for_target(flight, now)
            return
        known.unreported_requests += 1
        attempt = self.book.begin(
            flight,
            known.facts.target,
            known.owner,
            now,
        )
        self._outbox.record(
            now,
            EventKind.PLACED,
            f'attempt {flight.attempts}, owner {known.owner}',
            request=flight.req.request,
            account=flight.account_name,
            target=known.facts.target,
        )
        self._ask(flight, attempt, now)

    def _wait_for_target(self, flight: Flight, now: float) -> None:
        if flight.overload_retry_s is not None:
            refusal = Refusal(
                Reason.OVERLOADED,
                'every target has a longer queue than the route allows',
                retry_after_s=flight.overload_retry_s,
            )
            self._relay.refuse(flight, refusal, now)
        elif flight.patience_left(now) <= 0:
            self._relay.refuse(flight, _no_target(flight), now)
        else:
            flight.tried.clear()
            self._outbox.call_at(
                now + PLACE_AGAIN_S,
                lambda when: self._place(flight, when),
            )

    def _ask(self, flight: Flight, attempt: Attempt, now: float) -> None:
        self._outbox.send(
            attempt.owner,
            TicketAsk(
                attempt.target,
                attempt.ticket,
                max(0, flight.patience_left(now)),
            ),
        )
        attempt.timer = self._outbox.call_at(
            now + CHECK_ASK_S,
            lambda when: self._check_ask(flight, attempt, when),
        )

    def _check_ask(self, flight: Flight, attempt: Attempt, now: float) -> None:
        """Ask again, elsewhere if the target has closed meanwhile."""
        if flight.current is not attempt:
            return
        known = self._placer.find_available(attempt.target, now)
        if flight.patience_left(now) <= 0:
            self.book.end(flight, Ending.ABANDONED)
            refusal = Refusal(
                Reason.OVERLOADED,
                'no place at a target came free in time',
                retry_after_s=RETRY_AFTER_S,
            )
            self._relay.refuse(flight, refusal, now)
        elif known is None or known.owner != attempt.owner:
            self.book.end(flight, Ending.ABANDONED)
            self._place(flight, now)
        else:
            self._ask(flight, attempt, now)

    def _note_refusal(self, flight: Flight, refuse: TicketRefuse) -> None:
        known = self._placer.find(refuse.target)
        if refuse.reason is Reason.OVERLOADED:
            known_s = flight.overload_retry_s or refuse.retry_after_s
            flight.overload_retry_s = min(known_s, refuse.retry_after_s)
        elif refuse.reason is Reason.ADAPTER_UNAVAILABLE:
            flight.last_refusal = Refusal(
                Reason.ADAPTER_UNAVAILABLE,
                f'{flight.label} could not be loaded',
                retry_after_s=RETRY_AFTER_S,
            )
        elif known:
            known.summary_at = float('-inf')

    def _key_still_valid(self, flight: Flight) -> bool:
        if flight.account is None:
            return True
        holder = self._published.index.account_of(flight.req.key_digest)
        return holder == flight.account.name

    def _give_back(self, owner: VmName, grant: TicketGrant) -> None:
        back = TicketReturn(grant.attempt, grant.target, Ending.ABANDONED, 0)
        self._outbox.send(owner, back)

    def _note_call(
        self,
        flight: Flight,
        attempt: Attempt,
        grant: TicketGrant,
        now: float,
    ) -> None:
        self._outbox.record(
            now,
            EventKind.CALL_OPENED,
            f'after {now - flight.arrived_at:.3f} s, '
            f'{grant.load_wait_s:.3f} s of it an adapter load',
            request=flight.req.request,
            account=flight.account_name,
            target=attempt.target,
        )


def _no_target(flight: Flight) -> Refusal:
    return flight.last_refusal or Refusal(
        Reason.NO_TARGET,
        'no target of the pool can take the request now',
        retry_after_s=RETRY_AFTER_S,
    )
