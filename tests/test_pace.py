"""Tests of what entry VMs learn of the paces of targets."""

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    KnownTarget,
    MeanServiceTime,
    TargetPaces,
    WorkKind,
    WorkTime,
)
from lovagemast_core.entry._pace import MAX_PACE, MIN_PACE
from lovagemast_core.targets import TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._metrics import EntryMetrics
from lovagemast_node.fleet._targetpaces import PaceTracker
from lovagemast_node.http import ResponseHead
from lovagemast_platform._entry import PlatformEntryCodec

from tests.test_calls import ScriptedTarget, answer, status_of

NOW = 100.0
POOL = 'p'
KIND = WorkKind('route', 'answer')


def answer_in(
    paces: TargetPaces, times: dict[str, float], now: float = NOW
) -> None:
    """Record one answer of each target."""
    for target, took_s in times.items():
        paces.record_answer(POOL, target, WorkTime(KIND, took_s), now)


class TestReports:
    def test_slowdown_shows_at_once_and_fades(self) -> None:
        """An old report must not hold back a target that has recovered."""
        paces = TargetPaces()
        for second in range(30):
            paces.record_report(POOL, 't1', 1.0, NOW + second)
        now = NOW + 30
        paces.record_report(POOL, 't1', 2.5, now)
        assert paces.pace('t1', now) == pytest.approx(2.5, rel=0.15)
        assert paces.pace('t1', now + 10) == pytest.approx(1.0, rel=0.15)

    def test_recovery_shows_at_once(self) -> None:
        """One report of the usual pace ends what an earlier one said."""
        paces = TargetPaces()
        for second in range(30):
            paces.record_report(POOL, 't1', 1.0, NOW + second)
        paces.record_report(POOL, 't1', 2.5, NOW + 30)
        paces.record_report(POOL, 't1', 1.0, NOW + 30.1)
        assert paces.pace('t1', NOW + 30.1) == pytest.approx(1.0, rel=0.15)

    def test_usual_report_stays(self) -> None:
        """A target that always reports itself slow is slow without news."""
        paces = TargetPaces()
        for second in range(60):
            paces.record_report(POOL, 't1', 1.4, NOW + second)
        assert paces.pace('t1', NOW + 600) == pytest.approx(1.4, rel=0.02)

    @given(st.floats(allow_nan=True, allow_infinity=True))
    def test_odd_report_never_looks_fast(self, pace: float) -> None:
        """What is no pace changes nothing; what is one has bounded effect."""
        paces = TargetPaces()
        if paces.record_report(POOL, 't1', pace, NOW):
            assert MIN_PACE <= paces.pace('t1', NOW) <= MAX_PACE
            assert paces.reports_paces(POOL)
        else:
            assert not (pace > 0 and math.isfinite(pace))
            assert paces.pace('t1', NOW) == 1.0
            assert not paces.reports_paces(POOL)

    @given(st.binary(max_size=20))
    def test_odd_header_never_looks_fast(self, figure: bytes) -> None:
        """Only a positive number in range is taken from a header."""
        head = ResponseHead(200, ((b'X-Server-Load', b'3,1,8,' + figure),), 0)
        pace = PlatformEntryCodec().decode_response_head(head).pace
        assert pace is not None
        paces = TargetPaces()
        is_valid = paces.record_report(POOL, 't1', pace, NOW)
        if is_valid:
            assert figure.strip().replace(b'.', b'', 1).isdigit()
        else:
            assert paces.pace('t1', NOW) == 1.0

    @given(
        st.lists(st.floats(1e-3, 1e3), min_size=1, max_size=50),
        st.floats(0, 100),
    )
    def test_lies_stay_in_bounds(self, claims: list[float], age: float) -> None:
        """No series of reports makes a target look faster than the bound."""
        paces = TargetPaces()
        for claim in claims:
            paces.record_report(POOL, 't1', claim, NOW)
        assert MIN_PACE <= paces.pace('t1', NOW + age) <= MAX_PACE

    def test_other_targets_and_pools_are_unaffected(self) -> None:
        """Nothing is known of a target that has said nothing."""
        paces = TargetPaces()
        paces.record_report(POOL, 't1', 2.0, NOW)
        assert paces.pace('t2', NOW) == 1.0
        assert not paces.reports_paces('other')

    def test_gone_targets_and_pools_are_dropped(self) -> None:
        """What is kept is bounded by the targets and pools there are."""
        paces = TargetPaces()
        paces.record_report(POOL, 't1', 2.0, NOW)
        answer_in(paces, {'t1': 0.1})
        paces.retain(set())
        assert not paces.known_targets()
        paces.retain_pools(frozenset())
        assert not paces.reports_paces(POOL)
        assert not paces._medians


class TestAnswers:
    def test_slow_target_is_learned_from_its_answers(self) -> None:
        """A target that reports the usual pace may still be a slow machine."""
        paces = TargetPaces()
        for second in range(60):
            now = NOW + second
            for target in ('t1', 't2', 't3'):
                paces.record_report(POOL, target, 1.0, now)
            answer_in(paces, {'t1': 0.09, 't2': 0.09, 't3': 0.18}, now)
        assert paces.pace('t1', NOW + 60) == pytest.approx(1.0, rel=0.15)
        assert paces.pace('t3', NOW + 60) > 1.5

    def test_wrong_claim_yields_to_answers(self) -> None:
        """A target that claims to be fast is judged by its answers."""
        paces = TargetPaces()
        for second in range(60):
            now = NOW + second
            paces.record_report(POOL, 't1', 0.5, now)
            answer_in(paces, {'t1': 0.09, 't2': 0.09, 't3': 0.09}, now)
        assert paces.pace('t1', NOW + 60) > 0.8

    def test_answers_fade(self) -> None:
        """A slowdown that is long over is forgotten."""
        paces = TargetPaces()
        paces.record_report(POOL, 't1', 1.0, NOW)
        for second in range(30):
            answer_in(paces, {'t1': 0.3, 't2': 0.09, 't3': 0.09}, NOW + second)
        assert paces.pace('t1', NOW + 30) > 1.5
        assert paces.pace('t1', NOW + 600) == pytest.approx(1.0, rel=0.1)

    @pytest.mark.parametrize('took_s', [0.0, -1.0, math.nan, math.inf])
    def test_odd_times_are_ignored(self, took_s: float) -> None:
        """A clock that stands still must not make a target look fast."""
        paces = TargetPaces()
        paces.record_report(POOL, 't1', 1.0, NOW)
        answer_in(paces, {'t1': took_s})
        assert paces.pace('t1', NOW) == 1.0

    def test_nothing_is_kept_without_reports(self) -> None:
        """Pools whose targets send three figures stay as they are."""
        paces = TargetPaces()
        answer_in(paces, {'t1': 0.3, 't2': 0.09})
        assert not paces.known_targets()

    def test_mean_service_time_is_bounded(self) -> None:
        """It divides; an answer in no time must not make it 0."""
        times = MeanServiceTime()
        for _answer in range(100):
            times.record(POOL, 0.0, 0.0)
        assert times.of(POOL) > 0
        times.retain(frozenset())
        assert times.of(POOL) == 1.0


class TestEntryVm:
    def test_pace_in_an_answer_is_learned(self) -> None:
        """The fourth figure of an answer takes effect for its pool."""
        states: list[EntryState] = []
        script = answer(
            b'200 OK\r\nX-Server-Stamp: s\r\nX-Server-Load: 1,0,8,250'
        )
        call = status_of(
            CallKind.SAFE, [ScriptedTarget(script)], prepare=states.append
        )
        assert asyncio.run(call) == 200
        paces = states[0].load.paces
        assert paces.terms(POOL, now_s()) is not None
        assert paces.known.known_targets() == ('t0',)
        assert paces.service_times.of(POOL) < 1.0

    @pytest.mark.parametrize('load', [b'1,0,8', b'1,0,8,x', b'1,0,8,-5'])
    def test_without_a_pace_nothing_changes(self, load: bytes) -> None:
        """Pools whose targets send no valid fourth figure keep their cost."""
        states: list[EntryState] = []
        script = answer(
            b'200 OK\r\nX-Server-Stamp: s\r\nX-Server-Load: ' + load
        )
        call = status_of(
            CallKind.SAFE, [ScriptedTarget(script)], prepare=states.append
        )
        assert asyncio.run(call) == 200
        assert states[0].load.paces.terms(POOL, now_s()) is None


class TestLog:
    def test_lines_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """Thousands of odd figures in a minute give a line each 10 s."""
        now = NOW
        monkeypatch.setattr(
            'lovagemast_node.fleet._targetpaces.now_s', lambda: now
        )
        tracker = PaceTracker(JsonLog('e1'), EntryMetrics())
        for number in range(6_000):
            now = NOW + number / 100
            record = TargetRecord(
                f't{number % 50}',
                POOL,
                'h:1',
                'z1',
                1,
                8,
                leaving=False,
                cold_s=0,
            )
            known = KnownTarget(record, {}, now)
            tracker.record_report(known, math.nan if number % 2 else 1.5)
        lines = capfd.readouterr().out.splitlines()
        assert 10 <= len(lines) <= 12
        assert '"pace: unreadable"' in lines[1]
        assert '"slowest":' in lines[0]
        assert max(map(len, lines)) < 400
