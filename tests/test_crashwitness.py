"""Tests that a lost path to targets is not taken for their crash."""

from collections.abc import Iterable

import pytest
from lovagemast_core.control import FleetController
from lovagemast_core.quarantine import (
    LastHeartbeat,
    QuarantineState,
    SubjectRecord,
    TargetCrash,
)
from lovagemast_core.quarantine._failuredetector import (
    ReportedCrash,
    has_crashed,
)
from lovagemast_core.quota import QuotaBounds
from lovagemast_core.targets import SyncAsk

from tests.controlcluster import VMS, Cluster, make_heartbeat

TARGETS = ('t1', 't2', 't3', 't4')
HEARTBEAT_INTERVAL_S = 1.2
STEP_S = 0.1


class CutFleet:
    """Control VMs, targets that send heartbeats, and a VM that reports."""

    def __init__(self, seed: int = 1) -> None:
        self.cluster = Cluster(seed=seed)
        self.alive = set(TARGETS)
        self._beat_at = 0.0
        self.run(3.0)

    def run(self, seconds: float) -> None:
        """Run for some simulated time, with heartbeats of those alive."""
        for _step in range(round(seconds / STEP_S)):
            if self.cluster.now - self._beat_at >= HEARTBEAT_INTERVAL_S:
                self._beat_at = self.cluster.now
                self.cluster.send_heartbeats(*sorted(self.alive))
            self.cluster.run(STEP_S)

    def report(self, targets: Iterable[str], *, trial: bool = False) -> None:
        """Report crashes of targets, each while ``p`` ran there."""
        parts = ('p',)
        crashes = tuple(
            TargetCrash(
                target,
                make_heartbeat(target, self.cluster.now).incarnation,
                parts,
                parts if trial else (),
            )
            for target in targets
        )
        ask = SyncAsk(1, 'r1', 'z1', 0, 0, 0, crashes=crashes)
        leader = self.cluster.nodes[self.cluster.leader()]
        leader.on_ask(ask, self.cluster.now)

    def crash(self, target: str, *, trial: bool = False) -> None:
        """Let a target crash, and an entry VM report it."""
        self.alive.discard(target)
        self.report((target,), trial=trial)

    def state(self) -> QuarantineState:
        """Return the committed state."""
        return self.cluster.nodes[self.cluster.leader()].replica.quarantine

    def record(self) -> SubjectRecord | None:
        """Return what is known of ``p``."""
        return self.state().find('p')

    def is_quarantined(self) -> bool:
        """Return whether requests with ``p`` are refused."""
        record = self.record()
        return record is not None and record.is_quarantined


@pytest.mark.parametrize('seed', range(1, 4))
@pytest.mark.parametrize('delay_s', [0.0, 0.3, 0.6, 0.9, 1.1])
def test_cut_entry_vm_quarantines_nothing(seed: int, delay_s: float) -> None:
    """Targets whose heartbeats go on have not crashed."""
    fleet = CutFleet(seed)
    fleet.run(delay_s)
    for number, target in enumerate(TARGETS):
        fleet.report((target,), trial=number > 1)
        for _step in range(5):
            fleet.run(STEP_S)
            assert not fleet.is_quarantined()
    fleet.run(3.0)
    assert fleet.record() is None


@pytest.mark.parametrize('delay_s', [0.0, 0.3, 0.6, 0.9, 1.1])
def test_crashes_and_silence_quarantine(delay_s: float) -> None:
    """Targets that fall silent with the report have crashed."""
    fleet = CutFleet()
    fleet.run(delay_s)
    for number, target in enumerate(TARGETS[:3]):
        fleet.crash(target, trial=number == 2)
        fleet.run(0.3)
    fleet.run(2.2)
    assert fleet.is_quarantined()


def test_crashed_targets_that_restart_quarantine() -> None:
    """A newer incarnation shows that the former one has ended."""
    fleet = CutFleet()
    for number, target in enumerate(TARGETS[:3]):
        fleet.crash(target, trial=number == 2)
        restarted = make_heartbeat(target, fleet.cluster.now)
        restarted = restarted._replace(incarnation=restarted.incarnation + 1)
        for vm in VMS:
            node = fleet.cluster.nodes[vm]
            if node.is_ready_leader():
                node.on_heartbeat(restarted, fleet.cluster.now)
        fleet.run(0.2)
    assert fleet.is_quarantined()


def test_crashes_are_witnessed_after_an_election() -> None:
    """A new leader judges the crashes that a former one was told of."""
    fleet = CutFleet()
    for number, target in enumerate(TARGETS[:3]):
        fleet.crash(target, trial=number == 2)
    fleet.run(0.2)
    fleet.cluster.stop(fleet.cluster.leader())
    fleet.run(6.0)
    assert fleet.is_quarantined()


@pytest.mark.parametrize(
    ('reported_at', 'incarnation', 'crashed'),
    [(11.75, 1, False), (13.0, 1, False), (11.0, 1, True), (12.0, 2, True)],
)
def test_announced_end_is_no_crash(
    reported_at: float, incarnation: int, *, crashed: bool
) -> None:
    """A target whose announced time is over has not crashed.

    An entry VM that had not heard of the notice reports a crash, and what
    ran there would count towards a quarantine. An earlier end, or that of
    an earlier incarnation, is judged as without a notice.
    """
    heartbeat = LastHeartbeat(incarnation, 10.0, ends_at=12.0)
    crash = ReportedCrash(incarnation=1, reported_at=reported_at)
    assert has_crashed(crash, heartbeat, 0.0, now=13.5) is crashed


def test_leader_knows_when_a_target_ends() -> None:
    """The remaining time of a heartbeat reaches the judgement of crashes."""
    leader = FleetController(
        'l', takeover_s=3.0, quota=QuotaBounds(0.1, 8.0, 17_000.0)
    )
    beat = make_heartbeat('t1', 10.0)._replace(leaving=True, remaining_s=2.0)
    leader.on_heartbeat(beat, 10.0)
    assert leader._last_heartbeat('t1') == LastHeartbeat(1, 10.0, 12.0)
