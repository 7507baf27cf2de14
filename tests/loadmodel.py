"""A small model of entry VMs that share targets, to try target selection in.

Targets run a fixed number of requests at a time and queue some more. Entry VMs
choose with the product's code, by sums that reach them late.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from lovagemast_core.entry import (
    FLEET_LAG_S,
    Candidate,
    Choice,
    KnownTarget,
    LoadEstimate,
    MeanServiceTime,
    SelectionCriteria,
    SpreadTerms,
    TargetHealth,
    TargetPaces,
    WorkKind,
    WorkTime,
    choose_target,
)
from lovagemast_core.targets import TargetRecord

POOL: Final = 'pool'
KIND: Final = WorkKind('route', 'answer')
SWING: Final = 0.55  # of each zone's demand
WAVE_S: Final = 11.0
ZONES: Final = 3
HOP_S: Final = 0.001  # between zones, one way
SUM_INTERVAL_S: Final = 0.1
SLOWDOWN: Final = 2.5
MAX_TRIES: Final = 3


class Slowdown(NamedTuple):
    """A time in which work at a target takes longer."""

    target: int
    begin: float
    end: float


class Scenario(NamedTuple):
    """What is played; times in s."""

    rate: float = 130.0  # requests/s
    entries: int = 77
    speeds: tuple[float, ...] = (0.7, 1.0, 1.7)
    slots: int = 6
    queue: int = 24
    work_s: float = 0.09
    objective_s: float = 0.405
    duration_s: float = 22.0
    lag_s: float = 0.3  # of the sums
    holders: int = 0  # targets that may serve a request; 0 for all
    slowdowns: tuple[Slowdown, ...] = ()
    # What a target reports, by its index and its true pace.
    report: Callable[[int, float], float] = lambda _index, pace: pace


class Result(NamedTuple):
    """What callers got, and what targets did."""

    in_time: float  # fraction answered within the objective
    shares: tuple[float, ...]  # of the requests, by target
    longest: int  # requests running and waiting at one target
    sends: tuple[tuple[float, int], ...]  # when, and to which target

    def share(self, target: int, begin: float, end: float) -> float:
        """Return a target's share of what was sent in some time."""
        sent = [index for when, index in self.sends if begin <= when < end]
        return sent.count(target) / len(sent)


class _Target:
    """A target with slots and a queue."""

    def __init__(self, index: int, scenario: Scenario) -> None:
        self.index = index
        self.scenario = scenario
        self.running = 0
        self.queue: list[_Sent] = []
        self.sent = 0  # and not answered yet
        self.total = 0
        record = TargetRecord(
            f't{index}',
            POOL,
            f't{index}:80',
            f'z{index % ZONES}',
            1,
            scenario.slots,
            leaving=False,
            cold_s=0.0,
        )
        self.candidate = Candidate(KnownTarget(record, {}, 0.0), None, 0.0)

    def pace(self, now: float) -> float:
        pace = 1 / self.scenario.speeds[self.index]
        for slowdown in self.scenario.slowdowns:
            is_now = slowdown.begin <= now < slowdown.end
            if slowdown.target == self.index and is_now:
                pace *= SLOWDOWN
        return pace

    @property
    def requests(self) -> int:
        return self.running + len(self.queue)


class _Entry:
    """An entry VM; without ``spread`` it chooses as in pools without paces."""

    def __init__(self, name: str, zone: int, targets: list[_Target]) -> None:
        self.name = name
        self.zone = f'z{zone}'
        self.health = TargetHealth()
        self.paces = TargetPaces()
        self.service_times = MeanServiceTime()
        self.loads = {one.candidate.target: LoadEstimate() for one in targets}

    def terms(self, draw: float, now: float) -> SpreadTerms | None:
        if not self.paces.reports_paces(POOL):
            return None
        return SpreadTerms(
            lambda known: self.paces.pace(known.record.target, now),
            self.service_times.of(POOL),
            FLEET_LAG_S,
            draw,
        )


class _Sent(NamedTuple):
    """A request on its way to a target."""

    entry: _Entry
    target: _Target
    arrived_at: float
    sent_at: float
    hop_s: float
    tried: frozenset[str]


class Model:
    """Plays a scenario with one way of choosing."""

    def __init__(self, scenario: Scenario, way: str, seed: int) -> None:
        self.scenario = scenario
        self.way = way  # 'spread', 'before' or 'clairvoyant'
        self.rng = random.Random(seed)
        count = len(scenario.speeds)
        self.targets = [_Target(index, scenario) for index in range(count)]
        self.entries = [
            _Entry(f'e{number}', number % ZONES, self.targets)
            for number in range(scenario.entries)
        ]
        self.in_time = 0
        self.requests = 0
        self.longest = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._sends: list[tuple[float, int]] = []

    def play(self) -> Result:
        """Play the scenario and return what callers got."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._sum_up)
        while self._events:
            now, _number, run = heapq.heappop(self._events)
            run(now)
        total = sum(one.total for one in self.targets)
        return Result(
            self.in_time / self.requests,
            tuple(one.total / total for one in self.targets),
            self.longest,
            tuple(self._sends),
        )

    def _at(self, when: float, run: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), run))

    def _arrive(self, now: float) -> None:
        peak = 1 + SWING
        if now < self.scenario.duration_s:
            gap_s = self.rng.expovariate(self.scenario.rate * peak)
            self._at(now + gap_s, self._arrive)
        entry = self.rng.choice(self.entries)
        phase = now / WAVE_S + int(entry.zone[1:]) / ZONES
        wave = 1 + SWING * math.sin(2 * math.pi * phase)
        if self.rng.random() * peak < wave:
            self.requests += 1
            self._send(entry, now, frozenset(), now)

    def _sum_up(self, now: float) -> None:
        """Send the sums of all entry VMs to all of them, as the sync does."""
        sums = {one.candidate.target: one.sent for one in self.targets}
        delay_s = self.scenario.lag_s + self.rng.uniform(-0.05, 0.05)
        self._at(now + delay_s, lambda _now: self._receive(sums))
        if now < self.scenario.duration_s:
            self._at(now + SUM_INTERVAL_S, self._sum_up)

    def _receive(self, sums: dict[str, int]) -> None:
        for entry in self.entries:
            for name, load in entry.loads.items():
                load.record_fleet(sums[name])

    def _send(
        self,
        entry: _Entry,
        arrived_at: float,
        tried: frozenset[str],
        now: float,
    ) -> None:
        target = self._choose(entry, tried, now)
        self._sends.append((now, target.index))
        target.sent += 1
        target.total += 1
        entry.loads[target.candidate.target].running += 1
        is_near = target.candidate.known.record.zone == entry.zone
        hop_s = 0.0 if is_near else HOP_S
        sent = _Sent(entry, target, arrived_at, now, hop_s, tried)
        self._at(now + hop_s, lambda when: self._reach(sent, when))

    def _choose(
        self, entry: _Entry, tried: frozenset[str], now: float
    ) -> _Target:
        scenario = self.scenario
        targets = self.targets
        if scenario.holders:
            targets = self.rng.sample(targets, scenario.holders)
        if self.way == 'clairvoyant':
            return min(targets, key=lambda one: self._finish(one, now))
        criteria = SelectionCriteria(
            entry.health,
            lambda known: (
                entry.loads[known.record.target].requests(
                    scenario.entries, 0.1, now
                )
                / scenario.slots
            ),
            lambda _known: True,
            tried,
            entry.zone,
            entry.name,
            entry.terms(self.rng.random(), now),
        )
        candidates = [one.candidate for one in targets]
        choice = choose_target(candidates, criteria, now)
        assert isinstance(choice, Choice)
        return self.targets[int(choice.candidate.target[1:])]

    def _finish(self, target: _Target, now: float) -> float:
        """Return in how many times its usual work a request would be done."""
        ahead = max(0, target.sent + 1 - self.scenario.slots)
        return target.pace(now) * (1 + ahead / self.scenario.slots)

    def _reach(self, sent: _Sent, now: float) -> None:
        target = sent.target
        if target.running < self.scenario.slots:
            self._start(sent, now)
        elif len(target.queue) < self.scenario.queue:
            target.queue.append(sent)
        else:
            self._at(now + sent.hop_s, lambda when: self._refuse(sent, when))
        self.longest = max(self.longest, target.requests)

    def _start(self, sent: _Sent, now: float) -> None:
        sent.target.running += 1
        work_s = self.scenario.work_s * sent.target.pace(now)
        self._at(now + work_s, lambda when: self._end(sent, when))

    def _end(self, sent: _Sent, now: float) -> None:
        target = sent.target
        target.running -= 1
        if target.queue:
            self._start(target.queue.pop(0), now)
        waiting = len(target.queue)
        requests = target.requests
        pace = self.scenario.report(target.index, target.pace(now))
        self._at(
            now + sent.hop_s,
            lambda when: self._answer(sent, requests, waiting, pace, when),
        )

    def _answer(
        self, sent: _Sent, requests: int, waiting: int, pace: float, now: float
    ) -> None:
        entry = sent.entry
        name = sent.target.candidate.target
        self._finish_sent(sent)
        entry.loads[name].record_report(requests, now)
        if self.way == 'spread':
            entry.paces.record_report(POOL, name, pace, now)
            queue = waiting / self.scenario.slots
            entry.service_times.record(POOL, now - sent.sent_at, queue)
            if not waiting:
                work = WorkTime(KIND, now - sent.sent_at)
                entry.paces.record_answer(POOL, name, work, now)
        self.in_time += now - sent.arrived_at <= self.scenario.objective_s

    def _refuse(self, sent: _Sent, now: float) -> None:
        self._finish_sent(sent)
        name = sent.target.candidate.target
        sent.entry.loads[name].record_report(sent.target.requests, now)
        tried = sent.tried | {name}
        # A target that refused it before is chosen only if all others did.
        if name not in sent.tried and len(tried) < MAX_TRIES:
            self._send(sent.entry, sent.arrived_at, tried, now)

    def _finish_sent(self, sent: _Sent) -> None:
        sent.target.sent -= 1
        sent.entry.loads[sent.target.candidate.target].running -= 1


def play(scenario: Scenario, way: str, seed: int = 1) -> Result:
    """Play a scenario with one way of choosing a target."""
    return Model(scenario, way, seed).play()
