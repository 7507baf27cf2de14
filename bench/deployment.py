"""Runs a workload on a virtual fleet, with a zone outage."""

import json
from typing import Any, Final, NamedTuple

from lovagemast_core import (
    CallerRequest,
    EventKind,
    Policy,
    RosterEntry,
    TargetFacts,
    TimelineEvent,
)

from standins.virtual_fleet import Answer, VirtualFleet, Work

from .bounds import ideal_admissions
from .workload import Arrival, Workload, draw_arrivals, first_adapters

SETTLE_S: Final = 12.0  # before the first arrival
DRAIN_S: Final = 30.0  # after the last one
CONTROL_VMS: Final = 3
BALANCER_DETECTION_S: Final = 1.0  # until a dead VM gets no requests
P95: Final = 0.95
DIGITS: Final = 4


class Outcome(NamedTuple):
    """The outcome of one arrival."""

    arrival: Arrival
    ideal: bool  # admitted by a central bucket with full information
    answer: Answer | None  # None if no VM was reachable


class Deployment:
    """A virtual fleet of the workload's size with its traffic and outage."""

    def __init__(self, workload: Workload, seed: int, policy: Policy) -> None:
        self.workload = workload
        self.arrivals = draw_arrivals(workload, seed)
        self.preloaded = first_adapters(workload, seed)
        self.fleet = VirtualFleet(_entries(workload), seed, policy)
        self.fleet.keep_timeline = False
        self.fleet.on_event = self._on_event
        self.load_waits: dict[str, float] = {}
        self._requests: list[str | None] = []
        self._down_at: dict[str, float] = {}
        self._zone_out = f'z{workload.zone_out}'

    def run(self) -> list[Outcome]:
        """Run the complete workload and return the outcome of each arrival."""
        self._start()
        out_at, gone_at, back_at = self.workload.zone_out_s
        self._call_at(out_at, lambda: self._set_zone(out=True))
        self._call_at(gone_at, self._crash_zone)
        self._call_at(back_at, self._restore_zone)
        for arrival in self.arrivals:
            self.fleet.run_until(SETTLE_S + arrival.at)
            self._requests.append(self._send(arrival))
        self.fleet.run_for(DRAIN_S)
        ideal = ideal_admissions(self.workload, self.arrivals)
        return [
            Outcome(
                arrival,
                admitted,
                self.fleet.answers[request] if request else None,
            )
            for arrival, admitted, request in zip(
                self.arrivals,
                ideal,
                self._requests,
                strict=True,
            )
        ]

    def request_of(self, number: int) -> str | None:
        """Return the request id of an arrival, ``None`` if it was lost."""
        return self._requests[number]

    def mean_batch(self) -> float:
        """Return the mean batch size of busy engines."""
        engines = self.fleet.targets.values()
        busy_s = sum(engine.busy_s for engine in engines)
        return sum(engine.batch_s for engine in engines) / busy_s

    def _start(self) -> None:
        workload = self.workload
        self.fleet.start_all()
        for number in range(workload.engines):
            zone = zone_of(number, workload)
            facts = TargetFacts(
                f'lm{number}',
                zone,
                'lm',
                f'lm{number}:1',
                'i0',
                0,
                workload.adapter_slots,
                workload.max_in_flight,
            )
            engine = self.fleet.add_target(facts)
            labels = self.preloaded[number :: workload.engines]
            for label in labels[: workload.adapter_slots]:
                engine.loaded[label] = True
        self.fleet.run_for(3)
        self.fleet.apply('vm0', 'first', 0, self._config_document(out=False))
        self.fleet.run_until(SETTLE_S)

    def _config_document(self, *, out: bool) -> str:
        workload = self.workload
        accounts = range(len(workload.accounts))
        document = {
            'zones': [
                {
                    'name': f'z{number}',
                    'out': out and number == workload.zone_out,
                }
                for number in range(workload.zones)
            ],
            'accounts': [
                {
                    'name': f'c{number}',
                    'rate_tokens_s': workload.rate(number),
                    'burst_tokens': workload.burst(number),
                    'weight': workload.accounts[number],
                    'adapters': [f'c{number}-*'],
                }
                for number in accounts
            ],
            'keys': [
                {'account': f'c{number}', 'digest': f'k{number}'}
                for number in accounts
            ],
            'pools': [{'name': 'lm', 'kind': 'engine', 'base': 'm'}],
            'routes': [{'name': 'r', 'prefix': '/v1/', 'pool': 'lm'}],
            'store': {'loads_per_s': workload.store_loads_per_s},
        }
        return json.dumps(document)

    def _call_at(self, when: float, action: Any) -> None:
        self.fleet.call_at(SETTLE_S + when, lambda now: action())

    def _set_zone(self, *, out: bool) -> None:
        vm = next(
            name
            for name, host in self.fleet.hosts.items()
            if host.node and host.entry.zone != self._zone_out
        )
        node = self.fleet.hosts[vm].node
        revision = node.published.revision if node else 0
        self.fleet.apply(
            vm,
            f'zone {out}',
            revision,
            self._config_document(out=out),
        )

    def _crash_zone(self) -> None:
        for name, host in self.fleet.hosts.items():
            if host.entry.zone == self._zone_out:
                already_unready = not self._is_ready(name)
                self.fleet.crash(name)
                elapsed_s = BALANCER_DETECTION_S if already_unready else 0
                self._down_at[name] = self.fleet.now - elapsed_s
        for target in self.fleet.targets.values():
            if target.facts.zone == self._zone_out:
                target.crash(self.fleet.now)

    def _restore_zone(self) -> None:
        for name in list(self._down_at):
            self.fleet.start(name)
        for target in self.fleet.targets.values():
            if not target.up:
                target.restart('i1', concurrency_limit=1)
        self._down_at.clear()
        self.fleet.call_at(
            self.fleet.now + 2,
            lambda now: self._set_zone(out=False),
        )

    def _send(self, arrival: Arrival) -> str | None:
        vm = self._route(arrival.vm)
        if vm is None:
            return None
        req = CallerRequest(
            '',
            'POST',
            '/v1/completions',
            f'k{arrival.account}',
            f'm:{arrival.adapter}',
            self.workload.prompt_tokens,
            arrival.max_tokens,
            f'{arrival.at}',
        )
        work = Work(self.workload.prompt_tokens, arrival.used_tokens)
        return self.fleet.request(vm, req, work)

    def _route(self, number: int) -> str | None:
        """Return the next ready VM, as the platform's load balancer would.

        A VM that was ready when it crashed still gets requests until the load
        balancer detects the crash; they are lost, and ``None`` is returned.
        """
        names = list(self.fleet.hosts)
        for turn in range(len(names)):
            name = names[(number + turn) % len(names)]
            down_at = self._down_at.get(name)
            if down_at is not None:
                if self.fleet.now - down_at < BALANCER_DETECTION_S:
                    return None
            elif self._is_ready(name):
                return name
        return None

    def _is_ready(self, vm: str) -> bool:
        host = self.fleet.hosts[vm]
        now = host.clock(self.fleet.now)
        return host.node is not None and host.node.is_ready(now)

    def _on_event(self, event: TimelineEvent) -> None:
        if event.kind is EventKind.CALL_OPENED:
            wait_s = float(event.detail.split(', ')[1].split(' ')[0])
            self.load_waits[event.request] = wait_s


def zone_of(number: int, workload: Workload) -> str:
    """Return the zone of a VM or an engine."""
    return f'z{number % workload.zones}'


def _entries(workload: Workload) -> list[RosterEntry]:
    return [
        RosterEntry(
            f'vm{number}',
            zone_of(number, workload),
            f'vm{number}:1',
            control=number < CONTROL_VMS,
        )
        for number in range(workload.vms)
    ]
