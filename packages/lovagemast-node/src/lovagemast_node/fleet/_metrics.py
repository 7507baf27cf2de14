"""Counters and latency histograms, served as text."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from ..http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    split_address,
)
from ._lines import LineLog

LATENCY_BUCKETS_S: Final = (
    0.01,
    0.03,
    0.1,
    0.2,
    0.4,
    0.6,
    1.0,
    2.0,
    5.0,
    12.0,
)
OK: Final = 200


class EntryMetrics:
    """What an entry VM counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._refusals = Counter(
            'lovagemast_refusals',
            'Answers of the own system, by status',
            ('status',),
            registry=self.registry,
        )
        self._attempts = Counter(
            'lovagemast_attempts',
            'Requests sent to targets, by how they ended',
            ('end',),
            registry=self.registry,
        )
        self._placed_s = Histogram(
            'lovagemast_placed_seconds',
            'Time until a target was chosen',
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._answered_s = Histogram(
            'lovagemast_answered_seconds',
            'Time until an answer was whole',
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def refused(self, status: int) -> None:
        """Count an answer of the system's own."""
        self._refusals.labels(str(status)).inc()

    def attempted(self, end: str, placed_s: float) -> None:
        """Count a send to a target."""
        self._attempts.labels(end).inc()
        self._placed_s.observe(placed_s)

    def answered(self, took_s: float) -> None:
        """Count a whole answer."""
        self._answered_s.observe(took_s)


class ControlMetrics:
    """What a control VM counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._orders = Counter(
            'lovagemast_orders',
            'Orders to engines, by result',
            ('result',),
            registry=self.registry,
        )
        self._changes_s = Histogram(
            'lovagemast_change_seconds',
            'Time until an operator had the outcome of a change',
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._leaders = Counter(
            'lovagemast_leader_changes',
            'Leaders that were noticed',
            registry=self.registry,
        )

    def ordered(self, result: str) -> None:
        """Count an order's outcome."""
        self._orders.labels(result).inc()

    def changed(self, took_s: float) -> None:
        """Count an operator's change."""
        self._changes_s.observe(took_s)

    def leader_noticed(self) -> None:
        """Count a change of the leader."""
        self._leaders.inc()


class MetricsPage:
    """Serves a registry as text at any path."""

    def __init__(self, registry: CollectorRegistry, log: LineLog) -> None:
        self._registry = registry
        self._log = log
        self._server = HttpServer(self._answer, ServerLimits(), self._broken)

    async def listen(self, address: str) -> None:
        """Serve at an address; without it the process goes on."""
        if not address:
            return
        try:
            await self._server.listen(*split_address(address))
        except OSError as exc:
            self._log.write('metrics', 'cannot listen', cause=repr(exc))

    async def _answer(self, req: HttpRequest, responder: Responder) -> None:
        headers = ((b'Content-Type', CONTENT_TYPE_LATEST.encode()),)
        await responder.send(OK, headers, generate_latest(self._registry))

    def _broken(self) -> None:
        self._log.write('metrics', 'a handler failed')
