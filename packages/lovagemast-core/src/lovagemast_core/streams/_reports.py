"""An entry VM's reports of the streams that began there."""

from typing import Final, NamedTuple

from ._records import StreamKey, StreamOrigin, StreamStart
from ._table import DEFAULT_RETENTION_S

MAX_REPORTED: Final = 256  # with one sync request


class _Own(NamedTuple):
    origin: StreamOrigin
    at: float  # s
    number: int  # of the stream at this VM


class StreamReports:
    """Remembers own streams, and reports each until a relay has it.

    A relay that is new to this VM is told of all that are remembered.
    """

    def __init__(self) -> None:
        self.retention_s = DEFAULT_RETENTION_S
        self._own: dict[StreamKey, _Own] = {}  # oldest first
        self._last_number = 0
        self._received = 0  # number up to which the relay knows all
        self._sent: dict[int, int] = {}  # number by sync request

    def record(self, start: StreamStart, now: float) -> None:
        """Remember a stream whose first event is sent to its client."""
        self._expire(now)
        if start.key not in self._own:
            self._last_number += 1
            self._own[start.key] = _Own(start.origin, now, self._last_number)

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return what began a stream, if known."""
        self._expire(now)
        own = self._own.get(key)
        return own.origin if own else None

    def restart(self) -> None:
        """Report everything again, to a relay that knows nothing."""
        self._received = 0
        self._sent.clear()

    def take(self, ask: int) -> tuple[StreamStart, ...]:
        """Return the streams to report with a sync request."""
        starts: list[StreamStart] = []
        last = self._received
        for key, own in self._own.items():
            if own.number > self._received and len(starts) < MAX_REPORTED:
                starts.append(StreamStart(key, own.origin))
                last = own.number
        self._sent[ask] = last
        return tuple(starts)

    def on_reply(self, ask: int) -> None:
        """Record that a sync request has arrived."""
        arrived = tuple(one for one in self._sent if one <= ask)
        for number in arrived:
            self._received = max(self._received, self._sent.pop(number))

    def _expire(self, now: float) -> None:
        while self._own:
            oldest = next(iter(self._own))
            if now - self._own[oldest].at <= self.retention_s:
                return
            self._own.pop(oldest)
