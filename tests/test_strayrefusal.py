"""Tests of refusals that a target writes once more on a kept connection."""

import asyncio

import pytest
from lovagemast_core.deployment import CallKind

from tests.test_calls import Script, ScriptedTarget, response_of

NOT_RUN = b'503 Full\r\nX-Not-Executed: 1'
WRONG_TARGET = b'421 Wrong'
OTHER_ID = b'\r\nX-Request-Id: earlier'
ANSWER = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 0\r\n\r\n'


def stray_then_answer(head: bytes) -> Script:
    """Return a script that writes a stray refusal, runs and answers."""

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 ' + head + b'\r\nContent-Length: 0\r\n\r\n')
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(ANSWER)

    return play


@pytest.mark.parametrize('head', [NOT_RUN, WRONG_TARGET])
@pytest.mark.parametrize('kind', [CallKind.UNSAFE, CallKind.SAFE])
def test_refusal_without_id_denies_no_run(kind: CallKind, head: bytes) -> None:
    """The caller is not told "not run", and an unsafe request runs once."""
    targets = [ScriptedTarget(stray_then_answer(head)) for _target in range(2)]
    response = asyncio.run(response_of(kind, targets))
    assert int(response.split()[1]) == 502
    sends = sum(target.requests for target in targets)
    assert sends == (1 if kind is CallKind.UNSAFE else 2)


@pytest.mark.parametrize('head', [NOT_RUN, WRONG_TARGET])
def test_refusal_of_another_request_is_skipped(head: bytes) -> None:
    """The answer that follows a refusal with another id is passed on."""
    target = ScriptedTarget(stray_then_answer(head + OTHER_ID))
    response = asyncio.run(response_of(CallKind.UNSAFE, [target]))
    assert int(response.split()[1]) == 200
