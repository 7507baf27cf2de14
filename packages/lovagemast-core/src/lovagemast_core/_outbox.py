"""The outbox: collects a node's effects, local messages and timers."""

import heapq
import random
from collections import deque
from collections.abc import Callable

from ._effects import Effect, Record, SendPeer
from ._messages import PeerMessage
from ._timeline import EventKind, TimelineEvent
from ._types import VmName

Callback = Callable[[float], None]


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ('callback',)

    def __init__(self, callback: Callback) -> None:
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Prevent the callback from being called."""
        self.callback = None

    def has_fired(self) -> bool:
        """Return whether the callback was called or cancelled."""
        return self.callback is None


class Outbox:
    """The only channel from the controllers to the outside.

    Controllers perform no I/O: they emit effects for the host, send
    messages to VMs and schedule callbacks here.
    """

    def __init__(self, vm: VmName, rng: random.Random) -> None:
        self.vm = vm
        self.rng = rng
        self.local: deque[PeerMessage] = deque()
        self._effects: list[Effect] = []
        self._timers: list[tuple[float, int, Timer]] = []
        self._seq = 0

    def emit(self, effect: Effect) -> None:
        """Queue an effect for the host."""
        self._effects.append(effect)

    def send(self, vm: VmName, message: PeerMessage) -> None:
        """Send a message to a VM, which may be this one.

        Without a VM name the message is dropped.
        """
        if vm == self.vm:
            self.local.append(message)
        elif vm:
            self._effects.append(SendPeer(vm, message))

    def record(
        self,
        now: float,
        kind: EventKind,
        detail: str = '',
        *,
        request: str = '',
        account: str = '',
        target: str = '',
    ) -> None:
        """Add an event to the timeline."""
        event = TimelineEvent(
            now,
            self.vm,
            kind,
            detail,
            request,
            account,
            target,
        )
        self._effects.append(Record(event))

    def call_at(self, when: float, callback: Callback) -> Timer:
        """Schedule a callback for a time; it may run slightly later."""
        timer = Timer(callback)
        self._seq += 1
        heapq.heappush(self._timers, (when, self._seq, timer))
        return timer

    def next_deadline(self) -> float | None:
        """Return when the next timer is due, ``None`` without timers."""
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Callback | None:
        """Return the next due callback and mark its timer as fired."""
        deadline = self.next_deadline()
        if deadline is None or deadline > now:
            return None
        timer = heapq.heappop(self._timers)[2]
        callback = timer.callback
        timer.cancel()
        return callback

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects
