"""Tests of who gives orders to engines, as the engines see it."""

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
WISH_EVERY_S = 0.2
NOW = 100.0
# Until a VM that is back holds engines again, which then wait.
SETTLED_S = 18.0


class Traffic:
    """A cluster whose entry VMs ask for a new adapter all the time."""

    def __init__(self, seed: int = 1) -> None:
        self.cluster = Cluster(seed=seed)
        self.asked = 0
        self.cluster.run(2.0)
        self.cluster.propose(self.cluster.leader(), make_config(5))
        self.cluster.run(0.5)

    def run(self, seconds: float) -> None:
        """Let time pass under demand."""
        for _step in range(round(seconds / WISH_EVERY_S)):
            self.cluster.send_heartbeats(*ENGINES)
            self.asked += 1
            self.cluster.wish(f'a{self.asked}')
            self.cluster.run(WISH_EVERY_S)

    def check_one_holder(self) -> None:
        """No engine hears two VMs within the lease time."""
        for engine in ENGINES:
            sent = [
                one for one in self.cluster.orders if one.order.target == engine
            ]
            for former, later in pairwise(sent):
                assert later.order.fence >= former.order.fence
                if former.vm == later.vm:
                    continue
                assert later.order.fence > former.order.fence
                assert later.at - former.at >= TAKEOVER_S

    def ordered_since(self, at: float) -> set[str]:
        """Return the engines that got an order since a time."""
        return {one.order.target for one in self.cluster.orders if one.at >= at}


class TestOneHolder:
    @pytest.mark.parametrize('seed', range(8))
    def test_under_faults(self, seed: int) -> None:
        """Kills, freezes and cuts in series never make two holders."""
        traffic = Traffic(seed)
        cluster = traffic.cluster
        rng = random.Random(seed)
        for _fault in range(8):
            vm = rng.choice([cluster.leader(), *VMS])
            match rng.randrange(3):
                case 0:
                    cluster.stop(vm)
                    traffic.run(rng.uniform(0.4, 4))
                    cluster.start(vm)
                case 1:
                    cluster.frozen.add(vm)
                    traffic.run(rng.uniform(0.4, 6))
                    cluster.frozen.discard(vm)
                case _:
                    cluster.cut.add(vm)
                    traffic.run(rng.uniform(0.4, 6))
                    cluster.cut.discard(vm)
            traffic.run(rng.uniform(0.4, 12))
        traffic.run(SETTLED_S)
        traffic.check_one_holder()
        assert traffic.ordered_since(cluster.now - 3.0) == set(ENGINES)


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
        """A holder sends only what the present leader wants now."""
        relayed = RelayReceiver()
        first = Order('e1', 'e1:80', True, 'm', 'a1', 0, 0, 8)
        assert relayed.accept('c1', RelayOrder(first, 3, NOW), 3, NOW) is None
        order = first._replace(adapter='a2', fence=fence)
        refused = relayed.accept('c1', RelayOrder(order, term, clock), 3, NOW)
        assert (refused.detail if refused else '') == detail
        assert (relayed.pop_requester(order) == 'c1') is not bool(detail)

    def test_lost_answer(self) -> None:
        """An order whose holder falls silent may still take effect."""
        relays = RelaySender()
        relays.on_hello('c2', RelayHello(5.0), NOW)
        order = Order('e1', 'e1:80', True, 'm', 'a1', 0, 0, 8)
        assert relays.make_relay_order('c2', order, 3, NOW).clock == 5.0
        assert not relays.expire(NOW + 1.0)
        lost = relays.expire(NOW + 3.0)
        assert [one.result for one in lost] == [OrderResult.UNKNOWN]
        late = RelayDone(OrderOutcome(order, OrderResult.ACCEPTED))
        assert relays.on_done(late) is None

    @pytest.mark.parametrize(('age_s', 'can'), [(0.1, True), (0.5, False)])
    def test_only_living_holders(self, age_s: float, can: bool) -> None:
        """Orders go to holders that have sent a recent hello."""
        relays = RelaySender()
        relays.on_hello('c2', RelayHello(5.0), NOW)
        assert relays.can_send('c2', NOW + age_s) is can


class TestElections:
    def test_orders_go_on(self) -> None:
        """After an election the engines of living holders wait for nobody."""
        traffic = Traffic()
        cluster = traffic.cluster
        traffic.run(4.0)
        holders = {one.order.target: one.vm for one in cluster.orders}
        old = cluster.leader()
        cluster.stop(old)
        traffic.run(1.4)
        elected_at = cluster.now
        assert cluster.leader() != old
        traffic.run(1.4)
        living = {one for one in ENGINES if holders[one] != old}
        assert traffic.ordered_since(elected_at) == living
        traffic.run(4.0)
        assert traffic.ordered_since(cluster.now - 2.0) == set(ENGINES)
        traffic.check_one_holder()

    def test_all_killed(self) -> None:
        """When all come back, no engine has to wait."""
        traffic = Traffic()
        cluster = traffic.cluster
        traffic.run(8.0)
        for vm in VMS:
            cluster.stop(vm)
        cluster.run(0.3)
        for vm in VMS:
            cluster.start(vm)
        cluster.run(1.5)
        back_at = cluster.now
        traffic.run(2.0)
        assert traffic.ordered_since(back_at) == set(ENGINES)
        traffic.check_one_holder()


class TestOrderHolders:
    def test_only_moved_engines_wait(self) -> None:
        """Engines that keep their holder get orders at once."""
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
        """A VM holds again once it has been alive for a while."""
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
