"""What runs at which target, and what requests wait for."""

from collections import Counter

from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.entry import KnownTarget
from lovagemast_core.targets import AdapterUse, AdapterWish

STALE_LOAD_S = 2.0  # a target's own figure is of no use after this long


class _Load:
    """What a target said of its load, and what this VM ran then."""

    def __init__(self) -> None:
        self.running = 0
        self.told = 0
        self.running_then = 0
        self.told_at = float('-inf')


class WorkBook:
    """Counts this VM's requests by target and by adapter."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._started: Counter[tuple[str, str]] = Counter()
        self._demand: Counter[tuple[str, str, str]] = Counter()
        self._waiting: Counter[tuple[str, str, str]] = Counter()
        self._missing: set[str] = set()

    def started(self, target: str, label: AdapterLabel | None) -> None:
        """Count a request that is sent to a target."""
        self._load(target).running += 1
        if label and label.adapter:
            self._running[target, str(label)] += 1
            self._started[target, str(label)] += 1

    def ended(self, target: str, label: AdapterLabel | None) -> None:
        """Count a request that left its target."""
        self._load(target).running -= 1
        if label and label.adapter:
            self._running[target, str(label)] -= 1

    def told(self, target: str, requests: int, now: float) -> None:
        """Take a target's own figure of requests running and waiting."""
        load = self._load(target)
        load.told = requests
        load.running_then = load.running
        load.told_at = now

    def running_at(self, target: str) -> int:
        """Return how many requests of this VM run at a target."""
        return self._load(target).running

    def load_of(self, known: KnownTarget, entries: int, now: float) -> float:
        """Return a target's load as a part of its slots."""
        load = self._load(known.record.target)
        slots = max(1, known.record.slots)
        if now - load.told_at > STALE_LOAD_S:
            return load.running * entries / slots
        requests = load.told + load.running - load.running_then
        return max(load.running, requests) / slots

    def wanted(self, pool: str, model: str, adapter: str) -> None:
        """Count a request for an adapter."""
        self._demand[pool, model, adapter] += 1

    def waits(self, pool: str, model: str, adapter: str, change: int) -> None:
        """Count a request that starts or stops to wait for an adapter."""
        self._waiting[pool, model, adapter] += change

    def missing(self, target: str, label: AdapterLabel) -> None:
        """Note that a target denied to hold an adapter."""
        self._missing.add(f'{target} {label}')

    def take_wishes(self) -> tuple[AdapterWish, ...]:
        """Return what was asked for since the last call."""
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
        """Return what runs, and what was started since the last call."""
        self._running = +self._running
        names = set(self._running) | set(self._started)
        uses = tuple(
            AdapterUse(*name, self._running[name], self._started[name])
            for name in sorted(names)
        )
        self._started.clear()
        return uses

    def take_missing(self) -> tuple[str, ...]:
        """Return the denials since the last call."""
        missing = tuple(sorted(self._missing))
        self._missing.clear()
        return missing

    def _load(self, target: str) -> _Load:
        return self._loads.setdefault(target, _Load())
