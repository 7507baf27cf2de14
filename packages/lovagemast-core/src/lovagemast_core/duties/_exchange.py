"""Sends usage counts over the sync, until they have arrived.

The same exchange runs between an entry VM and its relay and between a relay
and the leader.
"""

from typing import Final, Protocol

from ._clock import FollowedClock
from ._ledger import UsageLedger
from ._records import VmUsage

REPORT_INTERVAL_S: Final = 1.0


class TimedReply(Protocol):
    """What a reply of the sync says of usage."""

    @property
    def ask(self) -> int:
        """Return the number of the newest request that has arrived."""

    @property
    def epoch(self) -> int:
        """Return what names the server and its incarnation."""

    @property
    def utc_s(self) -> float:
        """Return the fleet's time, 0 if the server does not know it."""

    @property
    def usage_floor(self) -> int:
        """Return the newest window that is committed."""


class UsageExchange:
    """Reports a ledger's changes with sync requests.

    A server that is new, or was replaced, is told everything: it may know
    nothing yet. Nothing is sent unless the ledger holds counts.
    """

    def __init__(self) -> None:
        self.ledger = UsageLedger()
        self.clock = FollowedClock()
        self._epoch = 0  # of the server
        self._arrived_stamp = 0  # up to which the server has been told
        self._sent: tuple[int, int] | None = None  # number and stamp
        self._sent_at = float('-inf')

    def is_due(self, now: float) -> bool:
        """Return whether the last report was sent long enough ago."""
        return now - self._sent_at >= REPORT_INTERVAL_S

    def reports(self, ask: int, now: float) -> tuple[VmUsage, ...]:
        """Return what to report with the sync request of this number."""
        has_reports = self._arrived_stamp < self.ledger.stamp
        if not has_reports or not self.is_due(now):
            return ()
        self._sent_at = now
        self._sent = (ask, self.ledger.stamp)
        return self.ledger.changed_since(self._arrived_stamp)

    def on_reply(self, reply: TimedReply, asked_at: float, now: float) -> None:
        """Apply a reply to the request sent at ``asked_at``.

        Only the very request that carried a report shows that it arrived:
        earlier ones may have been lost with another stream.
        """
        self.clock.on_reply(reply.utc_s, asked_at, now)
        self.ledger.set_floor(reply.usage_floor)
        if reply.epoch != self._epoch:
            self._epoch = reply.epoch
            self._arrived_stamp = 0
            self._sent = None
            self._sent_at = float('-inf')
        elif self._sent and reply.ask == self._sent[0]:
            self._arrived_stamp = max(self._arrived_stamp, self._sent[1])
            self._sent = None
