"""Tests of what operators are told of a revision's way to all entry VMs."""

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.entry import FleetView
from lovagemast_core.syncrelay import Rollout
from lovagemast_core.syncrelay._entries import ConnectedEntries
from lovagemast_core.syncrelay._rollout import RolloutTracker
from lovagemast_core.targets import SyncAsk

NOW = 100.0


def ask(vm: str, revision: int) -> SyncAsk:
    """Return the sync request of an entry VM with a revision in force."""
    return SyncAsk(1, vm, 'z', 0, 0, 0, revision=revision)


@pytest.mark.parametrize(
    ('revisions', 'after_s', 'reported'),
    [
        ((5, 5), 0.1, Rollout(5, 2, (), 0.1)),
        ((5, 4), 0.1, None),
        ((5, 4), 1.5, Rollout(5, 2, ('e1',), 1.5)),
        ((0, 4), 1.5, Rollout(5, 2, ('e0', 'e1'), 1.5)),
        ((), 1.5, None),
    ],
)
def test_rollout_that_is_late_is_reported(
    revisions: tuple[int, ...], after_s: float, reported: Rollout | None
) -> None:
    """A revision is reported once it is in force everywhere, or late."""
    view = FleetView()
    entries = ConnectedEntries()
    tracker = RolloutTracker(view, entries)
    view.published = PublishedState(version=9, revision=5)
    tracker.look(NOW)
    for number, revision in enumerate(revisions):
        entries.record_ask(number, ask(f'e{number}', revision), 1, NOW)
    report = tracker.report(NOW + after_s)
    assert (report is None) == (reported is None)
    if report and reported:
        assert report.took_s == pytest.approx(reported.took_s)
        assert report[:3] == reported[:3]
        assert tracker.report(NOW + after_s) is None
