"""Passes a target's answer on to the caller."""

from lovagemast_core.entry import EventStreamBuffer

from .._clock import now_s
from ..http import Responder, ResponseHead
from ._dialect import EdgeDialect


class Relay:
    """One answer, which several targets may contribute to in turn."""

    def __init__(self, responder: Responder, dialect: EdgeDialect) -> None:
        self._responder = responder
        self._dialect = dialect
        self._cutter = EventStreamBuffer()
        self.first_at: float | None = None  # s, when the answer began
        self.longest_pause_s = 0.0  # between events
        self.target_pause_s = 0.0  # the same, of the last target alone
        self._is_resumed = False
        self._last_at = 0.0

    @property
    def started(self) -> bool:
        """Return whether a part of the answer was passed on."""
        return self._responder.started

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that was passed on."""
        return self._cutter.last_id

    def begin_stream(self) -> None:
        """Expect the events of another target.

        A pause before them is not one of that target's.
        """
        self._cutter.discard_partial()
        self._is_resumed = self.started
        self.target_pause_s = 0.0

    async def pass_events(self, head: ResponseHead, chunk: bytes) -> None:
        """Pass whole events on, and keep what is not whole yet."""
        whole = self._cutter.feed(chunk)
        if whole:
            self._start(head)
            self._note_pause()
            await self._responder.write(whole)

    async def end_stream(self, head: ResponseHead) -> None:
        """End a stream that is whole."""
        self._start(head)
        await self._responder.write(self._cutter.flush())
        self._responder.end()

    async def pass_whole(self, head: ResponseHead, body: bytes) -> None:
        """Pass an answer on that is no stream."""
        headers = self._dialect.answer_headers(head.headers)
        await self._responder.send(head.status, headers, body)

    def _note_pause(self) -> None:
        now = now_s()
        if self._last_at:
            pause_s = now - self._last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            if not self._is_resumed:
                self.target_pause_s = max(self.target_pause_s, pause_s)
        self._is_resumed = False
        self._last_at = now

    def _start(self, head: ResponseHead) -> None:
        if not self._responder.started:
            self.first_at = now_s()
            headers = self._dialect.answer_headers(head.headers)
            self._responder.start(head.status, headers, None)
