"""Tests of requests that wait in order, with targets behind real sockets."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from lovagemast_core.deployment import (
    CallKind,
    Deployment,
    DeploymentIndex,
)
from lovagemast_core.entry import DrainWindow
from lovagemast_core.quarantine import QuarantineState, SubjectRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import TargetResponseMetadata
from lovagemast_node.fleet._admitted import AdmittedRequest, subjects_of
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._poolqueues import MAX_WORK, OUTPUT_TOKEN_WORK
from lovagemast_node.http import (
    HttpRequest,
    ResponseHead,
)
from lovagemast_platform._entry import PlatformEntryCodec

from tests.orderedvm import (
    POOL,
    SLOTS,
    OrderedVm,
    make_small_index,
    play,
)
from tests.test_calls import (
    CFG,
    FAILED,
    FORGED,
    FULL,
    GOOD,
    ScriptedTarget,
    break_off,
    response_of,
    status_of,
)


def test_accounts_take_turns() -> None:
    """An account that has sent much waits behind one that has not.

    Requests that arrive while others wait go behind those of their account.
    """

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        await vm.target.finish(SLOTS)
        calls += await vm.fill()
        names = ['a', 'b', 'c']
        calls += [await vm.begin(name) for name in names]
        calls.append(await vm.begin('modest', 'k2'))
        assert len(vm.queue) == 4
        await vm.target.finish(6)
        answers = await asyncio.gather(*calls)
        assert [one.status for one in answers] == [200] * 8
        assert vm.target.paths[2 * SLOTS :] == ['modest', *names]

    play(scenario)


def test_slot_goes_to_the_queue_at_once() -> None:
    """A request that ends at the target lets the next one be sent.

    Without a notice the slot would stay free until the next look, 25 ms later
    on average.
    """

    async def scenario(vm: OrderedVm) -> None:
        calls = [*await vm.fill(), await vm.begin('next')]
        vm.queue._stop_timer()
        await vm.target.finish(3)
        assert vm.target.paths[-1] == 'next'
        await asyncio.gather(*calls)

    play(scenario)


def test_callers_that_leave() -> None:
    """They leave the queue, and their turn passes to the next."""

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        leaving = [await vm.begin(f'leaves{number}') for number in range(3)]
        calls.append(await vm.begin('stays'))
        for call in leaving:
            call.cancel()
        await asyncio.sleep(0.05)
        assert len(vm.queue) == 1
        await vm.target.finish(3)
        answers = await asyncio.gather(*calls)
        assert [one.status for one in answers] == [200] * 3
        assert vm.target.paths == ['first0', 'first1', 'stays']

    play(scenario)


def test_wait_ends_in_time() -> None:
    """A request that gets no slot is refused when its wait is over."""

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        began_at = now_s()
        answer = await vm.call('late')
        assert answer.status == 503
        assert answer.reason == 'no target is free'
        assert now_s() - began_at == pytest.approx(1.2, abs=0.15)
        await vm.target.finish(SLOTS)
        await asyncio.gather(*calls)

    play(scenario)


def test_early_refusal() -> None:
    """Behind too many others a request is refused at once.

    It is told when to return, and counted; the first ones may always wait.
    """

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        calls += [await vm.begin(f'w{number}') for number in range(4)]
        await asyncio.sleep(0.6)  # in which no slot comes free
        began_at = now_s()
        answer = await vm.call('late')
        assert now_s() - began_at < 0.1
        assert answer.status == 503
        assert answer.reason.startswith('too many requests wait')
        assert 2.0 < answer.retry_after_s <= 4.0
        labels = {'pool': POOL, 'priority': '0'}
        count = vm.state.metrics.registry.get_sample_value(
            'lovagemast_early_refusals_total', labels
        )
        assert count == 1
        await vm.target.finish(SLOTS)
        await asyncio.sleep(0.3)
        await vm.target.finish(len(vm.target.paths) - SLOTS)
        await asyncio.gather(*calls)

    play(scenario)


def test_quarantined_while_it_waits() -> None:
    """A prompt part that is quarantined meanwhile is not sent."""

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        waiting = await vm.begin('q', headers=b'X-Prompt-Prefix: d:1,e:2\r\n')
        crashes = ('t1#1', 't2#1', 't3#1')
        state = QuarantineState(1, (SubjectRecord('d', crashes, ('t3#1',)),))
        vm.state.view.quarantine = state
        vm.state.guard.update(state, now_s())
        vm.state.notify_update()
        answer = await waiting
        assert answer.reason.startswith('prompt-part-quarantined')
        await vm.target.finish(SLOTS)
        await asyncio.gather(*calls)
        assert 'q' not in vm.target.paths

    play(scenario)


def test_drain() -> None:
    """At the end of the grace the requests that wait are refused."""

    async def scenario(vm: OrderedVm) -> None:
        calls = [*await vm.fill(), await vm.begin('waits')]
        vm.state.start_drain(DrainWindow(now_s(), 0.1))
        answers = await asyncio.gather(*calls)
        assert [one.status for one in answers] == [504, 504, 503]
        assert answers[-1].reason == 'the entry VM shuts down'

    play(scenario)


def test_pool_lost_while_it_waits() -> None:
    """Requests that wait for a pool don't wait for paths that are gone."""

    async def scenario(vm: OrderedVm) -> None:
        calls = [*await vm.fill(), await vm.begin('waits')]
        vm.state.paths.record_probes(POOL, [], 1, now_s())
        vm.state.notify_update()
        answer = await calls[-1]
        assert answer.reason.startswith('targets-out-of-reach')
        await vm.target.finish(SLOTS)
        await asyncio.gather(*calls)

    play(scenario)


def test_pause_that_ends() -> None:
    """When the pause of the only target ends, those that wait are sent."""

    async def scenario(vm: OrderedVm) -> None:
        calls = await vm.fill()
        vm.state.health.record_pause('t0', 0.2, now_s())
        calls.append(await vm.begin('waits'))
        await vm.target.finish(SLOTS)
        assert 'waits' not in vm.target.paths
        await asyncio.sleep(0.2)
        assert vm.target.paths[-1] == 'waits'
        await vm.target.finish()
        await asyncio.gather(*calls)

    play(scenario)


def test_return_as_told() -> None:
    """A refused caller that returns in time is known by its request.

    Its objective counts from its first arrival, and it is ahead only once.
    """
    state = EntryState(CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None)
    state.queues.serve_in_order(POOL)
    queue = state.queues.queue_of(POOL)
    assert queue is not None
    first = make_admitted(now_s())
    retry_after_s = state.queues.refuse_early(first, 0.1, now_s())
    assert 0.075 <= retry_after_s <= 0.125
    assert not state.queues.rank(make_admitted(now_s()), queue).returns
    time.sleep(retry_after_s)
    other = make_admitted(now_s(), path='/x/other')
    assert not state.queues.rank(other, queue).returns
    again = state.queues.rank(make_admitted(now_s()), queue)
    assert again.returns
    assert again.in_time_until == pytest.approx(first.arrived_at + 0.8)
    assert not state.queues.rank(make_admitted(now_s()), queue).returns


@pytest.mark.parametrize(
    ('tokens', 'prompt', 'work'),
    [
        (None, 0.0, 1.0),  # the mean, before anything was sent
        (628.0, 628.0, 628.0),
        (664.0, 628.0, 628.0 + 36 * OUTPUT_TOKEN_WORK),
        (1e300, 1e300, MAX_WORK),
    ],
)
def test_work(tokens: float | None, prompt: float, work: float) -> None:
    """Work follows the tokens that a caller states, within a bound."""
    state = EntryState(CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None)
    state.queues.serve_in_order(POOL)
    queue = state.queues.queue_of(POOL)
    assert queue is not None
    admitted = make_admitted(now_s())
    metadata = admitted.metadata._replace(tokens=tokens, prompt_tokens=prompt)
    admitted = admitted._replace(metadata=metadata)
    assert state.queues.rank(admitted, queue).work == pytest.approx(work)


def make_admitted(arrived_at: float, path: str = '/x/a') -> AdmittedRequest:
    """Return a request of an account that has just been admitted."""
    req = HttpRequest('GET', path, ((b'Host', b'h'),), b'')
    metadata = PlatformEntryCodec().decode_request(((b'X-Request-Id', b'r'),))
    assert metadata is not None
    index = make_small_index()
    account = index.accounts['acme']
    return AdmittedRequest(
        req,
        metadata,
        index.deployment.routes[0],
        index.pools[POOL],
        account,
        arrived_at,
        arrived_at + 4.0,
        subjects=subjects_of(req, 'h', account, metadata),
    )


@pytest.mark.parametrize('kind', list(CallKind))
@pytest.mark.parametrize(
    'scripts', [(GOOD,), (FULL, GOOD), (FAILED, GOOD), (FORGED,), (break_off,)]
)
def test_same_where_nothing_waits(kind: CallKind, scripts: tuple) -> None:
    """Calls that don't wait get the same answers in both kinds of pools."""

    async def run() -> list[int]:
        return [
            await status_of(
                kind,
                [ScriptedTarget(script) for script in scripts],
                prepare=prepare,
            )
            for prepare in (
                lambda _state: None,
                lambda state: state.queues.serve_in_order(POOL),
            )
        ]

    polling, ordered = asyncio.run(run())
    assert polling == ordered


def test_without_a_pace_requests_poll() -> None:
    """Fleets whose targets report three figures are served as before."""
    states = []

    async def run() -> None:
        head = b'200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: r\r\n'
        target = ScriptedTarget(answer_of(head + b'X-Server-Load: 1,0,8'))
        await response_of(CallKind.SAFE, [target], prepare=states.append)

    asyncio.run(run())
    assert states[0].queues.queue_of(POOL) is None


def answer_of(head: bytes) -> Callable[..., Awaitable[None]]:
    """Return a script that responds with a head and no body."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 ' + head + b'\r\nContent-Length: 0\r\n\r\n')

    return script


def response_with(load: bytes | None) -> TargetResponseMetadata:
    """Return what a response says that has a load header, if one is given."""
    headers = ((b'X-Server-Load', load),) if load else ()
    head = ResponseHead(200, headers, None, echoes_id=True)
    return PlatformEntryCodec().decode_response_head(head)


def test_pace_begins_the_order() -> None:
    """The first response that states a pace gives its pool a queue."""
    state = EntryState(CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None)
    for load in (None, b'1,0,8', b'1,0,8,', b'1,0,8,x', b'1,0,8,130,1'):
        state.queues.record_response(POOL, response_with(load))
        assert state.queues.queue_of(POOL) is None
    paced = response_with(b'1,0,8,130')
    state.queues.record_response(POOL, paced)
    queue = state.queues.queue_of(POOL)
    assert queue is not None
    state.queues.record_response(POOL, paced)
    assert state.queues.queue_of(POOL) is queue
    # A pool that the configuration drops is forgotten.
    state.queues.set_index(DeploymentIndex(Deployment()))
    assert state.queues.queue_of(POOL) is None
