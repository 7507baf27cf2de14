"""Stateful fuzzing of operators' changes against an oracle.

Whatever is lost, as long as no more disks are lost than one at a time: a read
is never older than a change that was acknowledged before it, a revision has
one content, and an acknowledged change that is sent again is acknowledged.
"""

from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from lovagemast_core import Applied, Conflict, PutConfig

from tests.controlcluster import STEP_S, VMS, Cluster, make_config

VM = st.sampled_from(VMS)
CATCH_UP_S = 4.0
READ_TRIES = 20


class SentChange(NamedTuple):
    """A change that an operator has sent, and what it knew then."""

    change: PutConfig
    is_resent: bool  # acknowledged before, and nothing else was sent since


class SentRead(NamedTuple):
    """A read, and the highest revision that was acknowledged before."""

    acknowledged: int


class OperatorMachine(RuleBasedStateMachine):
    """Changes, reads and losses in any order."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        """Start a cluster that has a configuration."""
        self.cluster = Cluster(seed=seed)
        self.cluster.run(2.0)
        self.revision = 0
        self.acknowledged = 0
        self.newest: PutConfig | None = None  # sent last
        self.documents: dict[int, str] = {}  # by acknowledged revision
        self.changes: dict[int, SentChange] = {}
        self.reads: dict[int, SentRead] = {}
        self.wipes = 0
        self.send('c1', 0)
        self.cluster.run(1.0)

    @rule(seconds=st.sampled_from([0.01, 0.02, 0.05, 0.3, 1.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.cluster.run(seconds)
        self.check()

    @rule(vm=VM, step=st.sampled_from([0, 1, 1, 3, -1]))
    def send(self, vm: str, step: int) -> None:
        """Send a change; steps below one race with an earlier change."""
        self.revision = max(1, self.revision + step)
        text = f'doc {len(self.changes)}'
        self.propose(vm, make_config(self.revision, text), is_resent=False)

    @rule(vm=VM)
    def resend(self, vm: str) -> None:
        """Send the newest change once more."""
        if self.newest:
            revision = self.newest.revision
            is_acknowledged = self.documents.get(revision) == (
                self.newest.document
            )
            is_newest = revision == self.acknowledged
            self.propose(
                vm, self.newest, is_resent=is_acknowledged and is_newest
            )

    @rule(vm=VM)
    def read(self, vm: str) -> None:
        """Read the configuration at a VM."""
        if vm in self.cluster.nodes:
            call = self.cluster.read(vm)
            self.reads[call] = SentRead(self.acknowledged)

    @rule(vm=VM, kind=st.sampled_from(['cut', 'frozen', 'stalled']))
    def harm(self, vm: str, kind: str) -> None:
        """Cut a VM off, freeze it, or stall its disk."""
        if vm in self.cluster.nodes:
            getattr(self.cluster, kind).add(vm)

    @rule()
    def heal(self) -> None:
        """End all troubles, and start what does not run."""
        self.recover()

    @rule(vm=VM, has_power=st.booleans())
    def kill(self, vm: str, has_power: bool) -> None:
        """Kill a process, or take a VM's power; others may be down."""
        if vm in self.cluster.nodes:
            self.end(vm, has_power=has_power)

    @precondition(lambda self: hasattr(self, 'cluster'))
    @rule(
        vm=st.sampled_from([*VMS, 'leader']),
        is_alone=st.booleans(),
        steps=st.integers(1, 5),
    )
    def wipe(self, vm: str, is_alone: bool, steps: int) -> None:
        """Lose a disk right after a change; all others may lose power."""
        self.recover()
        self.cluster.run(CATCH_UP_S)
        if vm == 'leader':
            vm = self.cluster.leader()
        self.revision = max(self.revision, self.acknowledged)
        self.send(vm, 1)
        self.cluster.run(steps * STEP_S)
        self.check()
        for other in VMS:
            if other != vm and not is_alone:
                self.end(other, has_power=False)
        self.end(vm, has_power=False)
        self.wipes += 1
        self.cluster.wipe_disk(vm, f'wipe{self.wipes}')
        self.read_back()

    def propose(self, vm: str, change: PutConfig, *, is_resent: bool) -> None:
        """Send a change to a VM, if it runs."""
        if vm not in self.cluster.nodes:
            return
        call = self.cluster.propose(vm, change)
        if not is_resent:
            self.newest = change
        self.changes[call] = SentChange(change, is_resent)

    def end(self, vm: str, *, has_power: bool) -> None:
        """End a VM's process; troubles of it end as well."""
        for vms in (
            self.cluster.cut,
            self.cluster.frozen,
            self.cluster.stalled,
        ):
            vms.discard(vm)
        if has_power:
            self.cluster.stop(vm)
        else:
            self.cluster.lose_power(vm)

    def recover(self) -> None:
        """End all troubles, and start what does not run."""
        self.cluster.cut.clear()
        self.cluster.frozen.clear()
        self.cluster.stalled.clear()
        for vm in VMS:
            if vm not in self.cluster.nodes:
                self.cluster.start(vm)

    def check(self) -> None:
        """Check all outcomes that have come since the last check."""
        for call, outcome in list(self.cluster.outcomes.items()):
            self.cluster.outcomes.pop(call)
            sent = self.changes.pop(call)
            assert not (sent.is_resent and isinstance(outcome, Conflict))
            revision = sent.change.revision
            if not isinstance(outcome, Applied):
                continue
            if outcome.revision == revision:
                held = self.documents.setdefault(revision, sent.change.document)
                assert held == sent.change.document
            self.acknowledged = max(self.acknowledged, revision)
        for call, state in list(self.cluster.reads.items()):
            self.cluster.reads.pop(call)
            read = self.reads.pop(call)
            if state:
                assert state.revision >= read.acknowledged
                held = self.documents.get(state.revision, state.document)
                assert state.document == held

    def read_back(self) -> None:
        """Check that all that was acknowledged is there after the faults."""
        self.recover()
        self.cluster.run(CATCH_UP_S)
        self.check()
        states = []
        while not any(states):
            assert len(states) < READ_TRIES
            call = self.cluster.read(self.cluster.leader())
            self.reads[call] = SentRead(self.acknowledged)
            self.cluster.run(0.5)
            states.append(self.cluster.reads.get(call))
            self.check()

    def teardown(self) -> None:
        """Read back what was acknowledged at the end."""
        if hasattr(self, 'cluster'):
            self.read_back()


TestOperators = OperatorMachine.TestCase
TestOperators.settings = settings(
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
