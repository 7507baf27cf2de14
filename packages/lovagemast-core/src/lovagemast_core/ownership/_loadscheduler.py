"""Schedules adapter loads within the weight store's fleet-wide limits."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

from .._types import TargetName
from ..fleet._fleet import Store
from ..rates._rates import AccountCharge, RateController, RateLimits

STORE_ACCOUNT: Final = '~weight-store'  # not a valid client account name
PERMIT_TIMEOUT_S: Final = 30.0  # long, as a new request loses its place


class LoadStartResult(Enum):
    """Result of an attempt to start an adapter load."""

    STARTED = 'started'
    EVICTING = 'evicting'  # can start once the eviction has freed a slot
    IMPOSSIBLE = 'impossible'  # cannot start now, or is no longer needed


class AdapterLoad(NamedTuple):
    """A load of an adapter version at a target."""

    target: TargetName
    label: str


def store_limits(store: Store) -> RateLimits:
    """Return the weight store's rate limits, counted in loads.

    The store is rate-limited like a client account, with one token for each
    load. Every VM may accrue one load, so that a partitioned zone can still
    load adapters. With up to ``loads_in_flight`` VMs this does not exceed
    the concurrency that the store supports.
    """
    burst = max(1.0, min(store.loads_per_s, store.loads_in_flight))
    return RateLimits(store.loads_per_s, burst, min_capacity=1)


class LoadScheduler:
    """Queues adapter loads and starts them as permits become available.

    Each load needs one permit, a token of :data:`STORE_ACCOUNT`. Loads are
    tried in the order in which they were queued.
    """

    def __init__(
        self,
        rates: RateController,
        start: Callable[[AdapterLoad, float], LoadStartResult],
        may_load: Callable[[int, float], bool],
    ) -> None:
        self._rates = rates
        self._start = start
        self._may_load = may_load
        self._queue: deque[AdapterLoad] = deque()
        self._in_flight: set[AdapterLoad] = set()
        self._permit_requested = False
        self._permits: list[AccountCharge] = []

    @property
    def in_flight(self) -> int:
        """Return the number of loads of this VM in progress."""
        return len(self._in_flight)

    def enqueue(self, load: AdapterLoad, now: float) -> None:
        """Queue a load unless it is already queued or in progress."""
        if load not in self._in_flight and load not in self._queue:
            self._queue.append(load)
        self.start_queued(now)

    def cancel_target(self, target: TargetName, now: float) -> None:
        """Discard all loads of a target, queued or in progress."""
        self._queue = deque(
            load for load in self._queue if load.target != target
        )
        self._in_flight = {
            load for load in self._in_flight if load.target != target
        }
        self.start_queued(now)

    def on_load_finished(self, load: AdapterLoad, now: float) -> None:
        """Record that a load in progress succeeded or failed."""
        self._in_flight.discard(load)
        self.start_queued(now)

    def start_queued(self, now: float) -> None:
        """Start queued loads with available permits, or request one."""
        while self._queue and self._may_load(self.in_flight, now):
            if not self._permits:
                self._request_permit(now)
                return
            self._start_next(now)

    def _start_next(self, now: float) -> None:
        evicting = False
        for _ in range(len(self._queue)):
            load = self._queue.popleft()
            self._in_flight.add(load)
            started = self._start(load, now)
            if started is LoadStartResult.STARTED:
                self._permits.pop()
                return
            self._in_flight.discard(load)
            evicting = evicting or started is LoadStartResult.EVICTING
        if not evicting:
            permit = self._permits.pop()
            self._rates.refund(permit, permit.amount, now)

    def _request_permit(self, now: float) -> None:
        if self._permit_requested:
            return
        self._permit_requested = True
        self._rates.spend(
            STORE_ACCOUNT,
            1,
            self._on_permit,
            timeout_s=PERMIT_TIMEOUT_S,
            now=now,
        )

    def _on_permit(self, permit: AccountCharge | None, now: float) -> None:
        self._permit_requested = False
        if permit:
            self._permits.append(permit)
        self.start_queued(now)
