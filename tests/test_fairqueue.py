"""Tests of start-time fair queueing."""

from lovagemast_core import Priority
from lovagemast_core.ownership._fairqueue import (
    MAX_PRIORITY_WAIT_S,
    FairQueue,
    QueuedRequest,
)


def queued_request(
    attempt: str,
    account: str = 'a',
    *,
    cost: float = 10,
    weight: float = 1,
    priority: Priority = Priority.STANDARD,
    queued_at: float = 0,
) -> QueuedRequest:
    """Return a queued request of 10 tokens by default."""
    return QueuedRequest(attempt, account, weight, priority, cost, queued_at)


def drain(queue: FairQueue, now: float = 0) -> list[str]:
    """Return all attempts in the order they are served."""
    order = []
    entry = queue.pop(now)
    while entry:
        order.append(entry.attempt)
        entry = queue.pop(now)
    return order


class TestFairness:
    """Order of requests of different client accounts."""

    def test_small_account_is_not_behind_a_long_queue(self) -> None:
        """A single request is served before another account's queue."""
        queue = FairQueue()
        for number in range(10):
            queue.push(queued_request(f'a{number}'))
        queue.push(queued_request('b0', 'b'))
        assert drain(queue).index('b0') <= 1

    def test_weights_share_the_slots(self) -> None:
        """An account with twice the weight is served twice as often."""
        queue = FairQueue()
        for number in range(12):
            queue.push(queued_request(f'a{number}', 'a', weight=2))
            queue.push(queued_request(f'b{number}', 'b', weight=1))
        first = drain(queue)[:9]
        heavy = sum(1 for attempt in first if attempt.startswith('a'))
        assert heavy in {5, 6, 7}

    def test_costs_count(self) -> None:
        """An account with expensive requests has fewer of them served."""
        queue = FairQueue()
        for number in range(9):
            queue.push(queued_request(f'a{number}', 'a', cost=40))
            queue.push(queued_request(f'b{number}', 'b', cost=10))
        first = drain(queue)[:10]
        assert sum(1 for one in first if one.startswith('b')) >= 7


class TestPriority:
    """Order of requests of different priorities."""

    def test_interactive_goes_first(self) -> None:
        """The priority with the lowest number is served first."""
        queue = FairQueue()
        queue.push(queued_request('batch', priority=Priority.BATCH))
        queue.push(queued_request('live', priority=Priority.INTERACTIVE))
        assert drain(queue) == ['live', 'batch']

    def test_starvation_is_bounded(self) -> None:
        """A batch request that has waited for long is served first."""
        queue = FairQueue()
        queue.push(queued_request('batch', priority=Priority.BATCH))
        queue.push(queued_request('live', priority=Priority.INTERACTIVE))
        assert drain(queue, MAX_PRIORITY_WAIT_S + 1) == ['batch', 'live']

    def test_removed_request_is_not_served(self) -> None:
        """A removed request is skipped."""
        queue = FairQueue()
        queue.push(queued_request('one'))
        queue.push(queued_request('two'))
        assert queue.remove('one')
        assert not queue.remove('one')
        assert drain(queue) == ['two']
