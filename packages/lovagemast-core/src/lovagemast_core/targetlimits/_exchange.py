"""Exchange of limits with the relay or leader that a VM syncs with."""

from typing import NamedTuple

from ..targets import LimitReport, SyncReply
from ._known import TargetLimits


class LimitNews(NamedTuple):
    """What a reply says of limits of one kind."""

    reports: tuple[LimitReport, ...]
    stamp: int


class LimitExchange:
    """Reports what is learned until it has arrived, and takes over replies.

    A server that is new, or was replaced, is told everything: it may know
    nothing yet.
    """

    def __init__(self) -> None:
        self.known = TargetLimits()
        self.server_stamp = 0  # of the newest limits that the server has sent
        self._epoch = 0  # of the server
        self._arrived_stamp = 0  # up to which the server has been told
        self._sent: dict[int, int] = {}  # stamp by the request's number

    def reports(self, ask: int, now: float) -> tuple[LimitReport, ...]:
        """Return what to report with the sync request of this number."""
        self._sent[ask] = self.known.stamp
        return self.known.changed_since(self._arrived_stamp, now)

    def has_reports(self) -> bool:
        """Return whether anything is to be reported."""
        return self._arrived_stamp < self.known.stamp

    def on_reply(
        self, reply: SyncReply, news: LimitNews, now: float
    ) -> list[LimitReport]:
        """Apply the news of a reply and return the changes that it brings."""
        if reply.epoch != self._epoch:
            self._epoch = reply.epoch
            self._arrived_stamp = 0
            self._sent.clear()
        arrived = [ask for ask in self._sent if ask <= reply.ask]
        for ask in arrived:
            stamp = self._sent.pop(ask)
            self._arrived_stamp = max(self._arrived_stamp, stamp)
        self.server_stamp = news.stamp
        return self.known.merge(news.reports, now)
