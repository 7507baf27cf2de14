"""Virtual time, and the timing of sync requests as in ``SyncClient``."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from lovagemast_core.targets import SyncReply

from .syncparts import Client


class SyncClock:
    """Runs work at its time, and sync requests at their intervals."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def _at(
        self, delay_s: float, work: Callable[..., None], *args: Any
    ) -> None:
        item = (self.now + delay_s, next(self._numbers), lambda: work(*args))
        heapq.heappush(self._events, item)

    def _run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            at, _number, work = heapq.heappop(self._events)
            self.now = at
            work()
        self.now = end

    # The leader.

    def _start_ask(self, client: Client) -> None:
        client.number += 1
        client.sent[client.number] = self.now
        client.sent_at = self.now
        client.answered = False
        client.woken = False
        client.due_event += 1

    def _on_answered(
        self,
        client: Client,
        reply: SyncReply,
        timing: Any,
        ask: Callable[..., None],
        *args: Any,
    ) -> None:
        client.sent = {
            number: at
            for number, at in client.sent.items()
            if number >= reply.ask
        }
        if reply.is_push or client.answered:
            return
        client.answered = True
        delay_s = timing.min_interval_s
        if not client.woken:
            delay_s += timing.interval_s
        self._schedule_ask(client, client.sent_at + delay_s, ask, args)

    def _wake(
        self,
        client: Client,
        timing: Any,
        ask: Callable[..., None],
        *args: Any,
    ) -> None:
        client.woken = True
        if client.answered:
            due_at = client.sent_at + timing.min_interval_s
            self._schedule_ask(client, due_at, ask, args)

    def _schedule_ask(
        self,
        client: Client,
        due_at: float,
        ask: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        client.due_event += 1
        due = client.due_event

        def fire() -> None:
            if client.due_event == due:
                ask(*args)

        self._at(max(0.0, due_at - self.now), fire)
