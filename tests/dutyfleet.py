"""Control VMs, relays, entry VMs and an infrastructure, in virtual time."""

import random
from collections import Counter, defaultdict
from itertools import groupby
from typing import NamedTuple

from lovagemast_core.control import (
    CallInfrastructure,
    CountsDecided,
    DutiesChanged,
)
from lovagemast_core.duties import (
    CallDone,
    CallResult,
    DutyConfig,
    HandedCall,
    ScaleOrder,
    SteadyClock,
    UsageCounter,
    UsageReport,
    UsageWindows,
    subject_of,
)
from lovagemast_core.syncrelay import SyncRelay
from lovagemast_core.targets import AdapterUse, SyncAsk

from tests.controlcluster import VMS, Cluster

UTC_S = 1_767_225_600.0  # of the cluster's time 0
WINDOWS = UsageWindows(5.0, 10.0)
LEASE_S = 3.0
CONFIG = DutyConfig(
    has_metering=True, has_scaling=True, windows=WINDOWS, lease_s=LEASE_S
)
TICK_S = 0.05
ENTRY_SYNC_S = 0.2
RELAY_SYNC_S = 0.1
CONNECT_TIMEOUT_S = 0.5
ACCOUNTS = ('globex', 'acme', 'small')
TOLERANCE = 0.05


class Received(NamedTuple):
    """A call as the infrastructure receives it."""

    at: float  # s
    vm: str  # that sent it
    handed: HandedCall


class Infrastructure:
    """Accepts calls in one of several moods, and remembers them all."""

    def __init__(self) -> None:
        self.mood = CallResult.CONFIRMED
        self.loses_answers = False
        self.unreachable_from: set[str] = set()
        self.took_s = 0.01  # until the response
        self.calls: list[Received] = []
        self.accepted: dict[int, Received] = {}  # the first, by window
        self.counts: dict[tuple[str, str], int] = {}

    def receive(self, received: Received) -> CallResult:
        """Handle a call and return what its sender learns."""
        if received.vm in self.unreachable_from:
            return CallResult.UNREACHABLE
        if self.mood is CallResult.UNREACHABLE:
            return self.mood
        self.calls.append(received)
        if self.mood is not CallResult.CONFIRMED:
            return self.mood
        call = received.handed.call
        if isinstance(call, UsageReport):
            first = self.accepted.setdefault(call.window, received)
            assert first.handed.call == call, 'other counts for one window'
        elif isinstance(call, ScaleOrder):
            self.counts[subject_of(call)] = call.desired
        return CallResult.SILENT if self.loses_answers else self.mood

    def check_rules(self, lease_s: float = LEASE_S) -> None:
        """Check the fencing tokens and that holders do not alternate."""
        by_subject: dict[tuple[str, str], list[Received]] = defaultdict(list)
        for received in self.calls:
            call = received.handed.call
            assert call is not None
            by_subject[subject_of(call)].append(received)
        for calls in by_subject.values():
            tokens = [one.handed.token for one in calls]
            assert tokens == sorted(tokens), 'a lower token came later'
            holders = {(one.handed.token, one.vm) for one in calls}
            assert len(holders) == len(set(tokens)), 'a token of two holders'
            check_alternation(calls, lease_s)


def check_alternation(calls: list[Received], lease_s: float) -> None:
    """Check that no holder returns within the lease time."""
    runs = [
        (vm, list(run)) for vm, run in groupby(calls, key=lambda one: one.vm)
    ]
    for index, (vm, run) in enumerate(runs):
        for other, later in runs[index + 2 :]:
            if other == vm:
                assert later[0].at - run[-1].at > lease_s


class Entry:
    """An entry VM as far as usage goes."""

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.relay = ''
        self.asks = 0
        self.counter = UsageCounter(vm, incarnation, WINDOWS)
        self.uses: tuple[AdapterUse, ...] = ()


class DutyFleet(Cluster):
    """A cluster with duties, whose relays and entry VMs sync."""

    duties = CONFIG

    def __init__(self, seed: int = 1, entries: int = 4) -> None:
        self.cloud = Infrastructure()
        self.relays: dict[str, SyncRelay] = {}
        self.clocks: dict[str, SteadyClock] = {}
        self.jumps: dict[str, float] = defaultdict(float)
        self.entries: dict[str, Entry] = {}
        self.truth: dict[int, Counter[str]] = defaultdict(Counter)
        self.rates = dict.fromkeys(ACCOUNTS, 20.0)  # requests/s, each VM
        self.is_loaded = True
        self.decided: list[CountsDecided] = []
        self._calls: list[tuple[float, str, CallInfrastructure]] = []
        self._answers: list[tuple[float, str, CallDone]] = []
        self._incarnation = 0
        super().__init__(seed=seed)
        for index in range(entries):
            self.start_entry(f'e{index}')

    @property
    def holder(self) -> str:
        """Return the holder that the leader knows."""
        leader = self.nodes[self.leader()]
        return leader.replica.state_machine.duties.holder

    def utc(self) -> float:
        """Return the true time."""
        return UTC_S + self.now

    def wall(self, vm: str) -> float:
        """Return what a VM's wall clock shows."""
        return self.utc() + self.jumps[vm]

    def start(self, vm: str, *, bootstrap: bool = False) -> None:
        """Start a VM's process, with its relay."""
        super().start(vm, bootstrap=bootstrap)
        self._incarnation += 1
        self.relays[vm] = SyncRelay(vm, 'z1', self._incarnation)
        self.clocks[vm] = SteadyClock(self.wall(vm), self.now)

    def stop(self, vm: str) -> None:
        """Kill a VM's process; calls on their way still arrive."""
        super().stop(vm)
        self._calls = [one for one in self._calls if one[1] != vm]
        self._answers = [one for one in self._answers if one[1] != vm]

    def start_entry(self, vm: str) -> None:
        """Start an entry VM's process."""
        self._incarnation += 1
        self.entries[vm] = Entry(vm, self._incarnation)

    def run(self, seconds: float) -> None:
        """Run the fleet under load for some simulated time."""
        for _tick in range(round(seconds / TICK_S)):
            self._serve_requests()
            self._sync_entries()
            self._sync_relays()
            super().run(TICK_S)
            self._deliver_calls()

    def run_until_led(self) -> None:
        """Run until some VM leads."""
        for _tick in range(400):
            if any(node.is_ready_leader() for node in self.nodes.values()):
                return
            self.run(TICK_S)
        raise AssertionError('no leader')

    def report_of(self, window: int) -> UsageReport:
        """Return what the infrastructure has accepted for a window."""
        call = self.cloud.accepted[window].handed.call
        assert isinstance(call, UsageReport)
        return call

    def good_windows(self) -> tuple[int, int]:
        """Return how many of the due windows were reported well, of all."""
        last = WINDOWS.window_at(self.utc() - WINDOWS.due_s) - 1
        due = [window for window in sorted(self.truth) if window <= last]
        return sum(map(self._is_good, due)), len(due)

    def _is_good(self, window: int) -> bool:
        received = self.cloud.accepted.get(window)
        if received is None:
            return False
        if received.at + UTC_S > WINDOWS.end_of(window) + WINDOWS.due_s:
            return False
        reported = {
            one.account: one.requests for one in self.report_of(window).counts
        }
        return all(
            abs(reported.get(account, 0) - count) <= TOLERANCE * count
            for account, count in self.truth[window].items()
        )

    def _serve_requests(self) -> None:
        if not self.is_loaded:
            return
        for entry in self.entries.values():
            if entry.vm in self.frozen:
                continue
            for account, rate in self.rates.items():
                served = rate * TICK_S
                count = int(served) + (self.rng.random() < served - int(served))
                for _request in range(count):
                    entry.counter.record(account, self.now, self.now)
                self.truth[WINDOWS.window_at(self.utc())][account] += count

    def _is_due(self, interval_s: float, index: int) -> bool:
        ticks = round(interval_s / TICK_S)
        return (round(self.now / TICK_S) + index) % ticks == 0

    def _sync_entries(self) -> None:
        for index, entry in enumerate(self.entries.values()):
            if entry.vm in self.frozen | self.cut:
                continue
            if not self._is_due(ENTRY_SYNC_S, index):
                continue
            away = self.cut | self.frozen
            if entry.relay not in self.nodes or entry.relay in away:
                usable = [vm for vm in self.nodes if vm not in away]
                entry.relay = self.rng.choice(usable) if usable else ''
            if entry.relay:
                self._sync_entry(entry)

    def _sync_entry(self, entry: Entry) -> None:
        entry.asks += 1
        usage = entry.counter.reports(entry.asks, self.now)
        ask = SyncAsk(
            entry.asks,
            entry.vm,
            'z1',
            0,
            0,
            0,
            uses=entry.uses,
            usage=usage,
        )
        reply = self.relays[entry.relay].on_ask(1, ask, self.now)
        if reply.serves:
            entry.counter.exchange.on_reply(reply, self.now, self.now)

    def _sync_relays(self) -> None:
        for index, (vm, node) in enumerate(list(self.nodes.items())):
            leader = node.leader
            if vm in self.frozen or leader in self.frozen:
                continue
            if leader not in self.nodes:
                continue
            if leader != vm and self.cut & {vm, leader}:
                continue
            if self._is_due(RELAY_SYNC_S, index):
                self._sync_relay(vm, leader)

    def _sync_relay(self, vm: str, leader: str) -> None:
        self._incarnation += 1
        utc_s = self.clocks[vm].read(self.wall(vm), self.now)
        ask = self.relays[vm].build_ask(self._incarnation, self.now, utc_s)
        reply = self.nodes[leader].on_ask(ask, self.now)
        if reply.serves:
            self.relays[vm].on_reply(reply, self.now, self.now)
        self.perform_effects()

    def _perform(self, vm: str, effect: object) -> None:
        if isinstance(effect, CallInfrastructure):
            self._calls.append((self.now + TICK_S / 5, vm, effect))
        elif isinstance(effect, CountsDecided):
            self.decided.append(effect)
        elif not isinstance(effect, DutiesChanged):
            super()._perform(vm, effect)

    def _deliver_calls(self) -> None:
        calls, self._calls = self._calls, []
        for at, vm, effect in calls:
            if vm in self.frozen or at > self.now:
                self._calls.append((at, vm, effect))
            else:
                self._send(vm, effect)
        answers, self._answers = self._answers, []
        for at, vm, done in answers:
            if vm in self.frozen or at > self.now:
                self._answers.append((at, vm, done))
            elif vm in self.nodes:
                self.nodes[vm].on_called(done, self.now)
                self.perform_effects()

    def _send(self, vm: str, effect: CallInfrastructure) -> None:
        handed = effect.handed
        took_s = self.cloud.took_s
        if self.now > effect.send_by:
            result = CallResult.NOT_SENT
        else:
            result = self.cloud.receive(Received(self.now, vm, handed))
        if result is CallResult.UNREACHABLE:
            took_s = CONNECT_TIMEOUT_S
        elif result is CallResult.SILENT or took_s > handed.timeout_s:
            result = CallResult.SILENT
            took_s = handed.timeout_s
        done = CallDone(handed.number, handed.term, result, 'virtual')
        self._answers.append((self.now + took_s, vm, done))


def pick_fault(fleet: DutyFleet, rng: random.Random) -> None:
    """Cause one failure and end it after some time."""
    fleet.run_until_led()
    vm = rng.choice([fleet.leader(), fleet.holder or VMS[0], *VMS])
    seconds = rng.uniform(0.4, 6)
    match rng.randrange(5):
        case 0:
            fleet.stop(vm)
            fleet.run(seconds)
            fleet.start(vm)
        case 1:
            fleet.frozen.add(vm)
            fleet.run(seconds)
            fleet.frozen.discard(vm)
        case 2:
            fleet.cut.add(vm)
            fleet.run(seconds)
            fleet.cut.discard(vm)
        case 3:
            fleet.cloud.unreachable_from.add(vm)
            fleet.run(seconds)
            fleet.cloud.unreachable_from.discard(vm)
        case _:
            fleet.cloud.mood = rng.choice(
                [
                    CallResult.BUSY,
                    CallResult.SILENT,
                    CallResult.UNREACHABLE,
                    CallResult.REJECTED,
                ]
            )
            fleet.run(seconds)
            fleet.cloud.mood = CallResult.CONFIRMED
