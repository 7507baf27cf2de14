"""A bounded in-memory timeline of this VM's most recent events."""

from collections import deque
from typing import NamedTuple

from lovagemast_core import TimelineEvent


class TimelineFilter(NamedTuple):
    """Selects timeline events; empty fields match all."""

    request: str = ''
    account: str = ''
    target: str = ''
    since: float = 0  # s since the epoch
    limit: int = 1000

    def matches(self, event: TimelineEvent) -> bool:
        """Return whether an event meets all criteria."""
        if event.at < self.since:
            return False
        return all(
            not criterion or criterion == value
            for criterion, value in (
                (self.request, event.request),
                (self.account, event.account),
                (self.target, event.target),
            )
        )


class Timeline:
    """The most recent events, up to a limit."""

    def __init__(self, limit: int) -> None:
        self._events: deque[TimelineEvent] = deque(maxlen=limit)

    def add(self, event: TimelineEvent) -> None:
        """Add an event, evicting the oldest one at the limit."""
        self._events.append(event)

    def select(self, criteria: TimelineFilter) -> list[TimelineEvent]:
        """Return the most recent matching events, oldest first."""
        matching = [event for event in self._events if criteria.matches(event)]
        return matching[-criteria.limit :]
