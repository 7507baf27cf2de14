"""Tests of answers that end with their connection, and of cut streams."""

import asyncio
import socket
import struct

import pytest
from lovagemast_core.deployment import CallKind

from tests.test_calls import Script, ScriptedTarget, response_of

HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
UNFRAMED = HEAD + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
SIZED = HEAD + b'Content-Length: 22\r\n\r\n'
EVENT = b'id: 1\ndata: x\n\n'
HALF = b'id: 2\nd'


def raw(content: bytes, *, resets: bool = False) -> Script:
    """Return a script that sends bytes and ends or resets its connection."""

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(content)
        await writer.drain()
        if resets:
            await asyncio.sleep(0.02)  # for the bytes to be read first
            sock = writer.get_extra_info('socket')
            no_linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            writer.transport.abort()

    return play


def whole_body(response: bytes) -> bytes | None:
    """Return the body of a successful answer, ``None`` if it is not whole."""
    head, _, body = response.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 200'):
        return None
    if b'transfer-encoding: chunked' not in head.lower():
        return body
    whole = b''
    while body:
        size, _, body = body.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return whole
        whole += body[:length]
        body = body[length + 2 :]
    return None


@pytest.mark.parametrize(
    ('kind', 'content', 'resets', 'body'),
    [
        (CallKind.SAFE, UNFRAMED + b'whole', False, b'whole'),
        (CallKind.SAFE, UNFRAMED + b'cut', True, None),
        (CallKind.STREAM, UNFRAMED + EVENT, False, EVENT),
        (CallKind.STREAM, UNFRAMED + EVENT, True, None),
        (CallKind.STREAM, UNFRAMED + EVENT + b'\n', False, EVENT + b'\n'),
        (CallKind.STREAM, UNFRAMED + EVENT + HALF, False, None),
        (CallKind.STREAM, UNFRAMED + HALF, False, None),
        (CallKind.STREAM, SIZED + EVENT + HALF, False, None),
        (CallKind.STREAM, CHUNKED + b'7\r\nid: 2\nd\r\n0\r\n\r\n', False, None),
    ],
)
def test_end_of_an_answer(
    kind: CallKind, content: bytes, resets: bool, body: bytes | None
) -> None:
    """A cut answer, or a stream that ends inside an event, is not whole.

    The caller then gets no whole answer either: ``body`` is ``None``.
    """
    target = ScriptedTarget(raw(content, resets=resets))
    response = asyncio.run(response_of(kind, [target]))
    assert whole_body(response) == body


def test_stream_is_resumed_after_half_an_event() -> None:
    """A stream that may be resumed goes on after its last whole event."""
    rest = b'id: 2\ndata: y\n\n'
    sends = iter([UNFRAMED + EVENT + HALF, UNFRAMED + rest])

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(next(sends))

    targets = [ScriptedTarget(play), ScriptedTarget(play)]
    response = asyncio.run(
        response_of(CallKind.STREAM, targets, resumable=True)
    )
    assert whole_body(response) == EVENT + rest
