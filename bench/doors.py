"""Measures what bytes cost where a process takes them in, by size of piece.

Protocols are fed with what one read would bring, without sockets. Then the
event loop turns once, so that whoever takes the parts runs too. A message that
is refused midway counts with its whole size.
"""

import argparse
import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from io import BytesIO
from typing import Any, Final, NamedTuple

from aiohttp import web
from grpclib.config import Configuration
from grpclib.server import Stream
from h2.config import H2Configuration
from h2.connection import H2Connection
from lovagemast_node.fleet._collector import tune_collector
from lovagemast_node.fleet._connectionlimits import ConnectionLimits
from lovagemast_node.fleet._engines import _read_response
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import PreencodedCodec
from lovagemast_node.fleet._peerserver import LimitedServer
from lovagemast_node.fleet._relay import ResponseRelay
from lovagemast_node.http import (
    READ_BYTES,
    BoundedReads,
    Headers,
    HttpRequest,
    HttpServer,
    Responder,
    ResponseData,
    ResponseHead,
    ServerLimits,
    TargetConnection,
    VmLimits,
)
from lovagemast_node.http._server import ServerConnection
from lovagemast_platform._entry import PlatformEntryCodec
from lovagemast_wire import Closed, Envelope, PeersBase
from prometheus_client import CollectorRegistry

PIECES: Final = (1, 60, 1_024, 65_536)  # bytes
SMALL: Final = 65_536  # bytes of a message
LARGE: Final = 1_048_576
MAX_FRAME: Final = 16_384
RESPONSE: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
REQUEST: Final = (
    b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
)
BODY_END: Final = b'0\r\n\r\n'
GRPC_HEAD: Final = (
    (':method', 'POST'),
    (':scheme', 'http'),
    (':path', '/lovagemast.Peers/Exchange'),
    (':authority', 'peer'),
    ('content-type', 'application/grpc'),
    ('te', 'trailers'),
)
# Of a message that is longer than what comes of it.
GRPC_PREFIX: Final = b'\x00' + (2 * LARGE).to_bytes(4, 'big')


class SilentTransport(asyncio.Transport):
    """Drops what is written, and notes whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False

    def write(self, data: Any) -> None:
        """Drop bytes."""

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing, as nothing is buffered."""

    def get_write_buffer_size(self) -> int:
        """Return 0, as nothing is buffered."""
        return 0

    def pause_reading(self) -> None:
        """Pause."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Go on."""
        self.is_paused = False

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return not self.is_paused

    def is_closing(self) -> bool:
        """Return false, as it ends with the process."""
        return False

    def can_write_eof(self) -> bool:
        """Return whether one side can be closed."""
        return False

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class SilentResponder:
    """Drops a response."""

    def __init__(self) -> None:
        self.started = False

    async def send(
        self, status: int, headers: Headers = (), body: bytes = b''
    ) -> None:
        """Drop a complete response."""

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin."""
        self.started = True

    async def write(self, chunk: bytes) -> None:
        """Drop a chunk."""

    def end(self) -> None:
        """End."""


class Costs(NamedTuple):
    """What one message took: processor time and the longest turn."""

    ns_per_byte: float
    longest_turn_ms: float


def make_chunk(piece: bytes) -> bytes:
    """Return a piece as a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(piece), piece)


def make_event(piece: bytes) -> bytes:
    """Return a chunk with a whole event of about the size of a piece."""
    return make_chunk(b':%b\n\n' % piece[3:])


class Frames:
    """Encodes pieces of one message as frames of a stream."""

    def __init__(self) -> None:
        config = H2Configuration(client_side=True, header_encoding='ascii')
        self._conn = H2Connection(config)
        self._conn.initiate_connection()
        self._conn.send_headers(1, GRPC_HEAD)
        self.first = self._conn.data_to_send() + self.encode(GRPC_PREFIX)

    def encode(self, piece: bytes) -> bytes:
        """Return the frames of a piece."""
        parts = []
        for start in range(0, len(piece), MAX_FRAME):
            part = piece[start : start + MAX_FRAME]
            parts.append(b'%b\0\0\0\0\0\1%b' % (_length(part), part))
        return b''.join(parts)


def _length(part: bytes) -> bytes:
    return len(part).to_bytes(3, 'big')


class PeerReader(PeersBase):
    """Takes the messages of other VMs."""

    async def Exchange(self, stream: 'Stream[Envelope, Closed]') -> None:
        """Read all."""
        while await stream.recv_message():
            """Drop it."""


async def _relay_stream(conn: TargetConnection) -> None:
    relay = ResponseRelay(SilentResponder(), PlatformEntryCodec())
    relay.begin_stream()
    head = ResponseHead(200, (), None)
    while True:
        event = await conn.next_event()
        if isinstance(event, ResponseData):
            await relay.relay_events(head, event.chunk)


async def _read_report(conn: TargetConnection) -> None:
    await _read_response(conn)


async def _answer(_req: HttpRequest, responder: Responder) -> None:
    await responder.send(200)


async def _answer_library(req: web.BaseRequest) -> web.Response:
    await req.read()
    return web.Response()


def _fail() -> None:
    raise AssertionError('a handler failed')


@asynccontextmanager
async def _open_target(
    consume: Callable[[TargetConnection], Awaitable[None]],
) -> AsyncIterator[asyncio.BaseProtocol]:
    conn = TargetConnection('target:1')
    conn.connection_made(SilentTransport())
    conn.send(b'', b'r', b'x-request-id')
    task = asyncio.ensure_future(consume(conn))
    await asyncio.sleep(0)
    yield conn
    task.cancel()


@asynccontextmanager
async def _open_caller() -> AsyncIterator[asyncio.BaseProtocol]:
    server = HttpServer(_answer, ServerLimits(), _fail)
    conn = ServerConnection(server)
    conn.connection_made(SilentTransport())
    yield conn
    conn.connection_lost(None)


@asynccontextmanager
async def _open_peer() -> AsyncIterator[asyncio.BaseProtocol]:
    limits = ConnectionLimits(VmLimits(), JsonLog('vm'), CollectorRegistry())
    server = LimitedServer(
        (PeerReader(),), PreencodedCodec(), Configuration(), limits
    )
    conn = server._protocol_factory()
    conn.connection_made(SilentTransport())
    yield conn
    conn.connection_lost(None)


@asynccontextmanager
async def _open_library() -> AsyncIterator[asyncio.BaseProtocol]:
    conn = web.Server(_answer_library)()
    conn.connection_made(SilentTransport())
    yield conn
    conn.connection_lost(None)


class Door(NamedTuple):
    """How a connection is opened, and what its other side sends."""

    open: Callable[[], Any]
    first: bytes
    encode: Callable[[bytes], bytes]
    last: bytes = b''


def make_doors() -> dict[str, Door]:
    """Return the doors by name."""
    frames = Frames()
    return {
        'target: event without end': Door(
            lambda: _open_target(_relay_stream), RESPONSE, make_chunk
        ),
        'target: whole events': Door(
            lambda: _open_target(_relay_stream), RESPONSE, make_event
        ),
        'target: body, report': Door(
            lambda: _open_target(_read_report), RESPONSE, make_chunk
        ),
        'caller, heartbeat, operator: body': Door(
            _open_caller, REQUEST, make_chunk, BODY_END
        ),
        'peer: message': Door(_open_peer, frames.first, frames.encode),
        'lovagemastd caller: body': Door(
            _open_library, REQUEST, make_chunk, BODY_END
        ),
    }


def _take(conn: asyncio.BaseProtocol, data: BytesIO) -> bool:
    """Let a connection read once; return whether there was something."""
    if isinstance(conn, BoundedReads):
        size = data.readinto(conn.get_buffer(-1))
        if size:
            conn.buffer_updated(size)
        return size > 0
    assert isinstance(conn, asyncio.Protocol)
    part = data.read(READ_BYTES)
    if part:
        conn.data_received(part)
    return bool(part)


async def measure(door: Door, size: int, piece: int) -> Costs:
    """Return the costs of a message of some size, in pieces."""
    count = size // piece
    pieces = door.encode(b'x' * piece) * count
    data = BytesIO(door.first + pieces + door.last)
    longest_s = 0.0
    async with door.open() as conn:
        started_s = time.process_time()
        turn_at = time.perf_counter()
        while _take(conn, data):
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.perf_counter() - turn_at)
            turn_at = time.perf_counter()
        took_s = time.process_time() - started_s
    return Costs(took_s / size * 1e9, longest_s * 1e3)


async def measure_all(repeats: int) -> None:
    """Print a line for each door and size of piece, the best of some runs."""
    for name, door in make_doors().items():
        for piece in PIECES:
            small = [await measure(door, SMALL, piece) for _ in range(repeats)]
            large = [await measure(door, LARGE, piece) for _ in range(repeats)]
            ns_small = min(one.ns_per_byte for one in small)
            ns_large = min(one.ns_per_byte for one in large)
            turns = [one.longest_turn_ms for one in large]
            figures = {
                'door': name,
                'piece_bytes': piece,
                'ns_per_byte_64k': round(ns_small, 1),
                'ns_per_byte_1m': round(ns_large, 1),
                'ratio': round(ns_large / ns_small, 2),
                'longest_turn_ms': round(min(turns), 2),
            }
            sys.stdout.write(f'{json.dumps(figures)}\n')


def main() -> int:
    """Run the measurements; the figures go to standard output."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--repeats', type=int, default=3)
    tune_collector()
    asyncio.run(measure_all(parser.parse_args().repeats))
    return 0


if __name__ == '__main__':
    sys.exit(main())
