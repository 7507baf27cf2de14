"""Tests of the timing of the sync between entry VMs and control VMs."""

import itertools

import pytest
from lovagemast_core.entry import SyncTiming

IDLE_S = 60.0
ROUND_TRIP_S = 0.05  # between availability zones, at a busy leader


def longest_silence_s(timing: SyncTiming) -> float:
    """Return the longest time between replies on an idle stream."""
    now = 0.0
    replies = [now]
    while now < IDLE_S:
        replies.append(now + ROUND_TRIP_S)
        now += timing.min_interval_s + timing.interval_s
    gaps = itertools.pairwise(replies)
    return max(later - earlier for earlier, later in gaps)


class TestSyncTiming:
    @pytest.mark.parametrize('entries', [1, 6, 65, 100, 200, 400])
    def test_idle_stream_is_kept(self, entries: int) -> None:
        """An entry VM keeps a stream on which each request gets a reply."""
        timing = SyncTiming.for_entries(entries)
        assert longest_silence_s(timing) < timing.silence_timeout_s

    @pytest.mark.parametrize('entries', [1, 40])
    def test_dead_leader_of_small_fleet(self, entries: int) -> None:
        """In a small fleet a dead stream is left sooner than an election."""
        assert SyncTiming.for_entries(entries).silence_timeout_s <= 0.55
