"""Keeps summaries of owned targets small.

A summary that says nothing new is left out for a while, and the list of
adapters is sent when it has changed and every few seconds, in case that a
message was lost.
"""

from typing import Final

from .._messages import TargetSummary
from .._types import TargetName

REPEAT_S: Final = 0.7  # well below the time for which summaries are valid
LIST_AGAIN_S: Final = 5.0


class _Sent:
    def __init__(self, summary: TargetSummary, now: float) -> None:
        self.summary = summary
        self.at = now  # s
        self.listed_at = now  # s


class SummaryDiffer:
    """Compares summaries with those that were sent last."""

    def __init__(self) -> None:
        self._sent: dict[TargetName, _Sent] = {}

    def reduce(
        self,
        summaries: list[TargetSummary],
        now: float,
    ) -> tuple[TargetSummary, ...]:
        """Return what has to be sent of the present summaries."""
        reduced = [self._reduce_one(summary, now) for summary in summaries]
        return tuple(summary for summary in reduced if summary)

    def forget(self, target: TargetName) -> None:
        """Send a target's next summary whole."""
        self._sent.pop(target, None)

    def _reduce_one(
        self,
        summary: TargetSummary,
        now: float,
    ) -> TargetSummary | None:
        sent = self._sent.get(summary.target)
        if sent is None or _list_is_due(sent, summary, now):
            self._sent[summary.target] = _Sent(summary, now)
            return summary
        if summary == sent.summary and now - sent.at < REPEAT_S:
            return None
        sent.summary = summary
        sent.at = now
        return summary._replace(lists_adapters=False, adapters=())


def _list_is_due(sent: _Sent, summary: TargetSummary, now: float) -> bool:
    if summary.adapters != sent.summary.adapters:
        return True
    if summary.fence != sent.summary.fence:
        return True
    return now - sent.listed_at >= LIST_AGAIN_S
