"""Time from a send to the first event, by route.

Under overload a slot should go to a request that can still meet its latency
objective, so a part of the objective is left to the target.
"""

from typing import Final

SMOOTHING: Final = 0.1  # weight of the newest response
# At most this part of the objective is left to the target. Where targets take
# longer, all requests would count as late on arrival.
MAX_OBJECTIVE_FRACTION: Final = 0.75


class FirstEventTimes:
    """Smoothed times to the first event."""

    def __init__(self) -> None:
        self._times_s: dict[str, float] = {}

    def record(self, route: str, first_s: float) -> None:
        """Record the time to the first event of a response."""
        known_s = self._times_s.get(route, first_s)
        self._times_s[route] = known_s + SMOOTHING * (first_s - known_s)

    def expected_s(self, route: str, objective_s: float) -> float:
        """Return the time to leave to the target, 0 if none is known."""
        max_s = MAX_OBJECTIVE_FRACTION * objective_s
        return min(max_s, self._times_s.get(route, 0.0))
