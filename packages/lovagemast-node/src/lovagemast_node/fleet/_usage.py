"""Counts a request once, when a target has begun to run it."""

from typing import Final

from lovagemast_core.deployment import CallKind

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._codec import TargetResponseMetadata
from ._entrystate import EntryState

# From here on, a response does not state that the request has run.
STATUS_CLIENT_ERROR: Final = 400
# From here on, it does again, if the target does not deny it.
STATUS_SERVER_ERROR: Final = 500


class RequestUsage:
    """The usage of one request, over all its attempts at targets.

    A peer that sends the request counts it instead of this VM.
    """

    def __init__(self, state: EntryState, admitted: AdmittedRequest) -> None:
        self._state = state
        self._account = admitted.account_name or ''
        self._route = admitted.route.name
        self._is_stream = admitted.route.kind is CallKind.STREAM
        self._is_counted = not self._account or state.usage is None
        self._sent_at = 0.0
        self._has_queue = False  # at the target

    def record_sent(self) -> None:
        """Record that the request is sent to a target."""
        self._sent_at = now_s()

    def record_head(self, response: TargetResponseMetadata) -> None:
        """Record what the head of the target's response says."""
        self._has_queue = response.waiting != 0
        if self._is_stream or response.status < STATUS_SERVER_ERROR:
            return
        if response.is_from_target and not response.not_executed:
            self._count_work()

    def record_event(self) -> None:
        """Record that a target has sent an event of a stream."""
        self._count(now_s())

    def record_response(self, status: int) -> None:
        """Record a response that is not a stream."""
        if status < STATUS_CLIENT_ERROR:
            self._count_work()

    def _count_work(self) -> None:
        usage = self._state.usage
        if usage is None:
            return
        began_at = usage.work_times.began_at(
            self._route, self._sent_at, now_s(), has_queue=self._has_queue
        )
        self._count(began_at)

    def _count(self, began_at: float) -> None:
        if self._is_counted or self._state.usage is None:
            return
        self._is_counted = True
        self._state.usage.record(self._account, began_at, now_s())
        self._state.metrics.record_usage()
