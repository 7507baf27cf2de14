"""Tracks requests in progress by target, and the demand for adapters."""

from collections import Counter
from typing import Final

from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.entry import (
    KnownTarget,
    LoadEstimate,
    TargetRequirements,
)
from lovagemast_core.targets import AdapterUse, AdapterWish, TargetLoad

from ._targetpaces import PaceTracker

_AdapterName = tuple[str, str, str, str]

# Requests for an adapter that one counts as which waits for a slot. Two such
# requests make the leader load a copy of an adapter that one target holds.
CROWDED_DEMAND: Final = 5


class LoadTracker:
    """Counts this VM's requests by target and by adapter.

    The leader learns of the counts by ``SyncAsk``; see the ``take_`` methods.
    ``paces`` tells how much time the requests take at each target.
    """

    def __init__(self, paces: PaceTracker) -> None:
        self.paces = paces
        self._loads: dict[str, LoadEstimate] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._started: Counter[tuple[str, str]] = Counter()
        # Keyed by pool, model, adapter and the software version, if any.
        self._demand: Counter[_AdapterName] = Counter()
        self._waiting: Counter[_AdapterName] = Counter()
        self._missing: set[str] = set()

    def request_started(self, target: str, label: AdapterLabel | None) -> None:
        """Count a request that is about to be sent to a target."""
        self._load(target).running += 1
        self._running[target, _use_label(label)] += 1
        self._started[target, _use_label(label)] += 1

    def request_ended(self, target: str, label: AdapterLabel | None) -> None:
        """Count the end of a request at a target."""
        self._load(target).running -= 1
        self._running[target, _use_label(label)] -= 1

    def target_reported(self, target: str, requests: int, now: float) -> None:
        """Store the number of running and waiting requests a target reports."""
        self._load(target).record_report(requests, now)

    def fleet_reported(self, loads: tuple[TargetLoad, ...]) -> None:
        """Store the requests of all entry VMs at some targets."""
        for load in loads:
            self._load(load.target).record_fleet(load.requests)

    def running_at(self, target: str) -> int:
        """Return the number of this VM's requests in progress at a target."""
        return self._load(target).running

    def load_of(
        self,
        known: KnownTarget,
        entries: int,
        sync_age_s: float,
        now: float,
    ) -> float:
        """Return a target's estimated load as a fraction of its slots."""
        load = self._load(known.record.target)
        requests = load.requests(entries, sync_age_s, now)
        return requests / max(1, known.record.slots)

    def adapter_requested(self, wanted: TargetRequirements) -> None:
        """Count a caller's request for an adapter."""
        self._demand[wanted.pool, wanted.model, wanted.adapter, ''] += 1

    def adapter_crowded(self, wanted: TargetRequirements) -> None:
        """Count a request that waits as all targets with its adapter are full.

        The leader averages demand over several seconds. A sudden demand for an
        adapter that one target holds would overrun it for as long.
        """
        name = (wanted.pool, wanted.model, wanted.adapter, '')
        self._demand[name] += CROWDED_DEMAND

    def adapter_awaited(self, wanted: TargetRequirements, change: int) -> None:
        """Change the number of requests that wait for an adapter."""
        pool, model, adapter, software = wanted
        self._waiting[pool, model, adapter, software or ''] += change

    def adapter_missing(self, target: str, label: AdapterLabel) -> None:
        """Record that a target rejected a request for lack of an adapter."""
        self._missing.add(f'{target} {label}')

    def take_wishes(self) -> tuple[AdapterWish, ...]:
        """Return the adapters that requests wait for or asked for.

        Requests are counted since the last call.
        """
        self._waiting = +self._waiting
        names = set(self._demand) | set(self._waiting)
        wishes = tuple(
            AdapterWish(
                *name[:3],
                self._waiting[name],
                float(self._demand[name]),
                name[3],
            )
            for name in sorted(names)
        )
        self._demand.clear()
        return wishes

    def take_uses(self) -> tuple[AdapterUse, ...]:
        """Return how many requests run per adapter and how many started.

        Starts are counted since the last call.
        """
        self._running = +self._running
        names = set(self._running) | set(self._started)
        uses = tuple(
            AdapterUse(*name, self._running[name], self._started[name])
            for name in sorted(names)
        )
        self._started.clear()
        return uses

    def take_missing(self) -> tuple[str, ...]:
        """Return targets and adapters reported missing since the last call."""
        missing = tuple(sorted(self._missing))
        self._missing.clear()
        return missing

    def _load(self, target: str) -> LoadEstimate:
        return self._loads.setdefault(target, LoadEstimate())


def _use_label(label: AdapterLabel | None) -> str:
    """Return the label of a use, empty for requests without an adapter."""
    return str(label) if label and label.adapter else ''
