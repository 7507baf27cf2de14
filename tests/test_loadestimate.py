"""Tests of how entry VMs estimate and spread the load of engines."""

import pytest
from lovagemast_core.entry import LoadEstimate

NOW = 100.0
ENTRIES = 193
SLOTS = 12


def share_sums(entries: list[list[LoadEstimate]], counts: list[int]) -> None:
    """Tell all entry VMs the requests at each engine."""
    for loads in entries:
        for load, count in zip(loads, counts, strict=True):
            load.record_fleet(count)


class TestEstimate:
    @pytest.mark.parametrize(
        ('report_age_s', 'sync_age_s', 'expected'),
        [
            (0.1, 0.1, 9),  # the target's own report is the newest
            (1.0, 0.1, 4),
            (1.0, 3.0, 9),  # no sync
            (5.0, 3.0, ENTRIES),  # nothing is known
        ],
    )
    def test_newest_figure_counts(
        self, report_age_s: float, sync_age_s: float, expected: int
    ) -> None:
        """The newest of both figures is used, and neither if it is old."""
        load = LoadEstimate()
        load.record_report(8, NOW - report_age_s)
        load.record_fleet(3)
        load.running = 1
        assert load.requests(ENTRIES, sync_age_s, NOW) == expected

    def test_one_request_does_not_fill_an_engine(self) -> None:
        """A second request may go to an engine that nobody else uses.

        Without the fleet's figure, an entry VM with one request there would
        assume one of each other entry VM as well.
        """
        load = LoadEstimate()
        load.record_fleet(0)
        load.running = 1
        assert load.requests(ENTRIES, 0.2, NOW) < SLOTS

    def test_own_requests_count_at_once(self) -> None:
        """Requests that started or ended here since are added or deducted."""
        load = LoadEstimate()
        load.running = 2
        load.record_fleet(10)
        load.running = 5
        assert load.requests(ENTRIES, 0.2, NOW) == 13
        load.running = 0
        assert load.requests(ENTRIES, 0.2, NOW) == 8


class TestSpread:
    def test_hundreds_of_entry_vms_use_all_engines(self) -> None:
        """Requests that rarely meet the same engine twice are spread evenly.

        Each entry VM sends one request in turn to the engine with the lowest
        estimate. The sums reach all of them a tenth of a second later.
        """
        engines = 8
        counts = [0] * engines
        entries = [
            [LoadEstimate() for _engine in range(engines)]
            for _entry in range(ENTRIES)
        ]
        for step, loads in enumerate(entries):
            if step % 2 == 0:
                share_sums(entries, counts)
            estimates = [load.requests(ENTRIES, 0.1, NOW) for load in loads]
            chosen = estimates.index(min(estimates))
            counts[chosen] += 1
            loads[chosen].running += 1
        assert max(counts) <= 1.2 * ENTRIES / engines
