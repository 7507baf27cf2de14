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
from ._context import Attempt, AttemptState, RequestContext


class AttemptBook:
    """Finds requests by attempt and ends attempts at their owners."""

    def __init__(self, outbox: Outbox, boot: str) -> None:
        self._outbox = outbox
        self._boot = boot
        self._seq = 0
        self._flights: dict[AttemptId, RequestContext] = {}

    def begin(
        self,
        ctx: RequestContext,
        target: TargetName,
        owner: VmName,
        now: float,
    ) -> Attempt:
        """Start a request's next attempt at a target."""
        self._seq += 1
        ctx.attempts += 1
        name = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        attempt = Attempt(name, target, owner, _ticket(name, ctx), now)
        ctx.current = attempt
        self._flights[name] = ctx
        return attempt

    def flight_of(self, name: AttemptId) -> RequestContext | None:
        """Return the request whose current attempt this is."""
        return self._flights.get(name)

    def running(self, name: AttemptId) -> tuple[RequestContext, Attempt] | None:
        """Return a request and its current attempt, if that is running.

        Whatever arrives for another attempt is late and not wanted.
        """
        ctx = self._flights.get(name)
        if ctx is None or ctx.current is None:
            return None
        if ctx.current.state is not AttemptState.RUNNING:
            return None
        return ctx, ctx.current

    def end(self, ctx: RequestContext, ending: Ending) -> None:
        """End the current attempt and return its ticket."""
        if ctx.current:
            self.send_return(ctx.current, ending)
        self.forget(ctx)

    def forget(self, ctx: RequestContext) -> None:
        """End the current attempt without a word to the owner."""
        attempt = ctx.current
        ctx.current = None
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
        for ctx in self._flights.values():
            attempt = ctx.current
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


def _ticket(name: AttemptId, ctx: RequestContext) -> Ticket:
    account = ctx.account
    route = ctx.route
    return Ticket(
        name,
        ctx.account_name,
        ctx.label,
        ctx.req.fingerprint,
        account.weight if account else 1.0,
        route.priority if route else Priority.STANDARD,
        max(1.0, ctx.cost),
        ctx.suspect,
    )
