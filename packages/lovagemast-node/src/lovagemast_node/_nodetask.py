"""Runs the core on the event loop and hands its effects to their parts."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from lovagemast_core import Effect, Event, Node, Tick

from ._clock import now_s
from ._logs import PartLogger

_log = PartLogger.from_part('node')
Handler = Callable[[Any], None]


class EffectHandler(Protocol):
    """A part of the daemon that carries effects out."""

    def handlers(self) -> dict[type, Handler]:
        """Return the effects that the part carries out, and how."""


class Clock:
    """Seconds since the epoch that never run backwards or stand still."""

    def __init__(self) -> None:
        self._offset = time.time() - now_s()

    def now(self) -> float:
        """Return the present time in s."""
        return now_s() + self._offset


class NodeTask:
    """Owns the node; everything that happens is posted to it."""

    def __init__(
        self,
        node: Node,
        clock: Clock,
        on_broken: Callable[[BaseException], None],
    ) -> None:
        self.node = node
        self.clock = clock
        self._on_broken = on_broken
        self._events: deque[Event] = deque()
        self._running = False
        self._handlers: dict[type, Handler] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float('inf')

    def attach(self, part: EffectHandler) -> None:
        """Let a part carry out its kinds of effects."""
        self._handlers.update(part.handlers())

    def post(self, event: Event) -> None:
        """Handle an event now, or after the one that is being handled."""
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            self._handle_all()
        except Exception as exc:  # the node's state can't be trusted any more
            self._on_broken(exc)
            raise
        finally:
            self._running = False

    def stop(self) -> None:
        """Handle no further timers."""
        if self._timer:
            self._timer.cancel()

    def _handle_all(self) -> None:
        while self._events:
            event = self._events.popleft()
            for effect in self.node.handle(event, self.clock.now()):
                self._perform(effect)
        self._plan_tick()

    def _perform(self, effect: Effect) -> None:
        handler = self._handlers.get(type(effect))
        if handler:
            handler(effect)
        else:
            _log.error('no part carries out %s', type(effect).__name__)

    def _plan_tick(self) -> None:
        deadline = self.node.next_deadline()
        if deadline is None or deadline >= self._timer_due:
            return
        if self._timer:
            self._timer.cancel()
        self._timer_due = deadline
        wait = max(0.0, deadline - self.clock.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._timer_due = float('inf')
        self.post(Tick())
