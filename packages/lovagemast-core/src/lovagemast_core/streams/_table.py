"""A bounded table of the streams that have begun lately."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from ..deployment import CallKind, DeploymentIndex
from ._records import StreamKey, StreamOrigin, StreamStart

MAX_STREAMS: Final = 200_000
DEFAULT_RETENTION_S: Final = 60.0  # without a configuration
RETENTION_MARGIN_S: Final = 5.0


def retention_s(index: DeploymentIndex | None) -> float:
    """Return for how long a stream may be resumed after it has begun, in s.

    A client that resumes a stream stays within its first timeout.
    """
    if index is None:
        return DEFAULT_RETENTION_S
    timeouts = (
        route.timeout_s
        for route in index.deployment.routes
        if route.kind is CallKind.STREAM
    )
    return max(timeouts, default=0.0) + RETENTION_MARGIN_S


class _Known(NamedTuple):
    origin: StreamOrigin
    at: float  # s


class StreamTable:
    """Remembers streams for ``retention_s``, the newest ``MAX_STREAMS``."""

    def __init__(self) -> None:
        self.retention_s = DEFAULT_RETENTION_S
        self._known: dict[StreamKey, _Known] = {}  # oldest first

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._known)

    def record(self, starts: Iterable[StreamStart], now: float) -> None:
        """Add streams; those known already stay as they are."""
        for start in starts:
            self._known.setdefault(start.key, _Known(start.origin, now))
        self._expire(now)

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Return what began a stream, if known."""
        known = self._known.get(key)
        if known is None or now - known.at > self.retention_s:
            return None
        return known.origin

    def _expire(self, now: float) -> None:
        while self._known:
            oldest = next(iter(self._known))
            is_old = now - self._known[oldest].at > self.retention_s
            if not is_old and len(self._known) <= MAX_STREAMS:
                return
            self._known.pop(oldest)
