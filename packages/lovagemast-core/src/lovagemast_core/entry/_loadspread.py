"""Spreads requests over targets by when they would finish there.

Load: dozens of entry VMs choose among the same few targets, some of them
slower than others, by the same figures, which are some tenths of a second old.
If each took the target that looks best, all of them would take the same one
until newer figures arrive.

Each request is drawn at random instead, with shares at which all targets would
be equally busy once the requests that others send meanwhile have arrived too.
The fewer those are, the more surely the best target is taken.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

# The round trip to another availability zone.
CROSS_ZONE_S: Final = 0.002
# Part of its own work by which a request prefers the faster of equally busy
# targets. Without it, slow targets get work that they finish late; with all of
# it, the fastest are filled up first.
OWN_WORK: Final = 0.5
# Of the requests that arrive while figures age; the rest has left meanwhile.
ARRIVED_PART: Final = 0.5
MIN_SERVICE_S: Final = 0.01
MAX_SERVICE_S: Final = 60.0
SERVICE_TIME_WEIGHT: Final = 0.1  # of an answer in the mean service time


class PacedTarget(NamedTuple):
    """A target that may be sent a request, as load and pace describe it.

    ``cost`` is the work ahead of a new request in time, as a multiple of the
    service time of a request at a target of the usual pace. ``rate`` is
    how many requests the target completes in such a time.
    """

    cost: float
    rate: float


class MeanServiceTime:
    """How long a request runs at a target, on average by pool."""

    def __init__(self) -> None:
        self._times_s: dict[str, float] = {}

    def record(self, pool: str, took_s: float, queue: float) -> None:
        """Store how long an answer took.

        ``queue`` is how many requests wait at its target, as a multiple of
        the slots: this one has probably waited for about as many.
        """
        service_s = took_s / (1 + queue)
        mean = self._times_s.get(pool, service_s)
        mean += SERVICE_TIME_WEIGHT * (service_s - mean)
        self._times_s[pool] = min(MAX_SERVICE_S, max(MIN_SERVICE_S, mean))

    def of(self, pool: str) -> float:
        """Return a pool's mean service time, 1 s before any answer."""
        return self._times_s.get(pool, 1.0)

    def retain(self, pools: frozenset[str]) -> None:
        """Drop the pools that are not in ``pools``."""
        for pool in self._times_s.keys() - pools:
            self._times_s.pop(pool)


def arrivals_meanwhile(
    running: float, service_s: float, info_age_s: float
) -> float:
    """Return how many requests others have added since figures were taken.

    In a steady state, as many arrive as leave; of those ``running``, all have
    left after ``service_s``.
    """
    return ARRIVED_PART * running * info_age_s / service_s


def request_shares(
    targets: Sequence[PacedTarget], requests: float
) -> list[float]:
    """Return in which proportion targets are to get the next requests.

    ``requests`` is how many are sent before newer figures arrive; together
    they raise the work ahead at the least busy targets to the same level.
    """
    level = _common_level(targets, requests)
    return [max(0.0, level - one.cost) * one.rate for one in targets]


def draw_target(shares: Sequence[float], draw: float) -> int:
    """Return the index that a random number from 0 to 1 stands for."""
    rest = draw * sum(shares)
    for index, share in enumerate(shares):
        rest -= share
        if share > 0 and rest < 0:
            return index
    return max(range(len(shares)), key=shares.__getitem__)


def _common_level(targets: Sequence[PacedTarget], requests: float) -> float:
    """Return the cost up to which requests fill the least busy targets."""
    rate = 0.0
    work = requests
    level = 0.0
    for one in sorted(targets):
        if rate and work / rate <= one.cost:
            break
        rate += one.rate
        work += one.cost * one.rate
        level = work / rate
    return level
