"""Callers that return at the time that a refusal told them.

Under overload many callers are refused with a time at which to return. One
that keeps to it should not be behind requests that arrived after it. A caller
is recognised by a digest of its account and request, at the VM that refused
it; nothing is known of callers that return to another VM.
"""

from typing import Final, NamedTuple

MAX_RETURNS: Final = 1_024  # that are remembered
EARLY_FRACTION: Final = 0.2  # of the time told, by which a caller may be early
LATE_S: Final = 2.0  # by which it may be late


class _Return(NamedTuple):
    arrived_at: float  # when the caller sent the request first
    earliest_at: float
    latest_at: float


class ExpectedReturns:
    """The refused requests that were told when to return."""

    def __init__(self) -> None:
        self._returns: dict[str, _Return] = {}  # by digest, oldest first

    def add(
        self, digest: str, arrived_at: float, retry_after_s: float, now: float
    ) -> None:
        """Remember a refused request and when it arrived first."""
        self._returns.pop(digest, None)
        if len(self._returns) >= MAX_RETURNS:
            self._returns.pop(next(iter(self._returns)))
        self._returns[digest] = _Return(
            arrived_at,
            now + (1 - EARLY_FRACTION) * retry_after_s,
            now + retry_after_s + LATE_S,
        )

    def take(self, digest: str, now: float) -> float | None:
        """Return when a request that returns as told arrived first.

        ``None`` if it is no such request; it counts only once.
        """
        expected = self._returns.get(digest)
        if expected is None or now < expected.earliest_at:
            return None
        self._returns.pop(digest)
        return expected.arrived_at if now <= expected.latest_at else None
