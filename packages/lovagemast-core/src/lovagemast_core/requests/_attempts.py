"""The attempts of this VM that have not ended."""

from .._messages import (
    Ending,
    RunningAsk,
    RunningReply,
    Ticket,
    TicketReturn,
)
from .._outbox import Outbox
from .._types import AttemptId, Priority, TargetName, VmName
from ._flight import Attempt, AttemptState, Flight


class AttemptBook:
    """Finds requests by attempt and ends attempts at their owners."""

    def __init__(self, outbox: Outbox, boot: str) -> None:
        self._outbox = outbox
        self._boot = boot
        self._seq = 0
        self._flights: dict[AttemptId, Flight] = {}

    def begin(
        self,
        flight: Flight,
        target: TargetName,
        owner: VmName,
        now: float,
    ) -> Attempt:
        """Start a request's next attempt at a target."""
        self._seq += 1
        flight.attempts += 1
        name = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        attempt = Attempt(name, target, owner, _ticket(name, flight), now)
        flight.current = attempt
        self._flights[name] = flight
        return attempt

    def flight_of(self, name: AttemptId) -> Flight | None:
        """Return the request whose current attempt this is."""
        return self._flights.get(name)

    def running(self, name: AttemptId) -> tuple[Flight, Attempt] | None:
        """Return a request and its current attempt, if that is running.

        Whatever arrives for another attempt is late and not wanted.
        """
        flight = self._flights.get(name)
        if flight is None or flight.current is None:
            return None
        if flight.current.state is not AttemptState.RUNNING:
            return None
        return flight, flight.current

    def end(self, flight: Flight, ending: Ending) -> None:
        """End the current attempt and return its ticket."""
        if flight.current:
            self.send_return(flight.current, ending)
        self.forget(flight)

    def forget(self, flight: Flight) -> None:
        """End the current attempt without a word to the owner."""
        attempt = flight.current
        flight.current = None
        if attempt is None:
            return
        self._flights.pop(attempt.attempt, None)
        if attempt.timer:
            attempt.timer.cancel()

    def send_return(self, attempt: Attempt, ending: Ending) -> None:
        """Tell the owner how an attempt ended."""
        self._outbox.send(
            attempt.owner,
            TicketReturn(
                attempt.attempt,
                attempt.target,
                ending,
                attempt.first_chunk_s,
            ),
        )

    def on_running_ask(self, owner: VmName, ask: RunningAsk) -> None:
        """Tell an owner which calls run at a target, and follow it."""
        tickets = []
        for flight in self._flights.values():
            attempt = flight.current
            if attempt is None or attempt.target != ask.target:
                continue
            if attempt.state is AttemptState.RUNNING:
                tickets.append(attempt.ticket)
            attempt.follow_owner(owner, ask.fence)
        reply = RunningReply(
            ask.target,
            ask.fence,
            ask.asked_at,
            tuple(tickets),
        )
        self._outbox.send(owner, reply)


def _ticket(name: AttemptId, flight: Flight) -> Ticket:
    account = flight.account
    route = flight.route
    return Ticket(
        name,
        flight.account_name,
        flight.label,
        flight.req.fingerprint,
        account.weight if account else 1.0,
        route.priority if route else Priority.STANDARD,
        max(1.0, flight.cost),
        flight.suspect,
    )
