"""Tests that an entry VM counts each request that has run, once."""

import asyncio
from collections import Counter

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_core.duties import UsageCounter, UsageWindows
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState

from tests.test_calls import (
    FAILED,
    FORGED,
    FULL,
    GOOD,
    Script,
    ScriptedTarget,
    answer,
    break_off,
    response_of,
)
from tests.test_forwarding import BODY, KINDS, answers, start
from tests.test_forwarding import EVENTS as FORWARDED_EVENTS
from tests.test_forwarding import STREAM_HEAD as FORWARDED_HEAD
from tests.test_resumedstream import EVENT, HALF, UNFRAMED, raw

UTC_S = 1_767_225_602.0
REDIRECTED = answer(b'302 F\r\nX-Server-Stamp: s\r\nLocation: /')
NOT_FOUND = answer(b'404 No\r\nX-Server-Stamp: s')
STREAM = raw(UNFRAMED + EVENT)
HEAD_ONLY = raw(UNFRAMED + HALF)


def make_counter() -> UsageCounter:
    """Return a counter that knows the time."""
    counter = UsageCounter('e1', 1, UsageWindows())
    now = now_s()
    counter.exchange.clock._offset = UTC_S - now
    return counter


def counts_of(counter: UsageCounter) -> dict[str, int]:
    """Return the counts by account, over all windows."""
    counter.reports(1, now_s())
    counts: Counter[str] = Counter()
    for usage in counter.exchange.ledger.changed_since(0):
        for _window, accounts, numbers in usage.windows:
            counts.update(dict(zip(accounts, numbers, strict=True)))
    return counts


@pytest.mark.parametrize(
    ('kind', 'scripts', 'count'),
    [
        (CallKind.SAFE, [GOOD], 1),
        (CallKind.UNSAFE, [GOOD], 1),
        (CallKind.SAFE, [REDIRECTED], 1),
        (CallKind.SAFE, [FULL], 0),
        (CallKind.SAFE, [FULL, GOOD], 1),
        (CallKind.SAFE, [NOT_FOUND], 0),
        (CallKind.SAFE, [FAILED], 1),
        (CallKind.SAFE, [FAILED, GOOD], 1),
        (CallKind.STREAM, [FAILED], 0),
        (CallKind.SAFE, [FORGED], 0),
        (CallKind.SAFE, [break_off], 0),
        (CallKind.SAFE, [break_off, GOOD], 1),
        (CallKind.STREAM, [STREAM], 1),
        (CallKind.STREAM, [HEAD_ONLY], 0),
        (CallKind.STREAM, [FULL], 0),
    ],
)
def test_requests_that_ran(
    kind: CallKind, scripts: list[Script], count: int
) -> None:
    """Refused and unanswered requests do not count.

    A target's own 500 tells that it ran the request; a stream that fails with
    one has not begun.
    """
    counter = make_counter()

    def prepare(state: EntryState) -> None:
        state._usage = counter

    targets = [ScriptedTarget(script) for script in scripts]
    asyncio.run(response_of(kind, targets, prepare=prepare))
    assert counts_of(counter) == ({'acme': count} if count else {})


def test_resumed_stream_counts_once() -> None:
    """A stream that goes on at another target is one request."""
    counter = make_counter()

    def prepare(state: EntryState) -> None:
        state._usage = counter

    scripts = iter([raw(UNFRAMED + EVENT + HALF), STREAM])

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await next(scripts)(reader, writer)

    targets = [ScriptedTarget(play), ScriptedTarget(play)]
    asyncio.run(
        response_of(CallKind.STREAM, targets, resumable=True, prepare=prepare)
    )
    assert sum(target.requests for target in targets) == 2
    assert counts_of(counter) == {'acme': 1}


@pytest.mark.parametrize('kind', KINDS)
def test_request_over_a_peer_counts_once(kind: CallKind) -> None:
    """The peer that reaches the target counts it, the first VM does not."""
    data = BODY
    if kind is CallKind.STREAM:
        data = FORWARDED_HEAD + b'f\r\n%b\r\n0\r\n\r\n' % FORWARDED_EVENTS[0]
    origin, peer = make_counter(), make_counter()

    async def play() -> int:
        async with start(kind, answers(data)) as one:
            one.origin.state._usage = origin
            one.peers[0].state._usage = peer
            return await one.status()

    assert asyncio.run(play()) == 200
    assert not counts_of(origin)
    assert counts_of(peer) == {'acme': 1}


def test_no_configuration() -> None:
    """Without duties nothing is counted."""
    states: list[EntryState] = []
    asyncio.run(
        response_of(
            CallKind.SAFE, [ScriptedTarget(GOOD)], prepare=states.append
        )
    )
    assert states[0].usage is None
