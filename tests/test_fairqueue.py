"""Tests of fair queueing."""

from lovagemast_core import Priority
from lovagemast_core.ownership._fairqueue import (
    MAX_WAIT_BEHIND_S,
    FairQueue,
    Waiting,
)


def waiting(
    attempt: str,
    account: str = 'a',
    *,
    cost: float = 10,
    weight: float = 1,
    priority: Priority = Priority.STANDARD,
    since: float = 0,
) -> Waiting:
    """Return a waiting request."""
    return Waiting(attempt, account, weight, priority, cost, since)


def drain(queue: FairQueue, now: float = 0) -> list[str]:
    """Return all attempts in the order they are served."""
    order = []
    entry = queue.pop(now)
    while entry:
        order.append(entry.attempt)
        entry = queue.pop(now)
    return order


class TestFairness:
    """Order among client accounts."""

    def test_small_account_is_not_behind_a_crowd(self) -> None:
        """One request of another account goes before a long queue."""
        queue = FairQueue()
        for number in range(10):
            queue.push(waiting(f'a{number}'))
        queue.push(waiting('b0', 'b'))
        assert drain(queue).index('b0') <= 1

    def test_weights_share_the_slots(self) -> None:
        """An account of twice the weight is served twice as often."""
        queue = FairQueue()
        for number in range(12):
            queue.push(waiting(f'a{number}', 'a', weight=2))
            queue.push(waiting(f'b{number}', 'b', weight=1))
        first = drain(queue)[:9]
        heavy = sum(1 for attempt in first if attempt.startswith('a'))
        assert heavy in {5, 6, 7}

    def test_costs_count(self) -> None:
        """An account with long requests gets fewer of them."""
        queue = FairQueue()
        for number in range(9):
            queue.push(waiting(f'a{number}', 'a', cost=40))
            queue.push(waiting(f'b{number}', 'b', cost=10))
        first = drain(queue)[:10]
        assert sum(1 for one in first if one.startswith('b')) >= 7


class TestPriority:
    """Order among routes."""

    def test_interactive_goes_first(self) -> None:
        """A lower number is served first."""
        queue = FairQueue()
        queue.push(waiting('batch', priority=Priority.BATCH))
        queue.push(waiting('live', priority=Priority.INTERACTIVE))
        assert drain(queue) == ['live', 'batch']

    def test_starvation_is_bounded(self) -> None:
        """A batch request that has waited long goes first."""
        queue = FairQueue()
        queue.push(waiting('batch', priority=Priority.BATCH))
        queue.push(waiting('live', priority=Priority.INTERACTIVE))
        assert drain(queue, MAX_WAIT_BEHIND_S + 1) == ['batch', 'live']

    def test_removed_request_is_not_served(self) -> None:
        """A request that was withdrawn is skipped."""
        queue = FairQueue()
        queue.push(waiting('one'))
        queue.push(waiting('two'))
        assert queue.remove('one')
        assert not queue.remove('one')
        assert drain(queue) == ['two']
