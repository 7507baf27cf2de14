"""Estimates when a target began to run a request that is not a stream.

Its response tells only the end. A small client account has some ten requests
in a window, so that one in the wrong window is beyond the tolerance.
"""

from typing import Final, NamedTuple

MEMORY_S: Final = 10.0  # of the shortest time, which changes with the targets


class _Shortest(NamedTuple):
    took_s: float
    at: float  # s


class WorkTimes:
    """The shortest recent time from sending to the response, by route.

    It is that of work that did not wait at its target.
    """

    def __init__(self) -> None:
        self._shortest: dict[str, _Shortest] = {}

    def began_at(
        self, route: str, sent_at: float, now: float, *, has_queue: bool
    ) -> float:
        """Return when work began that has ended now.

        ``has_queue`` tells whether requests wait at the target; otherwise
        this one has not waited either.
        """
        took_s = now - sent_at
        known = self._shortest.get(route)
        is_shorter = known is None or took_s <= known.took_s
        if known is None or is_shorter or now - known.at > MEMORY_S:
            known = _Shortest(took_s, now)
            self._shortest[route] = known
        return max(sent_at, now - known.took_s) if has_queue else sent_at
