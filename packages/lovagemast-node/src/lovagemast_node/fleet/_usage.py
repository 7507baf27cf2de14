"""Counts a request once, when a target has begun to run it."""

from typing import Final

from lovagemast_core.duties import UsageCounter

from .._clock import now_s
from ._metrics import EntryMetrics

# From here on, a response does not state that the request has run.
STATUS_CLIENT_ERROR: Final = 400


class RequestUsage:
    """The usage of one request, over all its attempts at targets.

    A peer that sends the request counts it instead of this VM.
    """

    def __init__(
        self,
        counter: UsageCounter | None,
        account: str | None,
        metrics: EntryMetrics,
    ) -> None:
        self._counter = counter if account else None
        self._account = account or ''
        self._metrics = metrics

    def record_event(self) -> None:
        """Record that a target has sent an event of a stream."""
        if self._counter is None:
            return
        self._counter.record(self._account, now_s())
        self._counter = None
        self._metrics.record_usage()

    def record_response(self, status: int) -> None:
        """Record a response that is not a stream."""
        if status < STATUS_CLIENT_ERROR:
            self.record_event()
