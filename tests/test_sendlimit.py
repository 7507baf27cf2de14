"""Tests of an entry VM with a target that names a request limit."""

import asyncio
from typing import Final

from lovagemast_core.deployment import CallKind
from lovagemast_core.targets import LimitReport
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState

from tests.test_calls import Script, ScriptedTarget, response_of
from tests.test_promptcheck import EntryVm
from tests.test_unframed import EVENT, HALF, raw, whole_body

UNFRAMED_WITH_LIMIT: Final = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nServer-Limit: 2.5\r\n\r\n'
)

LIMIT_PER_S: Final = 2.0
WINDOW_S: Final = 4.0
SETTLE_S: Final = 0.5  # after the first answer with a limit
REQUEST_INTERVAL_S: Final = 0.05
ALLOWED: Final = 1.5 * LIMIT_PER_S * WINDOW_S + 5


def answer_with_limit(limit: str) -> Script:
    """Return a script that answers a stream and names a limit."""

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
            b'Server-Limit: ' + limit.encode() + b'\r\n\r\n'
            b'id: 1\ndata: x\n\n'
        )

    return play


def test_target_gets_no_more_than_the_limit_it_names() -> None:
    """An entry VM without a relay keeps to the limit by itself."""
    target = ScriptedTarget(answer_with_limit(f'{LIMIT_PER_S}'))

    async def play() -> int:
        vm = EntryVm()
        await vm.serve(target)
        await vm.request('p:1,own:1')
        await asyncio.sleep(SETTLE_S)
        before = target.requests
        async with asyncio.TaskGroup() as group:
            for _request in range(round(WINDOW_S / REQUEST_INTERVAL_S)):
                group.create_task(vm.request('p:1,own:1'))
                await asyncio.sleep(REQUEST_INTERVAL_S)
        return target.requests - before

    assert 0 < asyncio.run(play()) <= ALLOWED


def test_stream_that_broke_off_waits_for_a_token() -> None:
    """A stream goes on at a limited target once that takes a request."""
    events = (EVENT, b'id: 2\ndata: y\n\n')
    plays = iter(
        [
            raw(UNFRAMED_WITH_LIMIT + events[0] + HALF),
            raw(UNFRAMED_WITH_LIMIT + events[1]),
        ]
    )

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await next(plays)(reader, writer)

    def prepare(state: EntryState) -> None:
        report = LimitReport('t0', 1, 2.5, 0.0)
        state.sends.exchange.known.merge([report], now_s())

    target = ScriptedTarget(play)
    response = asyncio.run(
        response_of(
            CallKind.STREAM,
            [target],
            resumable=True,
            age_s=1.5,
            prepare=prepare,
        )
    )
    assert target.requests == 2
    assert whole_body(response) == events[0] + events[1]
