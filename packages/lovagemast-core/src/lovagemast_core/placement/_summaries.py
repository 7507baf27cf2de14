"""Reduces the summaries of owned targets to what has changed.

An unchanged summary is resent only at intervals. The list of adapters is
included when it has changed and every few seconds, in case a message was
lost.
"""

from typing import Final

from .._messages import TargetSummary
from .._types import TargetName

REPEAT_INTERVAL_S: Final = 0.7  # well below the validity of a summary
ADAPTER_LIST_INTERVAL_S: Final = 5.0


class _SentSummary:
    def __init__(self, summary: TargetSummary, now: float) -> None:
        self.summary = summary
        self.sent_at = now  # s
        self.listed_at = now  # s


class SummaryDiffer:
    """Compares summaries with those sent last to find what to send."""

    def __init__(self) -> None:
        self._sent: dict[TargetName, _SentSummary] = {}

    def reduce(
        self,
        summaries: list[TargetSummary],
        now: float,
    ) -> tuple[TargetSummary, ...]:
        """Return the summaries to send, without unchanged parts."""
        reduced = [self._reduce_one(summary, now) for summary in summaries]
        return tuple(summary for summary in reduced if summary)

    def forget(self, target: TargetName) -> None:
        """Forget what was sent, so that the next summary is complete."""
        self._sent.pop(target, None)

    def _reduce_one(
        self,
        summary: TargetSummary,
        now: float,
    ) -> TargetSummary | None:
        sent = self._sent.get(summary.target)
        if sent is None or _list_is_due(sent, summary, now):
            self._sent[summary.target] = _SentSummary(summary, now)
            return summary
        if summary == sent.summary and now - sent.sent_at < REPEAT_INTERVAL_S:
            return None
        sent.summary = summary
        sent.sent_at = now
        return summary._replace(lists_adapters=False, adapters=())


def _list_is_due(
    sent: _SentSummary,
    summary: TargetSummary,
    now: float,
) -> bool:
    if summary.adapters != sent.summary.adapters:
        return True
    if summary.fence != sent.summary.fence:
        return True
    return now - sent.listed_at >= ADAPTER_LIST_INTERVAL_S
