"""Prometheus metrics of entry and control VMs."""

from collections.abc import Mapping
from typing import Final, Protocol

from lovagemast_core.control import ReplicaStatus
from lovagemast_core.duties import DutyState
from lovagemast_core.syncrelay import Rollout
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

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
LATENESS_BUCKETS_S: Final = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
PACE_BUCKETS: Final = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)


class Relay(Protocol):
    """What a relay shows of itself."""

    @property
    def known_streams(self) -> int:
        """Return the number of streams that are remembered."""

    def rollout(self) -> Rollout:
        """Return how far the newest revision has come."""


class Replica(Protocol):
    """What a replica shows of itself."""

    def status(self) -> ReplicaStatus:
        """Return the replica's status."""


class Held(Protocol):
    """What holds the bodies of calls."""

    held_bytes: int


class Queued(Protocol):
    """What queues messages."""

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that wait."""


def _make_lateness(registry: CollectorRegistry) -> Histogram:
    """Return the histogram that shows how long turns of the loop take."""
    return Histogram(
        'lovagemast_loop_lateness_seconds',
        'How late a tick of every 0.1 s runs, as other work holds it up',
        buckets=LATENESS_BUCKETS_S,
        registry=registry,
    )


class EntryMetrics:
    """Metrics of an entry VM."""

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
        self._quarantined = Counter(
            'lovagemast_quarantined_requests',
            'Requests refused for a quarantined part of their prompts',
            registry=self.registry,
        )
        self._crashes = Counter(
            'lovagemast_implicating_crashes',
            'Requests that ran, without an answer, when their target crashed',
            registry=self.registry,
        )
        self._revision = Gauge(
            'lovagemast_revision',
            'Revision of the configuration in force',
            registry=self.registry,
        )
        self._limited_targets = Gauge(
            'lovagemast_limited_targets',
            'Targets that name a limit for their requests',
            registry=self.registry,
        )
        self._limited_sends = Counter(
            'lovagemast_limited_sends',
            'Requests sent to targets that name a limit',
            registry=self.registry,
        )
        self._limit_refusals = Counter(
            'lovagemast_limit_refusals',
            'Requests refused for the limits of their targets',
            registry=self.registry,
        )
        self._lost_pools = Gauge(
            'lovagemast_lost_pools',
            'Pools of which this VM reaches no target',
            registry=self.registry,
        )
        self._forwards = Counter(
            'lovagemast_forwards',
            'Requests sent over another entry VM, by how they ended',
            ('end',),
            registry=self.registry,
        )
        self._stream_lookups = Counter(
            'lovagemast_stream_lookups',
            'Streams that clients resume, by what is known of their origin',
            ('result',),
            registry=self.registry,
        )
        self._paces = Histogram(
            'lovagemast_target_pace',
            'Paces that targets report with their answers, 1 as usual',
            buckets=PACE_BUCKETS,
            registry=self.registry,
        )
        self._unreadable_paces = Counter(
            'lovagemast_unreadable_paces',
            'Answers of targets whose pace could not be read',
            registry=self.registry,
        )
        self._waiting = Gauge(
            'lovagemast_waiting_requests',
            'Requests that wait in order for a target, by pool and priority',
            ('pool', 'priority'),
            registry=self.registry,
        )
        self._early_refusals = Counter(
            'lovagemast_early_refusals',
            'Requests refused at once, as their wait would be too long',
            ('pool', 'priority'),
            registry=self.registry,
        )
        self._waited_s = Histogram(
            'lovagemast_waited_seconds',
            'Time that requests waited in order for a target',
            ('pool',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._usage = Counter(
            'lovagemast_usage_requests',
            'Requests that targets began to run, counted for usage reports',
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
        self._lateness_s = _make_lateness(self.registry)

    def record_lateness(self, late_s: float) -> None:
        """Record how late a tick of the event loop was."""
        self._lateness_s.observe(late_s)

    def record_refusal(self, status: int) -> None:
        """Count a response that the entry VM generated itself."""
        self._refusals.labels(str(status)).inc()

    def record_attempt(self, end: str, placed_s: float) -> None:
        """Count an attempt by its outcome, with the time until its start."""
        self._attempts.labels(end).inc()
        self._placed_s.observe(placed_s)

    def record_response(self, took_s: float) -> None:
        """Record the duration of a request whose response is complete."""
        self._answered_s.observe(took_s)

    def record_pace(self, pace: float) -> None:
        """Record a pace that a target reports."""
        self._paces.observe(pace)

    def record_unreadable_pace(self) -> None:
        """Count an answer whose pace could not be read."""
        self._unreadable_paces.inc()

    def record_quarantined(self) -> None:
        """Count a request refused for a quarantined prompt part."""
        self._quarantined.inc()

    def set_revision(self, revision: int) -> None:
        """Set the revision of the configuration that this VM holds."""
        self._revision.set(revision)

    def set_limited_targets(self, count: int) -> None:
        """Set the number of targets that name a limit."""
        self._limited_targets.set(count)

    def set_lost_pools(self, count: int) -> None:
        """Set the number of pools of which this VM reaches no target."""
        self._lost_pools.set(count)

    def record_forward(self, end: str) -> None:
        """Count a request sent over another entry VM, by its outcome."""
        self._forwards.labels(end).inc()

    def record_limited_send(self) -> None:
        """Count a request sent to a target that names a limit."""
        self._limited_sends.inc()

    def record_limit_refusal(self) -> None:
        """Count a request refused for the limits of its targets."""
        self._limit_refusals.inc()

    def set_waiting(self, pool: str, counts: Mapping[int, int]) -> None:
        """Set how many requests wait in order for a pool, by priority.

        Priorities without an entry keep their number.
        """
        for priority, count in counts.items():
            self._waiting.labels(pool, str(priority)).set(count)

    def record_early_refusal(self, pool: str, priority: int) -> None:
        """Count a request refused at once for its expected wait."""
        self._early_refusals.labels(pool, str(priority)).inc()

    def record_wait(self, pool: str, waited_s: float) -> None:
        """Record a wait in order, whether or not the request was sent."""
        self._waited_s.labels(pool).observe(waited_s)

    def record_stream_lookup(self, result: str) -> None:
        """Count a resumed stream: found, unknown, or its version gone."""
        self._stream_lookups.labels(result).inc()

    def record_usage(self) -> None:
        """Count a request that a target has begun to run."""
        self._usage.inc()

    def record_crash(self) -> None:
        """Count a request that ran, without an answer, at a crash."""
        self._crashes.inc()


class ControlMetrics:
    """Metrics of a control VM."""

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
        self._revision = Gauge(
            'lovagemast_revision',
            'Revision of the configuration in force',
            registry=self.registry,
        )
        self._streams = Gauge(
            'lovagemast_known_streams',
            'Streams whose software version this VM remembers',
            registry=self.registry,
        )
        self._suspected_parts = Gauge(
            'lovagemast_suspected_parts',
            'Prompt parts that are suspected, but not quarantined',
            registry=self.registry,
        )
        self._quarantined_parts = Gauge(
            'lovagemast_quarantined_parts',
            'Prompt parts that are quarantined',
            registry=self.registry,
        )
        self._lateness_s = _make_lateness(self.registry)
        self._add_rollout()
        self._add_duties()

    def record_lateness(self, late_s: float) -> None:
        """Record how late a tick of the event loop was."""
        self._lateness_s.observe(late_s)

    def record_duty_call(self, result: str) -> None:
        """Count a call to the infrastructure by its result."""
        self._duty_calls.labels(result).inc()

    def set_duties(self, state: DutyState, *, holds: bool) -> None:
        """Set what is committed; ``holds`` tells if this VM is the holder."""
        self._duty_holder.set(holds)
        self._usage_window.labels('committed').set(state.last_window)
        self._usage_window.labels('confirmed').set(state.confirmed_window)
        self._unconfirmed.labels('usage').set(len(state.unconfirmed))
        desired = sum(not known.is_confirmed for known in state.desired)
        self._unconfirmed.labels('scaling').set(desired)

    def record_order(self, result: str) -> None:
        """Count an order by its result."""
        self._orders.labels(result).inc()

    def record_change(self, took_s: float) -> None:
        """Record the duration of an operator's change."""
        self._changes_s.observe(took_s)

    def set_revision(self, revision: int) -> None:
        """Set the revision of the configuration that this VM holds."""
        self._revision.set(revision)

    def observe_relay(self, relay: Relay) -> None:
        """Show what a relay knows of streams and of its entry VMs."""
        self._streams.set_function(lambda: relay.known_streams)
        self._entries.labels('in_force').set_function(
            lambda: relay.rollout().in_force
        )
        self._entries.labels('behind').set_function(
            lambda: len(relay.rollout().behind)
        )

    def observe_bytes(
        self, replica: Replica, room: Held, links: Queued
    ) -> None:
        """Show the bytes that the parts of a control VM hold."""
        held = self._bytes.labels
        held('log').set_function(lambda: replica.status().log_bytes)
        held('disk').set_function(lambda: replica.status().waiting_bytes)
        held('calls').set_function(lambda: room.held_bytes)
        held('links').set_function(lambda: links.queued_bytes)

    def set_parts(self, suspected: int, quarantined: int) -> None:
        """Set the numbers of suspected and of quarantined prompt parts."""
        self._suspected_parts.set(suspected)
        self._quarantined_parts.set(quarantined)

    def record_leader_change(self) -> None:
        """Count a leader change that this VM observed."""
        self._leaders.inc()

    def _add_rollout(self) -> None:
        self._entries = Gauge(
            'lovagemast_entry_vms',
            'Entry VMs of this relay, by whether the newest revision is in '
            'force there',
            ('state',),
            registry=self.registry,
        )
        self._bytes = Gauge(
            'lovagemast_control_bytes',
            'Bytes of commands and states that this VM holds, by kind',
            ('kind',),
            registry=self.registry,
        )

    def _add_duties(self) -> None:
        self._duty_calls = Counter(
            'lovagemast_duty_calls',
            'Calls of this VM to the infrastructure, by result',
            ('result',),
            registry=self.registry,
        )
        self._duty_holder = Gauge(
            'lovagemast_duty_holder',
            'Whether this VM is the one that calls the infrastructure',
            registry=self.registry,
        )
        self._usage_window = Gauge(
            'lovagemast_usage_window',
            'Newest window of usage that is committed, or confirmed',
            ('state',),
            registry=self.registry,
        )
        self._unconfirmed = Gauge(
            'lovagemast_unconfirmed_calls',
            'Committed calls that the infrastructure has not confirmed',
            ('duty',),
            registry=self.registry,
        )
