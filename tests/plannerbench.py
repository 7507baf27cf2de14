"""A planner and the simulated engines that it gives orders to."""

from lovagemast_core.adapters import (
    AdapterLabel,
    AdapterPlanner,
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)
from lovagemast_core.deployment import EngineSpec, ModelSpec, PoolSpec
from lovagemast_core.targets import (
    AdapterWish,
    TargetHeartbeat,
)

TERM = 3
SLOTS = 4


def make_pool() -> PoolSpec:
    """Return an engine pool with ``SLOTS`` adapter slots per engine."""
    model = ModelSpec('m', 100.0, 2.0, 1.0)
    engine = EngineSpec(8, 1_000, 120.0, SLOTS, 4.0, 200.0, (model,))
    return PoolSpec('pool', '/health', 10, 0.0, 0.0, engine)


class Bench:
    """A planner and the simulated engines that it gives orders to."""

    def __init__(self, engines: int = 3) -> None:
        self.now = 100.0
        self.planner = AdapterPlanner()
        self.orders: list[Order] = []
        self.sequences = {f'e{index}': 0 for index in range(engines)}
        for name in self.sequences:
            self.send_heartbeat(name)
            self.report(name, ())

    def send_heartbeat(
        self,
        name: str,
        models: tuple[str, ...] = ('m',),
        incarnation: int = 1,
    ) -> None:
        """Pass an engine's heartbeat to the planner."""
        heartbeat = TargetHeartbeat(
            name,
            'pool',
            f'{name}:80',
            f'z-{name}',
            8,
            False,
            0.0,
            incarnation,
            1,
            models,
        )
        self.planner.update_engine(heartbeat, make_pool(), self.now)

    def report(
        self,
        name: str,
        labels: tuple[AdapterLabel, ...],
        loading: tuple[AdapterLabel, ...] = (),
    ) -> None:
        """Pass an engine's report to the planner."""
        self.planner.record_report(
            TargetReport(
                name,
                self.sequences[name],
                busy=False,
                models=('m',),
                adapters=labels,
                loading=loading,
                running=0,
                waiting=0,
            ),
            self.now,
        )

    def wish(self, adapter: str, demand: float = 1.0) -> None:
        """Record that a request waits for an adapter."""
        wish = AdapterWish('pool', 'm', adapter, 1, demand)
        self.planner.record_wishes((wish,), self.now)

    def plan(self) -> list[Order]:
        """Return the orders that are due now."""
        orders = self.planner.plan(TERM, self.now)
        self.orders.extend(orders)
        return orders

    def answer(
        self,
        order: Order,
        result: OrderResult = OrderResult.ACCEPTED,
    ) -> None:
        """Record an engine's answer to an order."""
        if result in {OrderResult.ACCEPTED, OrderResult.HOLDS}:
            self.sequences[order.target] += 1
        self.planner.record_outcome(OrderOutcome(order, result), self.now)

    def load(self, adapter: str) -> str:
        """Load an adapter and return the engine that holds it."""
        for _round in range(3):
            self.now += 0.5
            self.send_heartbeats()
            self.wish(adapter)
            for order in self.plan():
                self.answer(order)
                if order.load and order.adapter == adapter:
                    self.now += 0.5
                    return order.target
        raise AssertionError(f'{adapter} was not loaded')

    def send_heartbeats(self) -> None:
        """Pass a heartbeat of every engine to the planner."""
        for name in self.sequences:
            self.send_heartbeat(name)
