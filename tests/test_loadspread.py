"""Tests of how requests are spread by load and pace of targets."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core.entry import (
    Candidate,
    Choice,
    KnownTarget,
    SelectionCriteria,
    SpreadTerms,
    TargetHealth,
    choose_target,
)
from lovagemast_core.entry._loadspread import (
    OWN_WORK,
    PacedTarget,
    draw_target,
    request_shares,
)
from lovagemast_core.entry._pace import MIN_PACE
from lovagemast_core.entry._selection import tie_breaker
from lovagemast_core.targets import TargetRecord

from tests.loadmodel import Result, Scenario, Slowdown, play

NOW = 50.0
SLOTS = 6
# Answers within the objective, which the code before did not reach in these
# scenarios: it got from 0.877 to 0.975 of them.
MIN_IN_TIME = 0.985
HALF_SECONDS = tuple(
    Slowdown(target, begin, begin + 0.5)
    for target in range(3)
    for begin in (1.0 + target, 5.0 + target, 9.0 + target, 13.0 + target)
)


def slow(target: int) -> tuple[Slowdown, ...]:
    """Return slowdowns of one target for several seconds."""
    return (Slowdown(target, 4, 9), Slowdown(target, 14, 19))


SCENARIOS = {
    'waves': (Scenario(), 2),
    'busy waves': (Scenario(rate=170), 1),
    'half a second, 77 entry VMs': (
        Scenario(rate=110, slowdowns=HALF_SECONDS),
        1,
    ),
    'half a second, 20 entry VMs': (
        Scenario(rate=110, entries=20, slowdowns=HALF_SECONDS),
        1,
    ),
    'slow one slower': (Scenario(rate=80, slowdowns=slow(0)), 1),
    'usual one slower': (Scenario(rate=110, slowdowns=slow(1)), 1),
    'fast one slower': (Scenario(rate=110, slowdowns=slow(2)), 1),
}


class TestCallers:
    @pytest.mark.parametrize('name', SCENARIOS)
    def test_answers_come_in_time(self, name: str) -> None:
        """Callers get nearly what a choice with all knowledge gives them.

        The cost that knows no pace sends all to one target at a time, and
        fills its queue.
        """
        scenario, seed = SCENARIOS[name]
        before = play(scenario, 'before', seed)
        best = play(scenario, 'clairvoyant', seed)
        spread = play(scenario, 'spread', seed)
        assert before.in_time < MIN_IN_TIME <= spread.in_time
        assert spread.in_time >= best.in_time - 0.015

    @pytest.mark.parametrize(
        'scenario',
        [
            Scenario(rate=20),
            Scenario(rate=260),
            Scenario(rate=200, slowdowns=slow(2)),
            Scenario(lag_s=0.8, slowdowns=slow(2)),
            Scenario(rate=150, entries=200, slowdowns=slow(1)),
        ],
        ids=['calm', 'overload', 'slow overload', 'old sums', '200 entry VMs'],
    )
    def test_never_worse_than_before(self, scenario: Scenario) -> None:
        """Outside of what it is made for, the draw must not cost answers."""
        before = play(scenario, 'before')
        assert play(scenario, 'spread').in_time >= before.in_time

    @pytest.mark.parametrize('seed', [1, 2])
    def test_equal_targets_are_not_overrun(self, seed: int) -> None:
        """Entry VMs with the same old sums do not all take the same target."""
        scenario = Scenario(speeds=(1.0, 1.0, 1.0))
        before = play(scenario, 'before', seed)
        spread = play(scenario, 'spread', seed)
        assert before.longest == scenario.slots + scenario.queue
        assert spread.longest <= 20
        assert max(spread.shares) <= 0.36

    def test_shares_follow_speed(self) -> None:
        """A fast target gets more, but not much more than it can do."""
        speeds = Scenario().speeds
        spread = play(Scenario(), 'spread')
        for share, speed in zip(spread.shares, speeds, strict=True):
            assert share <= 1.2 * speed / sum(speeds)
            assert share >= 0.7 * speed / sum(speeds)

    @pytest.mark.parametrize('seed', [1, 2])
    def test_engines_are_served_as_before(self, seed: int) -> None:
        """Random draws must not cost where few targets hold an adapter.

        With 60 engines, an entry VM learns little of each one's pace, and few
        requests of others arrive at it before newer sums do.
        """
        scenario = Scenario(
            rate=240,
            speeds=(0.7, 1.0, 1.7) * 20,
            slots=12,
            queue=100,
            work_s=2.0,
            objective_s=3.4,
            holders=2,
        )
        before = play(scenario, 'before', seed)
        spread = play(scenario, 'spread', seed)
        assert spread.in_time >= before.in_time - 0.002

    def test_speed_is_learned_from_answers(self) -> None:
        """Targets may report their pace relative to their own machine."""
        speeds = Scenario().speeds
        scenario = Scenario(report=lambda index, pace: pace * speeds[index])
        spread = play(scenario, 'spread')
        assert spread.in_time >= MIN_IN_TIME
        assert spread.shares[0] < spread.shares[1] < spread.shares[2]

    def test_slowed_target_gets_less_and_recovers(self) -> None:
        """Its share falls soon after it has become slow, and rises again."""
        scenario = Scenario(rate=110, slowdowns=(Slowdown(2, 5, 11),))
        spread = play(scenario, 'spread')
        usual = spread.share(2, 1, 5)
        assert spread.share(2, 6, 11) < 0.7 * usual
        assert spread.share(2, 13, 20) > 0.85 * usual


class TestWrongReports:
    def play_claim(self, claim: float, target: int = 0) -> Result:
        """Play equal targets of which one claims some pace."""
        scenario = Scenario(
            speeds=(1.0, 1.0, 1.0),
            report=lambda index, pace: claim if index == target else pace,
        )
        return play(scenario, 'spread')

    def test_claim_to_be_fast_draws_little(self) -> None:
        """It is at most half as much again as a fair share."""
        result = self.play_claim(0.01)
        assert result.shares[0] <= 1.5 / 3
        assert result.in_time >= MIN_IN_TIME

    def test_claim_to_be_slow_costs_little(self) -> None:
        """The others take over without being overrun."""
        result = self.play_claim(100.0)
        assert result.in_time >= MIN_IN_TIME
        assert result.shares[0] >= 0.05

    @given(
        st.floats(0, 5),
        st.floats(0, 5),
        st.floats(0, 60),
        st.integers(1, 20),
    )
    def test_excess_is_bounded_at_once(
        self, own: float, other: float, requests: float, others: int
    ) -> None:
        """A claim of any pace fills a target to a bound and no further.

        The bound is the work ahead at the others divided by the lowest pace
        that counts.
        """
        liar = PacedTarget((own + OWN_WORK) * MIN_PACE, SLOTS / MIN_PACE)
        honest = [PacedTarget(other + OWN_WORK, float(SLOTS))] * others
        shares = request_shares([liar, *honest], 1 + requests)
        part = (1 + requests) / sum(shares)
        filled = own + shares[0] * part / SLOTS
        filled_other = other + shares[1] * part / SLOTS
        bound = (filled_other + OWN_WORK) / MIN_PACE - OWN_WORK
        assert shares[0] == 0 or filled <= bound + 1e-6


class TestShares:
    @given(
        st.lists(
            st.tuples(st.floats(0, 50), st.floats(0.1, 100)),
            min_size=1,
            max_size=30,
        ),
        st.floats(1, 1_000),
    )
    def test_shares_level_out(
        self, pairs: list[tuple[float, float]], requests: float
    ) -> None:
        """All requests are shared out, and end at the same level."""
        targets = [PacedTarget(*pair) for pair in pairs]
        shares = request_shares(targets, requests)
        assert min(shares) >= 0
        assert sum(shares) == pytest.approx(requests, rel=1e-3, abs=1e-3)
        filled = [
            one.cost + share / one.rate
            for one, share in zip(targets, shares, strict=True)
        ]
        used = [
            level
            for level, share in zip(filled, shares, strict=True)
            if share > 0
        ]
        assert max(used) - min(used) <= 1e-6 * max(1, max(used))
        assert min(filled) >= min(used) - 1e-6 * max(1, max(used))

    @given(
        st.lists(st.floats(0, 10), min_size=1, max_size=8),
        st.floats(0, 1, exclude_max=True),
    )
    def test_draw_takes_no_target_without_a_share(
        self, shares: list[float], draw: float
    ) -> None:
        """Any random number stands for a target that is to get requests."""
        index = draw_target(shares, draw)
        assert shares[index] > 0 or not any(shares)


def make_candidate(name: str, zone: str = 'z1') -> Candidate:
    """Return a plain target."""
    record = TargetRecord(
        name, 'p', f'{name}:80', zone, 1, SLOTS, leaving=False, cold_s=0.0
    )
    return Candidate(KnownTarget(record, {}, NOW), None, 0.0)


def draws(
    loads: dict[str, float],
    zones: dict[str, str],
    paces: dict[str, float] | None = None,
    tried: frozenset[str] = frozenset(),
    service_s: float = 0.09,
) -> Counter[str]:
    """Return how often each target is chosen, of a thousand times."""
    health = TargetHealth()
    chosen: Counter[str] = Counter()
    for number in range(1_000):
        criteria = SelectionCriteria(
            health,
            lambda known: loads[known.record.target],
            lambda _known: True,
            tried,
            'z1',
            'e1',
            SpreadTerms(
                lambda known: (paces or {}).get(known.record.target, 1.0),
                service_s,
                0.3,
                number / 1_000,
            ),
        )
        candidates = [make_candidate(one, zones[one]) for one in loads]
        choice = choose_target(candidates, criteria, NOW)
        assert isinstance(choice, Choice)
        chosen[choice.candidate.target] += 1
    return chosen


class TestZones:
    def test_idle_target_elsewhere_beats_a_queue_nearby(self) -> None:
        """A hop takes 1 ms, and a place in a queue a part of 90 ms."""
        chosen = draws({'t1': 2.5, 't2': 0.2}, {'t1': 'z1', 't2': 'z2'})
        assert chosen['t2'] >= 990

    def test_hop_counts_as_time(self) -> None:
        """It matters for short work, and hardly for long work."""
        zones = {'t1': 'z1', 't2': 'z2'}
        loads = {'t1': 0.2, 't2': 0.2}
        far_short = draws(loads, zones, service_s=0.01)['t2']
        far_long = draws(loads, zones, service_s=2.0)['t2']
        assert far_short < far_long <= 500

    def test_tried_target_comes_last(self) -> None:
        """A repeat goes to another target, if that is not far busier."""
        zones = {'t1': 'z1', 't2': 'z2'}
        chosen = draws({'t1': 0.1, 't2': 1.0}, zones, tried=frozenset(('t1',)))
        assert chosen['t2'] == 1_000

    def test_slow_target_is_spared(self) -> None:
        """Of equally loaded targets, the slower one gets less."""
        zones = {'t1': 'z1', 't2': 'z1'}
        chosen = draws({'t1': 0.5, 't2': 0.5}, zones, {'t1': 2.5})
        assert chosen['t1'] < 250


class TestPoolsWithoutPaces:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0.0, 0.1, 0.15, 1 / 6, 0.5, 0.52, 1.0, 6.0)),
                st.sampled_from(('z1', 'z2')),
                st.booleans(),
                st.integers(0, 2),
            ),
            min_size=1,
            max_size=6,
        ),
        st.sampled_from(('e1', 'e2', 'e3')),
    )
    def test_cost_stays_as_it_was(
        self, targets: list[tuple[float, str, bool, int]], vm: str
    ) -> None:
        """Without a reported pace, the choice is exactly that of before."""
        health = TargetHealth()
        loads, tried, costs, candidates = {}, set(), {}, []
        for number, (load, zone, is_tried, failures) in enumerate(targets):
            name = f't{number}'
            candidates.append(make_candidate(name, zone))
            loads[name] = load
            for _failure in range(failures):
                health.record_failure(name, NOW)
            if is_tried:
                tried.add(name)
            costs[name] = load
            costs[name] += 3.0 * health.failure_rate(name, NOW)
            if is_tried:
                costs[name] += 4.0
            if zone != 'z1':
                costs[name] += 0.04
        criteria = SelectionCriteria(
            health,
            lambda known: loads[known.record.target],
            lambda _known: True,
            frozenset(tried),
            'z1',
            vm,
        )
        choice = choose_target(candidates, criteria, NOW)
        assert isinstance(choice, Choice)
        ranks = {
            name: (cost, tie_breaker(vm, name)) for name, cost in costs.items()
        }
        assert choice.candidate.target == min(costs, key=ranks.__getitem__)
