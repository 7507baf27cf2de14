"""Tests of streams that break off and are resumed at a target in trouble."""

import asyncio
import contextlib

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_node.http import (
    AlreadyStartedError,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)

from tests.test_calls import HOST, Script, ScriptedTarget, response_of
from tests.test_unframed import EVENT, HALF, UNFRAMED, raw

CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
ERRORS = [
    b'HTTP/1.1 500 E\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\noops',
    b'HTTP/1.1 404 N\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\noops',
    b'HTTP/1.1 302 F\r\nX-Server-Stamp: s\r\nLocation: /\r\n'
    b'Content-Length: 0\r\n\r\n',
]


def resumed_body(first: Script, then: Script) -> bytes:
    """Return what a caller gets after the head of a stream of two targets."""
    scripts = iter([first, then])

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await next(scripts)(reader, writer)

    targets = [ScriptedTarget(play), ScriptedTarget(play)]
    response = asyncio.run(
        response_of(CallKind.STREAM, targets, resumable=True)
    )
    assert sum(target.requests for target in targets) == 2
    return response.partition(b'\r\n\r\n')[2]


@pytest.mark.parametrize('error', ERRORS, ids=['500', '404', '302'])
@pytest.mark.parametrize(
    'first', [UNFRAMED + EVENT + HALF, UNFRAMED + EVENT], ids=['ended', 'reset']
)
def test_error_of_next_target_is_not_in_the_stream(
    first: bytes, error: bytes
) -> None:
    """The caller gets the first event only, and a stream visibly cut."""
    script = raw(first, resets=first.endswith(EVENT))
    assert resumed_body(script, raw(error)) == CHUNK


def test_responder_writes_one_head_only() -> None:
    """A second head is refused, and the response is visibly cut."""
    errors: list[Exception] = []

    async def handle(req: HttpRequest, responder: Responder) -> None:
        responder.start(200, (), None)
        await responder.write(EVENT)
        try:
            await responder.send(500, (), b'oops')
        except AlreadyStartedError as exc:
            errors.append(exc)

    async def play() -> bytes:
        server = HttpServer(handle, ServerLimits(), lambda: None)
        await server.listen(HOST, 0)
        assert server._listener
        port = server._listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        received = bytearray()
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(65_536):
                received += chunk
        writer.close()
        return bytes(received)

    received = asyncio.run(play())
    assert errors
    assert b'oops' not in received
    assert not received.endswith(b'0\r\n\r\n')
