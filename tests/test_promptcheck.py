"""Tests of prompt parts at an entry VM, with targets behind real sockets."""

import asyncio
import time
from typing import NamedTuple

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.deployment import CallKind
from lovagemast_core.quarantine import (
    QuarantineState,
    StartTrial,
    SubjectRecord,
    TargetCrash,
)
from lovagemast_core.quarantine._state import start_trial
from lovagemast_core.targets import SyncReply, TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._requesthandler import RequestHandler
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)
from lovagemast_platform._entry import PlatformEntryCodec

from tests.crashingtarget import FIRST_EVENT, HTTP_ERROR, CrashingTarget
from tests.test_calls import CFG, HOST, ScriptedTarget, make_index


class Answer(NamedTuple):
    """What a caller gets."""

    status: int
    reason: str
    took_s: float


class EntryVm:
    """An entry VM that serves one caller at a time."""

    def __init__(self) -> None:
        self.state = EntryState(
            CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None
        )
        self._port = 0

    async def serve(self, *targets: CrashingTarget | ScriptedTarget) -> None:
        """Listen, with some targets in the view."""
        records = [
            TargetRecord(
                f't{number}',
                'p',
                f'{HOST}:{await target.serve()}',
                'z1',
                7,
                8,
                leaving=False,
                cold_s=0.0,
            )
            for number, target in enumerate(targets)
        ]
        reply = SyncReply(1, True, 'c', 1, 0.0, PublishedState(1, 3))
        reply = reply._replace(targets=tuple(records))
        self.state.view.apply(reply, now_s(), now_s())
        self.state.view.index = make_index(CallKind.STREAM)
        server = HttpServer(self._handle, ServerLimits(), lambda: None)
        await server.listen(HOST, 0)
        assert server._listener
        self._port = server._listener.sockets[0].getsockname()[1]

    async def request(self, prefix: str) -> Answer:
        """Send a request with a prompt's parts."""
        started_at = time.monotonic()
        head = await self._head_of_answer(_encode(prefix))
        reason = head.partition('X-Refusal-Reason: ')[2].partition('\r\n')[0]
        took_s = time.monotonic() - started_at
        return Answer(int(head.split()[1]), reason, took_s)

    async def request_to_end(self, prefix: str) -> bytes:
        """Send a request with a prompt's parts, and read until the close."""
        reader, writer = await asyncio.open_connection(HOST, self._port)
        writer.write(_encode(prefix))
        answer = await reader.read()
        writer.close()
        return answer

    async def send(self, data: bytes) -> int:
        """Send a request as bytes and return the status of its answer."""
        return int((await self._head_of_answer(data)).split()[1])

    def quarantine(self, state: QuarantineState) -> None:
        """Apply a state as if the leader had sent it."""
        self.state.view.quarantine = state
        self.state.guard.update(state, now_s())
        self.state.notify_update()

    def implicated(self) -> tuple[TargetCrash, ...]:
        """Return the crashes that are to be reported."""
        return self.state.guard.reports.crashes(1)

    async def _head_of_answer(self, data: bytes) -> str:
        reader, writer = await asyncio.open_connection(HOST, self._port)
        writer.write(data)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        return head.decode()

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        await RequestHandler(self.state, req, responder).run()


def _encode(prefix: str) -> bytes:
    """Return a request with a prompt's parts."""
    return (
        b'GET /x/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n'
        b'X-Deadline-Ms: 2000\r\nAuthorization: Bearer k1\r\n'
        b'X-Prompt-Prefix: %b\r\n\r\n' % prefix.encode()
    )


SUSPECTED = QuarantineState(1, (SubjectRecord('d', ('t1#1',)),))
QUARANTINED = QuarantineState(
    2, (SubjectRecord('d', ('t1#1', 't2#1', 't3#1'), ('t3#1',)),)
)


@pytest.mark.parametrize('proxied', [False, True])
def test_crash_implicates_unanswered_parts(*, proxied: bool) -> None:
    """A crash is reported with the parts that had no answer before.

    A proxy before the target takes connections all the same.
    """

    async def play() -> tuple[TargetCrash, ...]:
        vm = EntryVm()
        await vm.serve(CrashingTarget(proxied=proxied))
        assert (await vm.request('sys:9,own1:1')).status == 200
        assert (await vm.request('SYS:9,D:1,own2:1')).status == 502
        return vm.implicated()

    assert asyncio.run(play()) == (TargetCrash('t0', 7, ('d',)),)


def test_crash_after_the_first_event_implicates() -> None:
    """A target may send the first event of an answer and crash on it."""

    async def play() -> tuple[TargetCrash, ...]:
        vm = EntryVm()
        await vm.serve(CrashingTarget(before_crash=FIRST_EVENT))
        assert (await vm.request('sys:9,own1:1')).status == 200
        await vm.request_to_end('sys:9,d:1,own2:1')
        return vm.implicated()

    assert asyncio.run(play()) == (TargetCrash('t0', 7, ('d',)),)


def test_reset_connection_implicates_nothing() -> None:
    """A target that still takes connections has not crashed."""

    async def play() -> tuple[TargetCrash, ...]:
        vm = EntryVm()
        await vm.serve(CrashingTarget(resets=True))
        assert (await vm.request('sys:9,d:1,own:1')).status == 502
        return vm.implicated()

    assert not asyncio.run(play())


@pytest.mark.parametrize(
    ('state', 'code', 'most_s'),
    [
        (QUARANTINED, 'prompt-part-quarantined: part d, 3 crashes', 0.2),
        (SUSPECTED, 'prompt-part-suspected: part d, 1 crashes', 0.8),
    ],
)
def test_deadly_request_reaches_no_target(
    state: QuarantineState, code: str, most_s: float
) -> None:
    """It is refused with a code, at once if its part is quarantined."""
    target = CrashingTarget()

    async def play() -> Answer:
        vm = EntryVm()
        await vm.serve(target)
        vm.quarantine(state)
        assert (await vm.request('sys:9,own:1')).status == 200
        return await vm.request('sys:9,d:1,own:1')

    answer = asyncio.run(play())
    assert answer.status == 503
    assert answer.reason.startswith(code)
    assert answer.took_s < most_s
    assert target.requests == 1


def test_quarantined_request_waits_for_no_tokens() -> None:
    """It is refused before its account's quota is looked at."""

    async def play() -> Answer:
        vm = EntryVm()
        await vm.serve(CrashingTarget())
        index = make_index(CallKind.STREAM)
        account = index.accounts['acme']._replace(rate=1.0, burst=1.0)
        index.accounts['acme'] = account
        vm.state.view.index = index
        vm.quarantine(QUARANTINED)
        return await vm.request('sys:9,d:1,own:1')

    answer = asyncio.run(play())
    assert answer.status == 503
    assert answer.reason.startswith('prompt-part-quarantined')
    assert answer.took_s < 0.1


def test_waiting_request_is_refused_at_once() -> None:
    """A request that waits for a target is refused once it is quarantined."""

    async def play() -> Answer:
        vm = EntryVm()
        await vm.serve()
        task = asyncio.create_task(vm.request('sys:9,d:1,own:1'))
        await asyncio.sleep(0.1)
        vm.quarantine(QUARANTINED)
        return await task

    answer = asyncio.run(play())
    assert answer.reason.startswith('prompt-part-quarantined')
    assert answer.took_s < 0.2


def test_holder_of_a_trial_sends_one_request() -> None:
    """The VM that holds the trial sends one request and reports its crash."""
    target = CrashingTarget()
    state = start_trial(SUSPECTED, StartTrial('d', 'e1', 1))

    async def play() -> tuple[TargetCrash, ...]:
        vm = EntryVm()
        await vm.serve(target, CrashingTarget())
        vm.quarantine(state)
        requests = (vm.request(f'sys:9,d:1,own{one}:1') for one in range(3))
        answers = await asyncio.gather(*requests)
        assert sorted(answer.status for answer in answers) == [502, 503, 503]
        return vm.implicated()

    crashes = asyncio.run(play())
    assert [crash.trials for crash in crashes] == [('d',)]


def test_answered_trial_clears() -> None:
    """A trial that is answered is reported as an answer."""
    state = QuarantineState(1, (SubjectRecord('s', ('t1#1',)),))
    state = start_trial(state, StartTrial('s', 'e1', 1))

    async def play() -> tuple[str, ...]:
        vm = EntryVm()
        await vm.serve(CrashingTarget())
        vm.quarantine(state)
        assert (await vm.request('s:9,own:1')).status == 200
        return vm.state.guard.reports.answered(1)

    assert asyncio.run(play()) == ('s',)


@pytest.mark.parametrize('targets', [1, 2])
def test_error_of_a_target_clears_no_suspicion(targets: int) -> None:
    """A failing target may not have come to the part that crashes it."""
    trial = start_trial(SUSPECTED, StartTrial('d', 'e1', 1))
    failing = [CrashingTarget(answer=HTTP_ERROR) for _number in range(targets)]

    async def play() -> tuple[tuple[str, ...], tuple[TargetCrash, ...]]:
        vm = EntryVm()
        await vm.serve(*failing)
        vm.quarantine(trial)
        assert (await vm.request('d:1,own:1')).status >= 500
        answered = vm.state.guard.reports.answered(1)
        crash = TargetCrash('t9', 1, ('d',))
        vm.state.guard.record_crash(crash, now_s())
        return answered, vm.implicated()

    answered, crashes = asyncio.run(play())
    assert not answered
    assert [crash.subjects for crash in crashes] == [('d',)]
