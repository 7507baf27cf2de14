"""Prometheus metrics of one VM."""

from collections.abc import Callable

from lovagemast_core import EventKind, Refusal, Status, TimelineEvent
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)


class Metrics:
    """Counts request outcomes; gauges are set from the node at each scrape."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._responses = Counter(
            'lovagemast_answers',
            'Answers given whole, by status class.',
            ['status'],
            registry=self.registry,
        )
        self._refusals = Counter(
            'lovagemast_refusals',
            'Requests refused or failed, by reason.',
            ['reason', 'run'],
            registry=self.registry,
        )
        self._events = Counter(
            'lovagemast_events',
            'Time line events, by kind.',
            ['kind'],
            registry=self.registry,
        )
        self._gauges = {
            name: Gauge(f'lovagemast_{name}', text, registry=self.registry)
            for name, text in (
                ('requests', 'Requests under way at this VM.'),
                ('revision', 'Configuration revision in force here.'),
                ('quorum_age_seconds', 'Time since the quorum confirmed it.'),
                ('rate_share', 'Fraction of every rate that this VM holds.'),
                ('owned_targets', 'Targets that this VM owns.'),
                ('vms_alive', 'VMs on the roster that are alive.'),
            )
        }

    def record_response(self, status: int) -> None:
        """Count a complete response."""
        self._responses.labels(f'{status // 100}xx').inc()

    def record_refusal(self, refusal: Refusal) -> None:
        """Count a refused or failed request."""
        self._refusals.labels(refusal.reason.value, refusal.run.value).inc()

    def record_event(self, event: TimelineEvent) -> None:
        """Count a timeline event, except those that every request produces."""
        if event.kind not in _PER_REQUEST:
            self._events.labels(event.kind.value).inc()

    def render(self, read_status: Callable[[], Status]) -> bytes:
        """Return all metrics in the Prometheus text format."""
        status = read_status()
        alive = sum(1 for vm in status.vms if vm.alive)
        owned = sum(1 for one in status.targets if one.owner == status.vm)
        self._gauges['requests'].set(status.requests)
        self._gauges['revision'].set(status.revision)
        self._gauges['quorum_age_seconds'].set(status.quorum_age_s)
        self._gauges['rate_share'].set(status.share)
        self._gauges['owned_targets'].set(owned)
        self._gauges['vms_alive'].set(alive)
        return generate_latest(self.registry)


_PER_REQUEST = frozenset(
    (
        EventKind.ARRIVED,
        EventKind.ADMITTED,
        EventKind.PLACED,
        EventKind.CALL_OPENED,
    )
)
