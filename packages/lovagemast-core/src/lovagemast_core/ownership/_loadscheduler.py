"""Rations adapter loads to the fleet-wide limits of the weight store."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

from .._types import TargetName
from ..fleet._fleet import Store
from ..rates._rates import AccountCharge, RateController, RateLimits

STORE_ACCOUNT: Final = '~weight-store'  # no client account can have this name
PERMIT_PATIENCE_S: Final = 30.0  # a new ask would lose its place


class LoadStart(Enum):
    """What came of trying to start a load."""

    STARTED = 'started'
    EVICTING = 'evicting'  # may start as soon as a slot is free
    IMPOSSIBLE = 'impossible'  # no slot can be freed now


class Load(NamedTuple):
    """A wish to load an adapter version at a target."""

    target: TargetName
    label: str


def store_limits(store: Store) -> RateLimits:
    """Return the store's limits in loads, as an account's in tokens.

    Every VM may save up one load, so that a zone that is cut off can still
    load adapters: up to ``loads_in_flight`` VMs that does not exceed what
    the store bears at a time.
    """
    burst = max(1.0, min(store.loads_per_s, store.loads_in_flight))
    return RateLimits(store.loads_per_s, burst, least_cap=1)


class LoadScheduler:
    """Starts loads in order of demand as permits allow."""

    def __init__(
        self,
        rates: RateController,
        start: Callable[[Load, float], LoadStart],
        may_load: Callable[[int, float], bool],
    ) -> None:
        self._rates = rates
        self._start = start
        self._may_load = may_load
        self._wanted: deque[Load] = deque()
        self._in_flight: set[Load] = set()
        self._waiting_permit = False
        self._permits: list[AccountCharge] = []

    @property
    def in_flight(self) -> int:
        """Return how many loads of this VM are under way."""
        return len(self._in_flight)

    def want(self, load: Load, now: float) -> None:
        """Queue a load unless it is queued or under way."""
        if load not in self._in_flight and load not in self._wanted:
            self._wanted.append(load)
        self.pump(now)

    def cancel_target(self, target: TargetName, now: float) -> None:
        """Forget the loads of a target that this VM no longer owns."""
        self._wanted = deque(
            load for load in self._wanted if load.target != target
        )
        self._in_flight = {
            load for load in self._in_flight if load.target != target
        }
        self.pump(now)

    def finished(self, load: Load, now: float) -> None:
        """Free the place of a load that succeeded or failed."""
        self._in_flight.discard(load)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Ask for a permit or start loads with those at hand."""
        while self._wanted and self._may_load(self.in_flight, now):
            if not self._permits:
                self._ask_permit(now)
                return
            self._start_next(now)

    def _start_next(self, now: float) -> None:
        evicting = False
        for _ in range(len(self._wanted)):
            load = self._wanted.popleft()
            self._in_flight.add(load)
            started = self._start(load, now)
            if started is LoadStart.STARTED:
                self._permits.pop()
                return
            self._in_flight.discard(load)
            evicting = evicting or started is LoadStart.EVICTING
        if not evicting:
            spent = self._permits.pop()
            self._rates.refund(spent, spent.amount, now)

    def _ask_permit(self, now: float) -> None:
        if self._waiting_permit:
            return
        self._waiting_permit = True
        self._rates.spend(
            STORE_ACCOUNT,
            1,
            self._on_permit,
            timeout_s=PERMIT_PATIENCE_S,
            now=now,
        )

    def _on_permit(self, spent: AccountCharge | None, now: float) -> None:
        self._waiting_permit = False
        if spent:
            self._permits.append(spent)
        self.pump(now)
