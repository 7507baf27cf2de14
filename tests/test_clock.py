"""Tests that clocks include suspension and ignore the wall clock."""

import time

import pytest
from lovagemast_node._clock import now_s
from lovagemast_node._nodetask import Clock

SUSPENDED_S = 30.0


class TestClock:
    def test_suspension_counts(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Suspended time counts; ``CLOCK_MONOTONIC`` would leave it out."""
        clock = Clock()
        before = clock.now()
        read = time.clock_gettime

        def after_suspension(clock_id: int) -> float:
            assert clock_id == time.CLOCK_BOOTTIME
            return read(clock_id) + SUSPENDED_S

        monkeypatch.setattr(time, 'clock_gettime', after_suspension)
        assert clock.now() - before >= SUSPENDED_S

    def test_set_clock_changes_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Changes of the wall clock have no effect on lease times."""
        clock = Clock()
        before = (now_s(), clock.now())
        monkeypatch.setattr(time, 'time', float)
        assert 0 <= now_s() - before[0] < SUSPENDED_S
        assert 0 <= clock.now() - before[1] < SUSPENDED_S
