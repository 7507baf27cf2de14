"""Tests of desired counts on their way to the infrastructure."""

from lovagemast_core.deployment import ScalingSpec
from lovagemast_core.duties import CallResult
from lovagemast_core.targets import AdapterUse

from tests.controlcluster import make_config
from tests.dutyfleet import DutyFleet

TARGETS = ('e1', 'e2', 'e3', 'e4')
SLOTS = 8  # of each
SUBJECT = ('pool', 'z1')
BOOT_S = 2.0


class ScaledFleet(DutyFleet):
    """A fleet whose pool has limits of its number of targets."""

    scaling = ScalingSpec(2, 12, BOOT_S)

    def __init__(self) -> None:
        super().__init__()
        self.run(2.0)
        self.propose(self.leader(), make_config(1))

    def serve(self, requests: int, seconds: float) -> None:
        """Keep a number of requests at each target for some time."""
        uses = tuple(AdapterUse(target, '', requests, 0) for target in TARGETS)
        next(iter(self.entries.values())).uses = uses
        for _second in range(round(seconds)):
            self.send_heartbeats(*TARGETS)
            self.run(1.0)


class TestScaling:
    """Decisions that are not committed and sent leave a pool as it is."""

    def test_demand_is_followed_up(self) -> None:
        """Full targets make the leader order more, in the zone's name."""
        fleet = ScaledFleet()
        fleet.serve(SLOTS, 12.0)
        assert fleet.cloud.counts[SUBJECT] > len(TARGETS)
        fleet.cloud.check_rules()

    def test_reasons_are_reported(self) -> None:
        """Operators see why a count is what it is, and what is present."""
        fleet = ScaledFleet()
        fleet.serve(SLOTS, 12.0)
        count = fleet.decided[-1].counts[0]
        assert (count.pool, count.zone, count.present) == (*SUBJECT, 4)
        assert count.reason

    def test_repeated_until_it_is_taken(self) -> None:
        """An infrastructure that was down gets the newest count."""
        fleet = ScaledFleet()
        fleet.cloud.mood = CallResult.BUSY
        fleet.serve(SLOTS, 12.0)
        assert SUBJECT not in fleet.cloud.counts
        fleet.cloud.mood = CallResult.CONFIRMED
        fleet.serve(SLOTS, 8.0)
        assert fleet.cloud.counts[SUBJECT] > len(TARGETS)

    def test_next_leader_keeps_the_count(self) -> None:
        """A new leader that knows no load yet orders nothing else."""
        fleet = ScaledFleet()
        fleet.serve(SLOTS, 12.0)
        ordered = fleet.cloud.counts[SUBJECT]
        calls = len(fleet.cloud.calls)
        fleet.stop(fleet.leader())
        fleet.serve(SLOTS, 3.0)
        assert fleet.cloud.counts[SUBJECT] == ordered
        later = fleet.cloud.calls[calls:]
        assert all(one.handed.scale is None for one in later)
        fleet.cloud.check_rules()

    def test_nothing_without_the_setting(self) -> None:
        """A pool without ``scaling`` in the configuration has no count."""
        fleet = ScaledFleet()
        fleet.scaling = None
        fleet.propose(fleet.leader(), make_config(2))
        fleet.serve(SLOTS, 12.0)
        assert SUBJECT not in fleet.cloud.counts
