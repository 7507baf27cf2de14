"""The limits of a process's connections: account, log lines and metrics."""

from collections.abc import Callable
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from .._clock import now_s
from .._heap import limit_heap
from ..http import (
    MAX_BODIES_BYTES,
    BodyBudget,
    RefusalStatus,
    VmLimits,
)
from ._jsonlog import JsonLog

# Between log lines about the same limit, whatever callers send.
LOG_INTERVAL_S: Final = 1.0


class ConnectionLimits:
    """What all connections of a process may hold, and what was refused."""

    def __init__(
        self,
        limits: VmLimits,
        log: JsonLog,
        registry: CollectorRegistry,
        max_bodies_bytes: int = MAX_BODIES_BYTES,
    ) -> None:
        limit_heap(limits.memory_mb)
        self.bodies = limits.make_budget(max_bodies_bytes)
        self.table = limits.make_connection_table()
        self._log = log
        self._counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}
        self._counter = Counter(
            'lovagemast_connection_limits',
            'Requests refused unread and connections closed, by limit',
            ('limit',),
            registry=registry,
        )
        self.bodies.on_evicted = lambda count: self.record('MEMORY', count)
        self.table.on_closed = lambda count: self.record('CONNECTIONS', count)
        _observe(registry, self.bodies, self.table.__len__)

    def on_unread(self, status: RefusalStatus) -> None:
        """Record a request that was refused before it was whole."""
        self.record(status.name, 1, status=status.value)

    def record(self, limit: str, count: int, **fields: object) -> None:
        """Count refusals for a limit; log the first, and a count at times."""
        self._counter.labels(limit).inc(count)
        self._counts[limit] = self._counts.get(limit, 0) + count
        now = now_s()
        if now - self._logged_at.get(limit, float('-inf')) < LOG_INTERVAL_S:
            return
        self._logged_at[limit] = now
        self._log.write(
            'request',
            'refused unread',
            reason=limit,
            count=self._counts.pop(limit),
            bodies_bytes=self.bodies.used_bytes,
            small_bytes=self.bodies.small_bytes,
            connections=len(self.table),
            **fields,
        )


def _observe(
    registry: CollectorRegistry,
    bodies: BodyBudget,
    connections: Callable[[], float],
) -> None:
    held = Gauge(
        'lovagemast_held_bytes',
        'Bytes of heads and bodies that are held for connections',
        registry=registry,
    )
    held.set_function(lambda: bodies.used_bytes + bodies.small_bytes)
    accepted = Gauge(
        'lovagemast_accepted_connections',
        'Connections that are open at the listeners of this process',
        registry=registry,
    )
    accepted.set_function(connections)
