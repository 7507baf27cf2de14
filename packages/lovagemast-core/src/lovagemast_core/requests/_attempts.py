"""The registry of this VM's open attempts."""

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


class AttemptRegistry:
    """Maps attempts to requests and reports their end to target owners."""

    def __init__(self, outbox: Outbox, boot: str) -> None:
        self._outbox = outbox
        self._boot = boot
        self._seq = 0
        self._contexts: dict[AttemptId, RequestContext] = {}

    def begin(
        self,
        ctx: RequestContext,
        target: TargetName,
        owner: VmName,
        now: float,
    ) -> Attempt:
        """Create and register a request's next attempt at a target."""
        self._seq += 1
        ctx.attempt_count += 1
        name = f'{self._outbox.vm}/{self._boot}/{self._seq}'
        attempt = Attempt(name, target, owner, _ticket(name, ctx), now)
        ctx.current_attempt = attempt
        self._contexts[name] = ctx
        return attempt

    def find(self, name: AttemptId) -> RequestContext | None:
        """Return the request with this current attempt, if any."""
        return self._contexts.get(name)

    def find_running(
        self,
        name: AttemptId,
    ) -> tuple[RequestContext, Attempt] | None:
        """Return a request and its current attempt, if it is running.

        Late events of other attempts are ignored.
        """
        ctx = self._contexts.get(name)
        if ctx is None or ctx.current_attempt is None:
            return None
        if ctx.current_attempt.state is not AttemptState.RUNNING:
            return None
        return ctx, ctx.current_attempt

    def end(self, ctx: RequestContext, ending: Ending) -> None:
        """End the current attempt and return its ticket to the owner."""
        if ctx.current_attempt:
            self.send_return(ctx.current_attempt, ending)
        self.discard(ctx)

    def discard(self, ctx: RequestContext) -> None:
        """Remove the current attempt without informing the owner."""
        attempt = ctx.current_attempt
        ctx.current_attempt = None
        if attempt is None:
            return
        self._contexts.pop(attempt.attempt, None)
        if attempt.timer:
            attempt.timer.cancel()

    def send_return(self, attempt: Attempt, ending: Ending) -> None:
        """Return an attempt's ticket with the way in which it ended."""
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
        """Report the calls running at a target to its owner.

        Attempts at the target switch to this owner if it is newer.
        """
        tickets = []
        for ctx in self._contexts.values():
            attempt = ctx.current_attempt
            if attempt is None or attempt.target != ask.target:
                continue
            if attempt.state is AttemptState.RUNNING:
                tickets.append(attempt.ticket)
            attempt.switch_owner(owner, ask.fence)
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
