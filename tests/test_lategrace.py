"""Requests that an entry VM gets, or still runs, while it shuts down."""

import asyncio

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import DrainWindow
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState

from tests.test_calls import GOOD, ScriptedTarget, response_of

GRACE_S = 7.2
HANG_S = 10.0


async def hang(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer nothing for longer than the grace."""
    await asyncio.sleep(HANG_S)


def response_while_draining(
    kind: CallKind, target: ScriptedTarget, started_s_ago: float, left_s: float
) -> bytes:
    """Return the response to a request that may take two seconds."""

    def prepare(state: EntryState) -> None:
        now = now_s()
        state.start_drain(DrainWindow(now - started_s_ago, now + left_s))

    return asyncio.run(response_of(kind, [target], prepare=prepare))


@pytest.mark.parametrize(
    ('started_s_ago', 'deadline_in_s', 'is_taken'),
    [
        (0.0, 20.0, True),
        (2.4, 20.0, True),
        (2.6, 20.0, False),
        (2.6, 1.0, True),
        (7.0, 1.0, False),
    ],
)
def test_late_request_is_taken_if_it_can_finish(
    started_s_ago: float, deadline_in_s: float, is_taken: bool
) -> None:
    """Early ones are taken: few last as long as they may."""
    now = 100.0
    window = DrainWindow(now - started_s_ago, now - started_s_ago + GRACE_S)
    assert window.accepts(now + deadline_in_s, now) is is_taken


@pytest.mark.parametrize('kind', CallKind)
def test_late_request_is_not_passed_on(kind: CallKind) -> None:
    """It was passed on, and cut without an answer at the end of the grace."""
    target = ScriptedTarget(GOOD)
    response = response_while_draining(kind, target, 5.0, 1.0)
    assert response.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in response
    assert target.requests == 0


@pytest.mark.parametrize('kind', CallKind)
def test_request_is_answered_before_the_process_ends(kind: CallKind) -> None:
    """What a target has not answered by then may have run, and is told so."""
    target = ScriptedTarget(hang)
    began_at = now_s()
    response = response_while_draining(kind, target, 0.0, 0.4)
    assert response.startswith(b'HTTP/1.1 504')
    assert now_s() - began_at < 1.0


def test_running_request_is_answered_too() -> None:
    """The signal comes while the request waits for its target."""

    def prepare(state: EntryState) -> None:
        now = now_s()
        window = DrainWindow(now + 0.2, now + 0.4)
        asyncio.get_running_loop().call_later(0.2, state.start_drain, window)

    target = ScriptedTarget(hang)
    began_at = now_s()
    response = asyncio.run(
        response_of(CallKind.UNSAFE, [target], prepare=prepare)
    )
    assert response.startswith(b'HTTP/1.1 504')
    assert now_s() - began_at < 1.0
