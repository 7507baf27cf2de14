"""Tests of the queue of requests that wait for a target, under load."""

import heapq
from typing import NamedTuple

import pytest
from lovagemast_core.entry import WaitQueue
from lovagemast_core.entry._waitqueue import MIN_QUEUE, UNKNOWN_S

POOL = 'p'
NOW = 10.0
MAX_WAIT_S = 1.2
STEP_S = 0.01


def make_queue(rate: int, waiting: dict[int, int]) -> WaitQueue:
    """Return a queue after some seconds of sends at a rate."""
    queue = WaitQueue()
    for number in range(rate * 10):
        queue.record_send(POOL, NOW - 10 + number / rate)
    for priority, count in waiting.items():
        for _request in range(count):
            queue.join(POOL, priority)
    return queue


@pytest.mark.parametrize(
    ('rate', 'waiting', 'priority', 'wait_s'),
    [
        (10, {}, 0, 0.0),
        (10, {0: MIN_QUEUE - 1}, 0, 0.0),
        (10, {0: 20}, 0, 2.0),
        (10, {2: 20}, 0, 0.0),  # less urgent ones are not ahead
        (10, {0: 10, 2: 10}, 2, 2.0),
        (1, {0: 20}, 0, UNKNOWN_S),
    ],
)
def test_expected_wait(
    rate: int, waiting: dict[int, int], priority: int, wait_s: float
) -> None:
    """The wait is the number of more urgent requests over the rate."""
    queue = make_queue(rate, waiting)
    expected = queue.expected_wait_s(POOL, priority, NOW)
    assert expected == pytest.approx(wait_s, rel=0.15)


def test_nothing_is_sent() -> None:
    """While targets take nothing, few requests wait."""
    queue = WaitQueue()
    for _request in range(MIN_QUEUE):
        assert queue.expected_wait_s(POOL, 0, NOW) == 0.0
        queue.join(POOL, 0)
    assert queue.expected_wait_s(POOL, 0, NOW) == UNKNOWN_S


class Outcome(NamedTuple):
    """What callers get of a load."""

    served: int
    held: int  # refused only after they have waited as long as they may
    at_once: int


def play(per_s: float, capacity_per_s: float, seconds: float) -> Outcome:
    """Let requests arrive at an entry VM whose targets take a rate."""
    queue = WaitQueue()
    waiting: list[float] = []
    served = 0
    held = 0
    at_once = 0
    due = 0.0  # arrivals
    room = 0.0  # at targets, in requests
    for step in range(round(seconds / STEP_S)):
        now = NOW + step * STEP_S
        due += per_s * STEP_S
        room = min(2.0, room + capacity_per_s * STEP_S)
        while due >= 1:
            due -= 1
            if queue.expected_wait_s(POOL, 0, now) > MAX_WAIT_S:
                at_once += 1
                continue
            queue.join(POOL, 0)
            heapq.heappush(waiting, now)
        while waiting and now - waiting[0] > MAX_WAIT_S:
            heapq.heappop(waiting)
            queue.leave(POOL, 0)
            held += 1
        while waiting and room >= 1:
            room -= 1
            heapq.heappop(waiting)
            queue.leave(POOL, 0)
            queue.record_send(POOL, now)
            served += 1
    return Outcome(served, held, at_once)


@pytest.mark.parametrize('capacity', [4.0, 20.0, 60.0])
def test_overload_is_refused_at_once(capacity: float) -> None:
    """At four times the capacity few requests are held in vain."""
    outcome = play(4 * capacity, capacity, 20.0)
    refused = outcome.held + outcome.at_once
    assert outcome.at_once >= 0.9 * refused
    assert outcome.served >= 0.9 * capacity * 20.0


def test_nothing_is_refused_within_capacity() -> None:
    """A load that the targets can take is served whole."""
    outcome = play(18.0, 20.0, 20.0)
    assert not outcome.held
    assert not outcome.at_once
