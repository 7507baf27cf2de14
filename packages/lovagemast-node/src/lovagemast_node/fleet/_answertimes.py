"""Measures how long the parts of a target's answer take.

Nothing is done per event: a stream is measured by its first event and its end.
"""

from collections.abc import Iterator

from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import WorkKind, WorkTime
from lovagemast_core.targets import TargetRecord

from ._admitted import AdmittedRequest
from ._codec import TargetResponseMetadata
from ._relay import ResponseRelay
from ._targetpaces import PaceTracker


class AnswerTimes:
    """The times of one answer, from when its request was sent."""

    def __init__(self, admitted: AdmittedRequest, record: TargetRecord) -> None:
        self._admitted = admitted
        self._record = record
        self._sent_at = 0.0
        self._waiting: int | None = None

    def begin(self, now: float) -> None:
        """Begin with the request being sent."""
        self._sent_at = now

    def on_head(self, response: TargetResponseMetadata) -> None:
        """Note how many requests wait at the target."""
        self._waiting = response.waiting

    def record(
        self, paces: PaceTracker, relay: ResponseRelay, now: float
    ) -> None:
        """Record the times of an answer that is complete.

        If requests wait at the target, this one may have waited too, and its
        time tells more of the target's load than of its pace.
        """
        pool, target = self._record.pool, self._record.target
        if not paces.known.reports_paces(pool):
            return
        queue = (self._waiting or 0) / max(1, self._record.slots)
        paces.service_times.record(pool, now - self._sent_at, queue)
        if self._waiting == 0:
            for work in self._measure(relay, now):
                paces.known.record_answer(pool, target, work, now)

    def _measure(self, relay: ResponseRelay, now: float) -> Iterator[WorkTime]:
        route = self._admitted.route
        if route.kind is not CallKind.STREAM:
            kind = WorkKind(route.name, 'answer')
            yield WorkTime(kind, now - self._sent_at)
            return
        first_at = relay.first_at
        if first_at is None or first_at < self._sent_at:
            return  # another target began the stream
        metadata = self._admitted.metadata
        prompt_tokens = metadata.prompt_tokens
        if prompt_tokens:
            kind = WorkKind(route.name, 'first event')
            yield WorkTime(kind, (first_at - self._sent_at) / prompt_tokens)
        kind = WorkKind(route.name, 'events')
        events_s = now - first_at
        output_tokens = (metadata.tokens or 0.0) - prompt_tokens
        yield WorkTime(kind, events_s / max(1.0, output_tokens))
