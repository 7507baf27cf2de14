"""An entry VM's reports of the streams that began there."""

from itertools import islice
from typing import Final, NamedTuple

from ._records import StreamKey, StreamOrigin, StreamStart
from ._table import DEFAULT_RETENTION_S

MAX_REPORTED: Final = 256  # with one sync request


class _Own(NamedTuple):
    origin: StreamOrigin
    at: float  # s


class StreamReports:
    """Remembers own streams, and reports each until a relay has it.

    A relay that is new to this VM is told of all that are remembered.
    """

    def __init__(self) -> None:
        self.retention_s = DEFAULT_RETENTION_S
        self._own: dict[StreamKey, _Own] = {}  # oldest first
        self._unreported: dict[StreamKey, None] = {}
        self._sent: dict[int, tuple[StreamKey, ...]] = {}  # by sync request

    def record(self, start: StreamStart, now: float) -> None:
        """Remember a stream whose first event is sent to its client."""
        self._expire(now)
        if start.key not in self._own:
            self._own[start.key] = _Own(start.origin, now)
            self._unreported[start.key] = None

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return what began a stream, if known."""
        self._expire(now)
        own = self._own.get(key)
        return own.origin if own else None

    def restart(self) -> None:
        """Report everything again, to a relay that knows nothing."""
        self._unreported = dict.fromkeys(self._own)
        self._sent.clear()

    def take(self, ask: int) -> tuple[StreamStart, ...]:
        """Return the streams to report with a sync request."""
        keys = tuple(islice(self._unreported, MAX_REPORTED))
        self._sent[ask] = keys
        return tuple(StreamStart(key, self._own[key].origin) for key in keys)

    def on_reply(self, ask: int) -> None:
        """Record that a sync request has arrived."""
        arrived = tuple(one for one in self._sent if one <= ask)
        for number in arrived:
            for key in self._sent.pop(number):
                self._unreported.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._own:
            oldest = next(iter(self._own))
            if now - self._own[oldest].at <= self.retention_s:
                return
            self._own.pop(oldest)
            self._unreported.pop(oldest, None)
