"""Stateful fuzzing of relays against an oracle.

After each step: tokens spent and held are covered by what the leader issued;
no entry VM counts an old configuration as confirmed. After the links have
healed: every entry VM knows the same targets as the leader, and each has a
rank of its own.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from lovagemast_core.entry._view import LEADER_LEARNING_S

from tests.relayfleet import RelayFleet

ZONES = 3
ENTRIES = 7
SETTLE_S = 26.0  # the longest back-off, and a leader's learning
HEARTBEAT_S = 1.0
RELAYS = st.integers(0, ZONES - 1)
VMS = st.integers(0, ENTRIES - 1)
TARGETS = st.integers(0, 5)


class RelayMachine(RuleBasedStateMachine):
    """Requests, changes, cuts and replacements in any order."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        """Start a fleet that has a configuration."""
        self.fleet = RelayFleet(ZONES, ENTRIES, seed)
        self.fleet.publish()
        self.fleet.run(1.0)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 2.5]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @rule(vm=VMS, cost=st.sampled_from([50.0, 400.0, 3_000.0]))
    def request(self, vm: int, cost: float) -> None:
        """Let a caller's request arrive at an entry VM."""
        self.fleet.entries[f'e{vm}'].request(cost, self.fleet.now)

    @rule()
    def publish(self) -> None:
        """Publish a new configuration."""
        self.fleet.publish()

    @rule(number=TARGETS)
    def register(self, number: int) -> None:
        """Let a target register, or send its heartbeats again."""
        self.fleet.targets.add(f't{number}')
        self.fleet.send_heartbeats()

    @rule(number=TARGETS)
    def deregister(self, number: int) -> None:
        """Let a target deregister."""
        self.fleet.deregister(f't{number}')

    @rule(relay=RELAYS)
    def cut_relay(self, relay: int) -> None:
        """Cut a relay off from the leader."""
        self.fleet.cut.add(('leader', f'r{relay}'))

    @rule(relay=RELAYS, vm=VMS)
    def cut_entry(self, relay: int, vm: int) -> None:
        """Cut an entry VM off from a relay."""
        self.fleet.cut.add((f'e{vm}', f'r{relay}'))

    @rule()
    def heal(self) -> None:
        """Join all links again."""
        self.fleet.cut.clear()

    @rule(relay=RELAYS)
    def replace_relay(self, relay: int) -> None:
        """Restart a relay, which then knows nothing."""
        self.fleet.start_relay(f'r{relay}')

    @rule(relay=RELAYS, seconds=st.sampled_from([0.0, 0.005, 0.05, 0.15]))
    def close_streams(self, relay: int, seconds: float) -> None:
        """Publish a change while the entry VMs of a relay move to others."""
        self.fleet.close_streams(f'r{relay}')
        self.fleet.run(seconds)
        self.fleet.publish()

    @rule(offset_s=st.sampled_from([0.03, 0.07, 0.11]))
    def shift_phases(self, offset_s: float) -> None:
        """Let requests be sent at other times after one another."""
        for stream in self.fleet.streams():
            stream.next_at += self.fleet.rng.random() * offset_s

    @rule()
    def elect(self) -> None:
        """Elect a new leader, which knows no targets yet."""
        self.fleet.elect()

    @rule(has_quorum=st.booleans())
    def partition_leader(self, has_quorum: bool) -> None:
        """Cut the leader off from its quorum, or join it again."""
        self.fleet.has_quorum = has_quorum

    @invariant()
    def check_tokens(self) -> None:
        """Check that all tokens spent or held were issued by a leader."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        used = sum(
            one.spent + one.held(fleet.now) for one in fleet.entries.values()
        )
        assert used <= fleet.issued + 1e-6

    @invariant()
    def check_age(self) -> None:
        """Check that all that was published before a confirmation is known."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        for entry in fleet.entries.values():
            confirmed_at = entry.view.confirmed_at
            assert confirmed_at <= fleet.quorum_at + 1e-6
            due = [
                version for at, version in fleet.published if at < confirmed_at
            ]
            assert entry.view.published.version >= max(due, default=0)
            assert entry.view.documents.revision >= max(due, default=0)

    def teardown(self) -> None:
        """Heal all links; the entry VMs then agree with the leader."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.cut.clear()
        fleet.has_quorum = True
        for _beat in range(round(SETTLE_S / HEARTBEAT_S)):
            fleet.send_heartbeats()
            fleet.run(HEARTBEAT_S)
        assert SETTLE_S > LEADER_LEARNING_S
        self.check_tokens()
        self.check_age()
        ranks = {one.view.rank for one in fleet.entries.values()}
        assert len(ranks) == ENTRIES
        for entry in fleet.entries.values():
            assert set(entry.view.targets) == fleet.targets
            assert entry.view.published.version == fleet.state.version
            assert entry.view.documents.document == fleet.state.document
            assert entry.view.entries == ENTRIES
            assert entry.view.age(fleet.now) < 0.5


TestRelays = RelayMachine.TestCase
TestRelays.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
