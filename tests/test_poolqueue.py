"""Tests of the queue that wakes waiting requests, in virtual time.

Requests wait for slots of a few targets; some may use one target only. Slots
come free with and without a notice, callers leave, and orders change.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core.entry import WaitingRequest
from lovagemast_node.fleet import _poolqueue
from lovagemast_node.fleet._poolqueue import (
    PASS_INTERVAL_S,
    CheckResult,
    PoolQueue,
    Readiness,
    Ticket,
)

from tests.virtualloop import now_s, run_virtual

SLACK_S = 0.002  # of the clock and of the shortest timer


@pytest.fixture(autouse=True, scope='module')
def _virtual_clock() -> Iterator[None]:
    patch = pytest.MonkeyPatch()
    patch.setattr(_poolqueue, 'now_s', now_s)
    yield
    patch.undo()


class Call(NamedTuple):
    """A request of a test, and the targets that may serve it."""

    name: str
    account: str = 'a'
    priority: int = 0
    targets: tuple[str, ...] = ('t0', 't1')
    max_wait_s: float = 5.0


class Pool:
    """A pool of targets with a few slots, behind a queue."""

    def __init__(self, slots: int = 1) -> None:
        self.free = Counter({'t0': slots, 't1': slots})
        self.counts: dict[int, int] = {}
        self.queue = PoolQueue(self.counts.update)
        self.sent: list[str] = []
        self.ended: list[str] = []
        self.looks = 0
        self.wakes = 0
        self.waiting: dict[str, Call] = {}

    async def call(self, call: Call) -> None:
        """Wait for a slot and take it, as a request's task does."""
        give_up_at = now_s() + call.max_wait_s
        ticket = self.queue.join(
            WaitingRequest(
                call.account,
                1.0,
                call.priority,
                now_s(),
                now_s() + 0.4,
                give_up_at,
                1.0,
            ),
            lambda now: self._check(call, give_up_at, now),
        )
        self.waiting[call.name] = call
        try:
            await self._wait(call, ticket, give_up_at)
        finally:
            self.waiting.pop(call.name)
            self.queue.leave(ticket)

    def target_of(self, call: Call) -> str:
        """Return a target with a free slot, empty if there is none."""
        return next((one for one in call.targets if self.free[one] > 0), '')

    async def _wait(
        self, call: Call, ticket: Ticket, give_up_at: float
    ) -> None:
        while True:
            await ticket.wait()
            self.wakes += 1
            target = self.target_of(call)
            if target:
                self.free[target] -= 1
                self.sent.append(call.name)
                return
            if now_s() >= give_up_at:
                self.ended.append(call.name)
                return
            self.queue.wait_again(ticket)

    def _check(self, call: Call, give_up_at: float, now: float) -> CheckResult:
        self.looks += 1
        target = self.target_of(call)
        if target:
            return CheckResult(Readiness.CAN_SEND, target=target)
        if now >= give_up_at:
            return CheckResult(Readiness.ENDS)
        return CheckResult(Readiness.WAITS, check_at=give_up_at)


class Watch:
    """Finds requests that wait although a slot that they may use is free."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._since: dict[str, float] = {}

    def check(self) -> None:
        """Fail if one has waited for longer than a pass may take."""
        usable = {
            name
            for name, call in self._pool.waiting.items()
            if self._pool.target_of(call)
        }
        self._since = {name: self._since.get(name, now_s()) for name in usable}
        for name, since in self._since.items():
            assert now_s() - since <= PASS_INTERVAL_S + SLACK_S, name


async def settle() -> None:
    """Let all tasks run that can."""
    for _turn in range(12):
        await asyncio.sleep(0)


CALLS = st.tuples(
    st.just('call'),
    st.sampled_from(['a', 'b', 'c']),
    st.integers(-1, 2),
    st.sampled_from([('t0',), ('t1',), ('t0', 't1'), ('none',)]),
)
STEPS = st.one_of(
    CALLS,
    st.tuples(st.just('cancel'), st.integers(0, 9)),
    st.tuples(st.just('end'), st.sampled_from(['t0', 't1']), st.booleans()),
    st.tuples(st.just('pass'), st.floats(0.0, 0.3)),
)


@settings(deadline=None, max_examples=150)
@given(st.lists(STEPS, max_size=40))
def test_no_wakeup_is_lost(steps: list[tuple]) -> None:
    """No slot stays free for over 50 ms while a request may use it.

    Slots that come free without a notice stand for what only time changes:
    back-offs that end, loads that are believed for some time only. In the end
    all counts are back at zero, whichever callers have left.
    """

    async def run() -> None:
        pool = Pool()
        watch = Watch(pool)
        tasks: list[asyncio.Task[None]] = []
        for number, (kind, *values) in enumerate(steps):
            if kind == 'call':
                call = Call(str(number), *values)
                tasks.append(asyncio.create_task(pool.call(call)))
            elif kind == 'cancel' and tasks:
                tasks[values[0] % len(tasks)].cancel()
            elif kind == 'end':
                pool.free[values[0]] += 1
                if values[1]:
                    pool.queue.notify()
            elif kind == 'pass':
                await asyncio.sleep(values[0])
            if kind != 'cancel':  # which may hit a task that was just woken
                await settle()
            watch.check()
        for _step in range(120):
            await asyncio.sleep(PASS_INTERVAL_S)
            watch.check()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not pool.queue
        assert not pool.waiting
        assert not sum(pool.counts.values())
        assert pool.queue._timer is None
        assert len(pool.sent) == len(set(pool.sent))

    run_virtual(run())


async def fill(pool: Pool, calls: list[Call]) -> list[asyncio.Task[None]]:
    """Let requests wait that arrive one after the other."""
    tasks = []
    for call in calls:
        tasks.append(asyncio.create_task(pool.call(call)))
        await settle()
    return tasks


async def leave_all(tasks: list[asyncio.Task[None]]) -> None:
    """Let all callers leave."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_one_free_slot_wakes_one_request() -> None:
    """A reply of the sync or an end wakes no task that can't be sent."""

    async def run() -> None:
        pool = Pool(0)
        tasks = await fill(pool, [Call(str(number)) for number in range(20)])
        for _reply in range(10):
            pool.queue.notify()
            await settle()
        assert not pool.wakes
        pool.free['t1'] += 2
        pool.queue.notify()
        await settle()
        assert pool.wakes == 2
        assert pool.sent == ['0', '1']
        await leave_all(tasks)

    run_virtual(run())


def test_one_timer_for_all() -> None:
    """Twenty requests that wait cause twenty passes a second, not 400."""

    async def run() -> None:
        pool = Pool(0)
        tasks = await fill(pool, [Call(str(number)) for number in range(20)])
        pool.looks = 0
        await asyncio.sleep(1.0)
        assert pool.looks <= 21 * 20
        await leave_all(tasks)
        assert pool.queue._timer is None

    run_virtual(run())


def test_new_request_does_not_overtake() -> None:
    """A slot that comes free unnoticed goes to the one that waits."""

    async def run() -> None:
        pool = Pool(0)
        tasks = await fill(pool, [Call('old'), Call('elsewhere', targets=())])
        pool.free['t0'] += 1
        tasks += await fill(pool, [Call('new')])
        assert pool.sent == ['old']
        # One that waits for what no free slot helps doesn't hold up others.
        pool.free['t0'] += 1
        pool.queue.notify()
        await settle()
        assert pool.sent == ['old', 'new']
        await leave_all(tasks)

    run_virtual(run())


def test_resumed_streams_go_first() -> None:
    """A caller that holds a part of the answer is before all others."""

    async def run() -> None:
        pool = Pool(0)
        calls = [Call('a'), Call('b', 'b'), Call('resumed', priority=-1)]
        tasks = await fill(pool, calls)
        pool.free['t0'] += 1
        pool.queue.notify()
        await settle()
        assert pool.sent == ['resumed']
        await leave_all(tasks)

    run_virtual(run())


def test_slot_of_a_caller_that_leaves_as_it_is_woken() -> None:
    """The next one gets it: a wake-up is not lost with its request."""

    async def run() -> None:
        pool = Pool(0)
        tasks = await fill(pool, [Call('leaves'), Call('next')])
        pool.free['t0'] += 1
        pool.queue._run_pass()
        tasks[0].cancel()
        await settle()
        assert pool.sent == ['next']
        assert not pool.queue

    run_virtual(run())


def test_requests_end_at_their_time() -> None:
    """A request that no slot serves is given up when its wait is over."""

    async def run() -> None:
        pool = Pool(0)
        began_at = now_s()
        await pool.call(Call('late', max_wait_s=0.33))
        assert pool.ended == ['late']
        assert now_s() - began_at == pytest.approx(0.33, abs=0.01)

    run_virtual(run())


def test_error_of_one_request_is_its_own() -> None:
    """A pass goes on after an error, which its own request gets."""

    async def run() -> None:
        pool = Pool(0)
        tasks = await fill(pool, [Call('other')])
        request = WaitingRequest('a', 1.0, -1, 0.0, 0.0, 0.0, 1.0)

        def fail(now: float) -> CheckResult:
            raise ValueError(now)

        ticket = pool.queue.join(request, fail)
        pool.free['t0'] += 1
        with pytest.raises(ValueError, match='1000'):
            await ticket.wait()
        pool.queue.leave(ticket)
        await settle()
        assert pool.sent == ['other']
        await leave_all(tasks)

    run_virtual(run())


def test_long_prompt_gets_its_room() -> None:
    """A request that needs more room than others gets it once it is overdue.

    Others take each bit of room as it comes free until then.
    """

    async def run() -> None:
        pool = Pool(0)
        began_at = now_s()
        ticket = pool.queue.join(
            WaitingRequest(
                'long', 1.0, 0, began_at, began_at + 9, began_at + 1, 9.0
            ),
            lambda now: CheckResult(
                Readiness.CAN_SEND if pool.free['t0'] > 1 else Readiness.WAITS,
                target='t0',
                holders=frozenset(('t0',)),
            ),
        )
        calls = [Call(str(number), targets=('t0',)) for number in range(40)]
        tasks = await fill(pool, calls)
        while not ticket.is_woken and now_s() < began_at + 1:
            pool.free['t0'] += 1
            pool.queue.notify()
            await asyncio.sleep(0.05)
        assert ticket.is_woken
        assert len(pool.sent) > 10
        pool.queue.leave(ticket)
        await leave_all(tasks)

    run_virtual(run())


def test_cancelled_before_it_ran() -> None:
    """A task that is cancelled at once leaves nothing behind."""

    async def run() -> None:
        pool = Pool(0)
        task = asyncio.create_task(pool.call(Call('x')))
        await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert not pool.queue
        assert not sum(pool.counts.values())

    run_virtual(run())
