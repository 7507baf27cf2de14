"""The parts of a fleet whose sync is measured, and its shape."""

import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from lovagemast_core.adapters import (
    AdapterLabel,
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from lovagemast_core.deployment import (
    AccountSpec,
    Deployment,
    DeploymentIndex,
    EngineSpec,
    ModelSpec,
    PoolSpec,
)
from lovagemast_core.entry import FleetView, TargetRequirements
from lovagemast_core.quota import LocalTokens, QuotaBounds
from lovagemast_core.targets import TargetHeartbeat
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._loadtracker import LoadTracker
from lovagemast_node.fleet._metrics import EntryMetrics
from lovagemast_node.fleet._targetpaces import PaceTracker

LATENCY_S: Final = 0.001  # one way, between VMs
HEARTBEAT_S: Final = 1.35
ORDER_S: Final = 0.05  # until an engine has answered an order
REPORT_S: Final = 0.02
REQUEST_S: Final = 1.5  # mean duration of a request
RETRY_S: Final = 0.02  # between the looks of a waiting request at the view
GIVE_UP_S: Final = 5.0
PUSH_INTERVAL_S: Final = 0.02  # as at the leader
RELAY_PUSH_DELAY_S: Final = 0.004  # as at a relay
ADAPTERS: Final = 10_000
ACCOUNTS: Final = 16
TOKENS: Final = 200.0  # of a request
QUOTA: Final = QuotaBounds(0.1, 8.0, 17_000.0)
LEADER: Final = 'c0'
POOL: Final = 'pool'
ENGINE_SLOTS: Final = 12
ADAPTER_SLOTS: Final = 9
CLOCK_READINGS: Final = 2_000  # to measure what one takes
SKEW: Final = 1.4  # exponent of the adapters' popularity


class LoadShape(NamedTuple):
    """The size of the fleet and of its load."""

    entries: int = 77
    relays: int = 6
    engines: int = 70
    requests_per_s: float = 320.0
    seconds: float = 10.0
    settle_s: float = 8.0  # under load, before the measurement starts


class RoleCosts(NamedTuple):
    """The processor time of each role, in ms per second of virtual time.

    ``relay_ms`` and ``entry_ms`` are of one relay and of one entry VM.
    """

    leader_ms: float
    relay_ms: float
    entry_ms: float
    relay_asks: float  # sync requests per second, of all relays
    entry_asks: float
    leader_kb: float  # sent to relays, per second
    relay_kb: float  # sent to entry VMs, per second and relay
    orders: float
    served: float  # requests/s


def make_index() -> DeploymentIndex:
    """Return a deployment with one pool of engines and several accounts."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(
        ENGINE_SLOTS, 100_000, 200.0, ADAPTER_SLOTS, 4.0, 200.0, (model,)
    )
    pool = PoolSpec(POOL, '/health', 10, 0.0, 0.0, engine)
    accounts = tuple(
        AccountSpec(f'a{number}', (f'k{number}',), None, 2e4, 2e4, True, 100.0)
        for number in range(ACCOUNTS)
    )
    return DeploymentIndex(Deployment(1, pools=(pool,), accounts=accounts))


class Meter:
    """Sums the processor time of roles.

    What a reading of the clock takes is left out: on some machines, it takes
    longer than much of what is measured.
    """

    def __init__(self) -> None:
        self.spent: defaultdict[str, float] = defaultdict(float)
        self.counts: Counter[str] = Counter()
        self._overhead_s = 0.0
        for _ in range(CLOCK_READINGS):
            self.run('clock', int)
        self._overhead_s = self.spent.pop('clock') / CLOCK_READINGS

    def run(self, role: str, work: Callable[[], Any]) -> Any:
        """Return what some work returns, and add its time to a role."""
        started = time.process_time()
        outcome = work()
        spent_s = time.process_time() - started
        self.spent[role] += spent_s - self._overhead_s
        return outcome


class Engine:
    """A stand-in engine: executes orders at once."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.adapters: dict[str, int] = {}
        self.sequence = 0
        self.beats = 0

    def heartbeat(self) -> TargetHeartbeat:
        """Return the next heartbeat."""
        self.beats += 1
        beat = TargetHeartbeat(
            self.name,
            POOL,
            f'{self.name}:80',
            f'z{self.number % 3}',
            ENGINE_SLOTS,
            leaving=False,
            cold_s=0.0,
            incarnation=1,
            sequence=self.beats,
        )
        labels = tuple(f'm/{name}@1' for name in self.adapters)
        return beat._replace(models=('m',), adapters=labels)

    def execute(self, order: Order) -> OrderOutcome:
        """Carry out an order at once."""
        if order.precondition != self.sequence:
            return OrderOutcome(order, OrderResult.BUSY)
        if order.load and len(self.adapters) >= ADAPTER_SLOTS:
            return OrderOutcome(order, OrderResult.REFUSED)
        self.sequence += 1
        if order.load:
            self.adapters[order.adapter] = 1
        else:
            self.adapters.pop(order.adapter, None)
        return OrderOutcome(order, OrderResult.ACCEPTED)

    def report(self) -> TargetReport:
        """Return a status report."""
        labels = tuple(AdapterLabel('m', name, 1) for name in self.adapters)
        return TargetReport(
            self.name, self.sequence, False, ('m',), labels, (), 0, 0
        )


class Client:
    """The client of a sync stream, with the timing of ``SyncClient``."""

    def __init__(self, name: str, server: str) -> None:
        self.name = name
        self.server = server
        self.number = 0
        self.sent: dict[int, float] = {}
        self.sent_at = 0.0
        self.answered = True
        self.woken = False
        self.due_event = 0  # number of the newest scheduled look
        self.seen = 0


class Entry:
    """An entry VM, as far as its sync and its choice of targets go."""

    def __init__(self, client: Client, zone: str) -> None:
        self.client = client
        self.zone = zone
        self.view = FleetView()
        self.tokens = LocalTokens(QUOTA)
        paces = PaceTracker(JsonLog('bench'), EntryMetrics())
        self.load = LoadTracker(paces)


class Request(NamedTuple):
    """A caller's request at an entry VM."""

    entry: Entry
    wanted: TargetRequirements
    account: AccountSpec
    arrived_at: float  # s
    is_waiting: bool  # for tokens, then for a target
