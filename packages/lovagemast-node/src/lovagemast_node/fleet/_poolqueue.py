"""Wakes a pool's waiting requests in order, as targets can take them.

The load: tens of requests wait while each reply of the sync and each request
that ends may free a slot. Only requests that can be sent are woken, one after
the other; the others are checked where they are, without a task switch.
"""

import asyncio
import enum
from collections.abc import Callable
from typing import Final, NamedTuple

from lovagemast_core.entry import WaitingOrder, WaitingRequest

from .._clock import now_s

# Between the passes over requests that wait, if nothing else starts one.
PASS_INTERVAL_S: Final = 0.05
MIN_PASS_INTERVAL_S: Final = 0.001


class Readiness(enum.Enum):
    """Whether a waiting request is to be woken."""

    WAITS = enum.auto()
    ENDS = enum.auto()  # it is to be refused; it takes no slot
    CAN_SEND = enum.auto()


class CheckResult(NamedTuple):
    """What a pass finds of one waiting request.

    ``is_held`` tells that it waits for more than a free slot. ``check_at`` is
    when to check again at the latest, in s. ``target`` is the one that it can
    be sent to. ``holders`` are the targets that could serve it if they had
    room.
    """

    readiness: Readiness
    is_held: bool = False
    check_at: float = float('inf')
    target: str = ''
    holders: frozenset[str] = frozenset()

    def takes_slot(self, reserved: frozenset[str]) -> bool:
        """Return whether it is sent, to a target that is not reserved."""
        is_ready = self.readiness is Readiness.CAN_SEND
        return is_ready and self.target not in reserved

    def can_go(self, reserved: frozenset[str]) -> bool:
        """Return whether to wake it."""
        return self.readiness is Readiness.ENDS or self.takes_slot(reserved)


class Ticket:
    """A request's place in the queue of a pool."""

    def __init__(
        self,
        request: WaitingRequest,
        number: int,
        check: Callable[[float], CheckResult],
    ) -> None:
        self.request = request
        self.number = number
        self.check = check
        self.error: Exception | None = None
        self._wake: asyncio.Future[None]
        self.reset()

    async def wait(self) -> None:
        """Wait until a pass has found that the request's wait ends."""
        await self._wake
        if self.error:
            raise self.error

    def wake(self) -> None:
        """Let the request's task run."""
        if not self._wake.done():  # by its caller, who has left
            self._wake.set_result(None)

    def reset(self) -> None:
        """Prepare for another wait."""
        self._wake = asyncio.get_running_loop().create_future()

    @property
    def is_woken(self) -> bool:
        """Return whether its task is about to run."""
        return self._wake.done()


class PoolQueue:
    """The waiting requests of one pool.

    ``on_change`` gets numbers of waiting requests by priority, those that
    have changed.
    """

    def __init__(self, on_change: Callable[[dict[int, int]], None]) -> None:
        self.order = WaitingOrder()
        self._on_change = on_change
        self._tickets: dict[int, Ticket] = {}
        self._is_pass_due = False
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._tickets)

    def join(
        self, request: WaitingRequest, check: Callable[[float], CheckResult]
    ) -> Ticket:
        """Add a request and start a pass.

        ``check`` tells at any time whether the request could be sent. It is
        called while the request's task is suspended.
        """
        number = self.order.join(request, now_s())
        ticket = Ticket(request, number, check)
        self._tickets[number] = ticket
        self._report(request.priority)
        self.notify()
        return ticket

    def wait_again(self, ticket: Ticket) -> None:
        """Keep a request that was woken and can't be sent after all."""
        ticket.reset()
        self.notify()

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that ends its wait, or whose caller has left.

        The next pass runs after the task of a request that was woken has
        counted it at its target.
        """
        self._tickets.pop(ticket.number, None)
        self.order.leave(ticket.number, now_s())
        self._report(ticket.request.priority)
        if ticket.is_woken:
            self.notify()
        if not self._tickets:
            self._stop_timer()

    def notify(self) -> None:
        """Start a pass soon, as a request may be sent now."""
        if self._tickets and not self._is_pass_due:
            self._is_pass_due = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        """Wake the first request that can be sent, and those to be refused.

        While a woken request has not been sent yet, its slot seems free; the
        next pass starts when it leaves.
        """
        self._is_pass_due = False
        now = now_s()
        next_at = now + PASS_INTERVAL_S
        reserved: frozenset[str] = frozenset()
        for number in tuple(self.order.in_order(now)):
            ticket = self._tickets[number]
            if ticket.is_woken:
                break
            found = self._check(ticket, now)
            next_at = min(next_at, found.check_at)
            if found.can_go(reserved):
                ticket.wake()
            if found.takes_slot(reserved):
                break
            reserved = reserved or self._reserve(number, found, now)
        self._restart_timer(max(MIN_PASS_INTERVAL_S, next_at - now))

    def _reserve(
        self, number: int, found: CheckResult, now: float
    ) -> frozenset[str]:
        """Return the targets that are kept free for a request.

        One that needs more room than others, as its prompt is long, would find
        none while others take each bit of it. It may keep them from others
        once it is overdue, one request of a pool at a time.
        """
        if found.holders and self.order.is_overdue(number, now):
            return found.holders
        return frozenset()

    def _check(self, ticket: Ticket, now: float) -> CheckResult:
        """Check a request; an error ends its wait, not the pass."""
        try:
            found = ticket.check(now)
        except Exception as exc:
            ticket.error = exc
            return CheckResult(Readiness.ENDS)
        self.order.set_held(ticket.number, is_held=found.is_held)
        return found

    def _restart_timer(self, delay_s: float) -> None:
        self._stop_timer()
        if self._tickets:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.notify)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _report(self, priority: int) -> None:
        self._on_change({priority: self.order.waiting()[priority]})
