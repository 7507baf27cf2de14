"""Tracks requests in progress by target, and the demand for adapters."""

from collections import Counter

from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.entry import KnownTarget
from lovagemast_core.targets import AdapterUse, AdapterWish

REPORT_MAX_AGE_S = 2.0  # older load figures of a target are not used


class _TargetLoad:
    """Requests of this VM at a target, and the target's last load report.

    ``running_at_report`` is the value of ``running`` when it was received.
    """

    def __init__(self) -> None:
        self.running = 0
        self.reported = 0
        self.running_at_report = 0
        self.reported_at = float('-inf')


class LoadTracker:
    """Counts this VM's requests by target and by adapter.

    The leader learns of the counts by ``SyncAsk``; see the ``take_`` methods.
    """

    def __init__(self) -> None:
        self._loads: dict[str, _TargetLoad] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._started: Counter[tuple[str, str]] = Counter()
        self._demand: Counter[tuple[str, str, str]] = Counter()
        self._waiting: Counter[tuple[str, str, str]] = Counter()
        self._missing: set[str] = set()

    def request_started(self, target: str, label: AdapterLabel | None) -> None:
        """Count a request that is about to be sent to a target."""
        self._load(target).running += 1
        if label and label.adapter:
            self._running[target, str(label)] += 1
            self._started[target, str(label)] += 1

    def request_ended(self, target: str, label: AdapterLabel | None) -> None:
        """Count the end of a request at a target."""
        self._load(target).running -= 1
        if label and label.adapter:
            self._running[target, str(label)] -= 1

    def target_reported(self, target: str, requests: int, now: float) -> None:
        """Store the number of running and waiting requests a target reports."""
        load = self._load(target)
        load.reported = requests
        load.running_at_report = load.running
        load.reported_at = now

    def running_at(self, target: str) -> int:
        """Return the number of this VM's requests in progress at a target."""
        return self._load(target).running

    def load_of(self, known: KnownTarget, entries: int, now: float) -> float:
        """Return a target's load as a fraction of its slots.

        It is the last report, corrected by the requests that started and
        ended here since. Without a recent report, all entry VMs are assumed
        to send as many requests as this one.
        """
        load = self._load(known.record.target)
        slots = max(1, known.record.slots)
        if now - load.reported_at > REPORT_MAX_AGE_S:
            return load.running * entries / slots
        requests = load.reported + load.running - load.running_at_report
        return max(load.running, requests) / slots

    def adapter_requested(self, pool: str, model: str, adapter: str) -> None:
        """Count a caller's request for an adapter."""
        self._demand[pool, model, adapter] += 1

    def adapter_awaited(
        self, pool: str, model: str, adapter: str, change: int
    ) -> None:
        """Change the number of requests that wait for an adapter."""
        self._waiting[pool, model, adapter] += change

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
                *name,
                self._waiting[name],
                float(self._demand[name]),
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

    def _load(self, target: str) -> _TargetLoad:
        return self._loads.setdefault(target, _TargetLoad())
