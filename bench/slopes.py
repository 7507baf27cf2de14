"""Measures how the costs of fleet control grow with the size of a fleet.

Nodes run in virtual time on an in-memory network. Processor time is that of
``Node.handle`` on this machine; bytes are those of the encoded messages,
without the framing of HTTP/2 and TCP.
"""

import json
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from lovagemast_core import Event, PeerReceived, RosterEntry, TargetFacts
from lovagemast_wire import encode_envelope

from standins.virtual_fleet import VirtualFleet

SETTLE_S: Final = 14.0
MEASUREMENT_S: Final = 10.0
VMS_PER_ZONE: Final = 4
CONTROL_VMS: Final = 3
POLL_INTERVAL_S: Final = 0.005
MIN_MEAN_COST: Final = 1e-9  # avoids a division by zero
SIZES: Final = {
    'vms': (4, 8, 16, 32),
    'targets': (4, 8, 16, 32),
    'adapters': (8, 32, 128, 512),
    'accounts': (10, 100, 1000, 4000),
    'changes': (0, 10, 20, 40),
}


class Shape(NamedTuple):
    """The size of a fleet."""

    vms: int = 8
    targets: int = 8
    adapters: int = 8  # loaded at each target
    accounts: int = 10
    changes: int = 0  # during the measurement


class Cost(NamedTuple):
    """The cost of one role at one VM, per second."""

    processor_us_s: float
    messages_s: float
    bytes_s: float


class CountingFleet(VirtualFleet):
    """A virtual fleet that counts processor time and sent bytes per VM."""

    def __init__(self, entries: list[RosterEntry], seed: int) -> None:
        super().__init__(entries, seed)
        self.processor_s: dict[str, float] = defaultdict(float)
        self.sent_messages: dict[str, int] = defaultdict(int)
        self.sent_bytes: dict[str, int] = defaultdict(int)
        self.bytes_by_kind: dict[str, int] = defaultdict(int)
        self.keep_timeline = False

    def reset(self) -> None:
        """Reset all counters."""
        for counts in (self.processor_s, self.sent_messages, self.sent_bytes):
            counts.clear()
        self.bytes_by_kind.clear()

    def _feed(self, vm: str, event: Event) -> None:
        started = time.perf_counter()
        super()._feed(vm, event)
        self.processor_s[vm] += time.perf_counter() - started

    def _send(self, sender: str, receiver: str, event: Event) -> None:
        if isinstance(event, PeerReceived):
            envelope = encode_envelope(sender, event.message)
            size = envelope.ByteSize()
            self.sent_messages[sender] += 1
            self.sent_bytes[sender] += size
            self.bytes_by_kind[type(event.message).__name__] += size
        super()._send(sender, receiver, event)


def build_fleet(shape: Shape) -> CountingFleet:
    """Return a fleet of the given size in its steady state."""
    entries = [
        RosterEntry(
            f'vm{number}',
            f'z{number // VMS_PER_ZONE}',
            f'10.0.0.{number}:1',
            control=number < CONTROL_VMS,
        )
        for number in range(shape.vms)
    ]
    fleet = CountingFleet(entries, seed=1)
    fleet.start_all()
    zones = max(1, shape.vms // VMS_PER_ZONE)
    for number in range(shape.targets):
        name = f'target{number}'
        facts = TargetFacts(
            name,
            f'z{number % zones}',
            'lm',
            '10.0.1.1:1',
            'i0',
            0,
            shape.adapters,
            16,
        )
        target = fleet.add_target(facts)
        for adapter in range(shape.adapters):
            target.loaded[f'adapter-{number}-{adapter}@1'] = True
    fleet.run_for(4)
    fleet.apply('vm0', 'op', 0, _config_document(shape, 0))
    fleet.run_for(SETTLE_S)
    return fleet


def measure(shape: Shape) -> dict[str, Cost]:
    """Return the costs of the leader and the mean costs of entry VMs."""
    fleet = build_fleet(shape)
    fleet.reset()
    for number in range(shape.changes):
        fleet.run_for(MEASUREMENT_S / shape.changes)
        revision = number + 1
        document = _config_document(shape, revision)
        fleet.apply('vm0', f'op{number}', revision, document)
    if not shape.changes:
        fleet.run_for(MEASUREMENT_S)
    node = fleet.hosts['vm0'].node
    leader = node.status(fleet.now).leader if node else 'vm0'
    entry_vms = [
        vm for vm, host in fleet.hosts.items() if not host.entry.control
    ]
    costs = [_cost(fleet, vm) for vm in entry_vms]
    return {
        'leader': _cost(fleet, leader),
        'entry': Cost(*(sum(one) / len(costs) for one in zip(*costs))),  # noqa: B905
    }


def measure_memory(shape: Shape) -> float:
    """Return the mean memory of a node, bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fleet = build_fleet(shape)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(fleet.hosts)


def measure_recovery(shape: Shape) -> dict[str, float]:
    """Return the cost of the restart of one entry VM for the whole fleet.

    ``in_force_s`` is the time until a change is in force at every VM.
    """
    fleet = build_fleet(shape)
    fleet.reset()
    fleet.run_for(MEASUREMENT_S)
    idle_bytes = sum(fleet.sent_bytes.values())
    idle_s = sum(fleet.processor_s.values())
    fleet.reset()
    vm = f'vm{shape.vms - 1}'
    fleet.crash(vm)
    fleet.start(vm)
    fleet.run_for(MEASUREMENT_S)
    return {
        'bytes': sum(fleet.sent_bytes.values()) - idle_bytes,
        'processor_us': (sum(fleet.processor_s.values()) - idle_s) * 1e6,
        'in_force_s': _time_until_in_force(fleet, shape),
    }


def _time_until_in_force(fleet: CountingFleet, shape: Shape) -> float:
    started = fleet.now
    fleet.apply('vm0', 'last', 1, _config_document(shape, 1))
    while not _is_in_force(fleet, 2):
        fleet.run_for(POLL_INTERVAL_S)
    return fleet.now - started


def _is_in_force(fleet: CountingFleet, revision: int) -> bool:
    nodes = [host.node for host in fleet.hosts.values()]
    return all(node and node.published.revision >= revision for node in nodes)


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Return the least-squares line through points and its residual.

    The residual is the largest distance from the line over the mean cost.
    """
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    sum_xx = sum((size - mean_size) ** 2 for size, _ in points)
    sum_xy = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = sum_xy / sum_xx
    base = mean_cost - slope * mean_size
    residuals = [abs(cost - base - slope * size) for size, cost in points]
    return {
        'slope': slope,
        'base': base,
        'residual': max(residuals) / max(mean_cost, MIN_MEAN_COST),
    }


def run_slopes(report: Callable[[str], None]) -> dict[str, Any]:
    """Measure each size of each dimension and fit a line to each cost."""
    measured: dict[str, Any] = {}
    for name, sizes in SIZES.items():
        rows = []
        for size in sizes:
            shape = _shape_of(name, size)
            costs = measure(shape)
            row: dict[str, Any] = {'size': size}
            for role, cost in costs.items():
                row[role] = cost._asdict()
            row['memory_bytes'] = measure_memory(shape)
            rows.append(row)
            report(f'{name}={size}')
        measured[name] = {'rows': rows, 'fits': _fits(rows)}
    measured['recovery'] = [
        {'size': size, **measure_recovery(_shape_of('vms', size))}
        for size in SIZES['vms']
    ]
    return measured


def _shape_of(name: str, size: int) -> Shape:
    if name == 'vms':
        return Shape(vms=size, targets=size)
    return Shape()._replace(**{name: size})


def _fits(rows: list[dict[str, Any]]) -> dict[str, Any]:
    fits: dict[str, Any] = {
        'memory_bytes': fit(
            [(row['size'], row['memory_bytes']) for row in rows]
        ),
    }
    for role in ('leader', 'entry'):
        for cost in Cost._fields:
            points = [(row['size'], row[role][cost]) for row in rows]
            fits[f'{role}.{cost}'] = fit(points)
    return fits


def _cost(fleet: CountingFleet, vm: str) -> Cost:
    return Cost(
        fleet.processor_s[vm] / MEASUREMENT_S * 1e6,
        fleet.sent_messages[vm] / MEASUREMENT_S,
        fleet.sent_bytes[vm] / MEASUREMENT_S,
    )


def _config_document(shape: Shape, number: int) -> str:
    document = {
        'accounts': [
            {
                'name': f'account{index}',
                'rate_tokens_s': 100 + number,
                'burst_tokens': 1000,
            }
            for index in range(shape.accounts)
        ],
        'keys': [
            {'account': f'account{index}', 'digest': f'{index:064x}'}
            for index in range(shape.accounts)
        ],
        'pools': [{'name': 'lm', 'kind': 'engine', 'base': 'm'}],
        'routes': [{'name': 'r', 'prefix': '/v1/', 'pool': 'lm'}],
    }
    return json.dumps(document)
