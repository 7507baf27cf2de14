"""Tests of the clocks of a VM that may be suspended."""

import time

import pytest
from lovagemast_node._clock import now_s
from lovagemast_node._nodetask import Clock

SUSPENDED_S = 30.0


class TestClock:
    def test_suspension_counts(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Time goes on in a suspended VM, where the steady clock stands."""
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
        """The time of day may be set without effect on leases."""
        clock = Clock()
        before = (now_s(), clock.now())
        monkeypatch.setattr(time, 'time', float)
        assert 0 <= now_s() - before[0] < SUSPENDED_S
        assert 0 <= clock.now() - before[1] < SUSPENDED_S
