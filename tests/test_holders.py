"""Tests that no engine receives orders from two control VMs at a time."""

import random
from itertools import pairwise

import pytest
from lovagemast_core import HolderSet, HolderState
from lovagemast_core._messages import RelayDone, RelayHello, RelayOrder
from lovagemast_core.adapters import Order, OrderOutcome, OrderResult
from lovagemast_core.control import HolderHealth, OrderHolders
from lovagemast_core.control._relays import RelayReceiver, RelaySender

from tests.controlcluster import TAKEOVER_S, VMS, Cluster, make_config

ENGINES = tuple(f'e{index}' for index in range(6))
REQUEST_INTERVAL_S = 0.2
NOW = 100.0
# Until a restarted VM is a holder again and its engines have stopped waiting.
RECOVERY_S = 18.0


class LoadedCluster:
    """A cluster whose entry VM keeps requesting new adapters."""

    def __init__(self, seed: int = 1) -> None:
        self.cluster = Cluster(seed=seed)
        self.requested = 0
        self.cluster.run(2.0)
        self.cluster.propose(self.cluster.leader(), make_config(5))
        self.cluster.run(0.5)

    def run(self, seconds: float) -> None:
        """Run the cluster for some time under demand."""
        for _step in range(round(seconds / REQUEST_INTERVAL_S)):
            self.cluster.send_heartbeats(*ENGINES)
            self.requested += 1
            self.cluster.request_adapter(f'a{self.requested}')
            self.cluster.run(REQUEST_INTERVAL_S)

    def check_exclusive_holders(self) -> None:
        """Check that no engine gets orders of two VMs within the lease time."""
        for engine in ENGINES:
            sent = [
                sent_order
                for sent_order in self.cluster.orders
                if sent_order.order.target == engine
            ]
            for former, later in pairwise(sent):
                assert later.order.fence >= former.order.fence
                if former.vm == later.vm:
                    continue
                assert later.order.fence > former.order.fence
                assert later.at - former.at >= TAKEOVER_S

    def engines_ordered_since(self, at: float) -> set[str]:
        """Return the engines that have received an order since a time."""
        return {
            sent.order.target for sent in self.cluster.orders if sent.at >= at
        }


class TestOneHolder:
    @pytest.mark.parametrize('seed', range(8))
    def test_under_faults(self, seed: int) -> None:
        """Repeated kills, freezes and partitions never cause two holders."""
        loaded = LoadedCluster(seed)
        cluster = loaded.cluster
        rng = random.Random(seed)
        for _fault in range(8):
            vm = rng.choice([cluster.leader(), *VMS])
            match rng.randrange(3):
                case 0:
                    cluster.stop(vm)
                    loaded.run(rng.uniform(0.4, 4))
                    cluster.start(vm)
                case 1:
                    cluster.frozen.add(vm)
                    loaded.run(rng.uniform(0.4, 6))
                    cluster.frozen.discard(vm)
                case _:
                    cluster.cut.add(vm)
                    loaded.run(rng.uniform(0.4, 6))
                    cluster.cut.discard(vm)
            loaded.run(rng.uniform(0.4, 12))
        loaded.run(RECOVERY_S)
        loaded.check_exclusive_holders()
        assert loaded.engines_ordered_since(cluster.now - 3.0) == set(ENGINES)


class TestRelay:
    @pytest.mark.parametrize(
        ('term', 'clock', 'fence', 'detail'),
        [
            (3, NOW - 0.1, 9, ''),
            (3, NOW - 0.7, 9, 'too late to be sent'),
            (2, NOW - 0.1, 9, 'of an earlier term'),
            (3, NOW - 0.1, 7, 'of an earlier holder list'),
        ],
    )
    def test_stale_orders_are_not_sent(
        self,
        term: int,
        clock: float,
        fence: int,
        detail: str,
    ) -> None:
        """A holder refuses late orders and those of former leaders or lists."""
        receiver = RelayReceiver()
        first = Order('e1', 'e1:80', True, 'm', 'a1', 0, 0, 8)
        assert receiver.accept('c1', RelayOrder(first, 3, NOW), 3, NOW) is None
        order = first._replace(adapter='a2', fence=fence)
        refused = receiver.accept('c1', RelayOrder(order, term, clock), 3, NOW)
        assert (refused.detail if refused else '') == detail
        assert (receiver.pop_requester(order) == 'c1') is not bool(detail)

    def test_lost_answer(self) -> None:
        """An order whose holder does not report has an unknown outcome."""
        sender = RelaySender()
        sender.on_hello('c2', RelayHello(5.0), NOW)
        order = Order('e1', 'e1:80', True, 'm', 'a1', 0, 0, 8)
        assert sender.make_relay_order('c2', order, 3, NOW).clock == 5.0
        assert not sender.expire(NOW + 1.0)
        lost = sender.expire(NOW + 3.0)
        assert [outcome.result for outcome in lost] == [OrderResult.UNKNOWN]
        late = RelayDone(OrderOutcome(order, OrderResult.ACCEPTED))
        assert sender.on_done(late) is None

    @pytest.mark.parametrize(('age_s', 'can'), [(0.1, True), (0.5, False)])
    def test_only_recent_hellos(self, age_s: float, can: bool) -> None:
        """Orders are relayed only to holders with a recent hello."""
        sender = RelaySender()
        sender.on_hello('c2', RelayHello(5.0), NOW)
        assert sender.can_send('c2', NOW + age_s) is can


class TestElections:
    def test_orders_continue(self) -> None:
        """After an election, engines with a live holder get orders at once."""
        loaded = LoadedCluster()
        cluster = loaded.cluster
        loaded.run(4.0)
        holders = {sent.order.target: sent.vm for sent in cluster.orders}
        old = cluster.leader()
        cluster.stop(old)
        loaded.run(1.4)
        elected_at = cluster.now
        assert cluster.leader() != old
        loaded.run(1.4)
        living = {engine for engine in ENGINES if holders[engine] != old}
        assert loaded.engines_ordered_since(elected_at) == living
        loaded.run(4.0)
        assert loaded.engines_ordered_since(cluster.now - 2.0) == set(ENGINES)
        loaded.check_exclusive_holders()

    def test_all_killed(self) -> None:
        """After a restart of all VMs, no engine has to wait for a takeover."""
        loaded = LoadedCluster()
        cluster = loaded.cluster
        loaded.run(8.0)
        for vm in VMS:
            cluster.stop(vm)
        cluster.run(0.3)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(1.5)
        back_at = cluster.now
        loaded.run(2.0)
        assert loaded.engines_ordered_since(back_at) == set(ENGINES)
        loaded.check_exclusive_holders()


class TestOrderHolders:
    def test_only_moved_engines_wait(self) -> None:
        """Only engines whose holder changes wait before the next order."""
        holders = OrderHolders(TAKEOVER_S)
        holders.apply_state(HolderState(1, VMS), NOW)
        before = {engine: holders.holder_of(engine) for engine in ENGINES}
        former = (HolderSet(VMS),)
        holders.apply_state(HolderState(2, VMS[1:], former), NOW)
        for engine in ENGINES:
            moved = before[engine] == VMS[0]
            assert (holders.takeover_wait_s(engine, NOW) > 0) is moved
            assert holders.takeover_wait_s(engine, NOW + TAKEOVER_S + 0.5) == 0

    @pytest.mark.parametrize(
        ('silent_s', 'wanted'),
        [(0.3, None), (2.0, VMS[1:])],
    )
    def test_silent_holder_is_replaced(
        self,
        silent_s: float,
        wanted: tuple[str, ...] | None,
    ) -> None:
        """A holder without recent contact is removed from the list."""
        holders = OrderHolders(TAKEOVER_S)
        holders.apply_state(HolderState(1, VMS), NOW)
        health = HolderHealth()
        health.reset(VMS, NOW)
        now = NOW + silent_s
        for vm in VMS[1:]:
            health.record_contact(vm, now)
        change = holders.propose(VMS, health, now)
        assert (change.vms if change else None) == wanted

    def test_returns_when_steady(self) -> None:
        """A VM becomes a holder again after 10 s of uninterrupted contact."""
        holders = OrderHolders(TAKEOVER_S)
        holders.apply_state(HolderState(1, VMS[1:]), NOW)
        health = HolderHealth()
        returned_at = None
        for step in range(200):
            now = NOW + 0.1 * step
            for vm in VMS:
                health.record_contact(vm, now)
            change = holders.propose(VMS, health, now)
            if change and returned_at is None:
                returned_at = now
                assert change.vms == VMS
        assert returned_at == pytest.approx(NOW + 10.1, abs=0.2)
