"""Runs the core on the event loop and dispatches its effects."""

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
    """A component of the daemon that performs effects."""

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""


class Clock:
    """A monotonic clock in seconds since the epoch.

    It does not follow changes of the wall clock and includes the time in
    which the VM is suspended.
    """

    def __init__(self) -> None:
        self._epoch_offset_s = time.time() - now_s()

    def now(self) -> float:
        """Return the current time in seconds since the epoch."""
        return now_s() + self._epoch_offset_s


class NodeTask:
    """Owns the node and passes it all events on the event loop."""

    def __init__(
        self,
        node: Node,
        clock: Clock,
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.node = node
        self.clock = clock
        self._on_failure = on_failure
        self._events: deque[Event] = deque()
        self._is_processing = False
        self._handlers: dict[type, Handler] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = float('inf')

    def register(self, component: EffectHandler) -> None:
        """Register a component's effect handlers."""
        self._handlers.update(component.handlers())

    def post(self, event: Event) -> None:
        """Process an event now, or queue it while another is processed."""
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._process_events()
        except Exception as exc:  # the node's state may be inconsistent
            self._on_failure(exc)
            raise
        finally:
            self._is_processing = False

    def stop(self) -> None:
        """Cancel the pending timer."""
        if self._timer:
            self._timer.cancel()

    def _process_events(self) -> None:
        while self._events:
            event = self._events.popleft()
            for effect in self.node.handle(event, self.clock.now()):
                self._dispatch_effect(effect)
        self._schedule_tick()

    def _dispatch_effect(self, effect: Effect) -> None:
        handler = self._handlers.get(type(effect))
        if handler:
            handler(effect)
        else:
            _log.error(
                'no handler registered for effect %s', type(effect).__name__
            )

    def _schedule_tick(self) -> None:
        deadline = self.node.next_deadline()
        if deadline is None or deadline >= self._timer_deadline:
            return
        if self._timer:
            self._timer.cancel()
        self._timer_deadline = deadline
        delay_s = max(0.0, deadline - self.clock.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._timer_deadline = float('inf')
        self.post(Tick())
