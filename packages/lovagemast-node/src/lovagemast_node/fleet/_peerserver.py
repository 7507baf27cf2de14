"""Bounds what other processes may send to the ports between VMs.

The gRPC library keeps a message until it is whole, however long its prefix
says it is, and reads on while nobody reads its replies.
"""

from asyncio import BaseTransport, Transport
from asyncio import Server as AsyncioServer
from collections.abc import Callable
from functools import partial
from typing import Final

from grpclib._typing import IServable
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.protocol import AbstractHandler, Buffer, H2Protocol
from grpclib.server import Server
from h2.config import H2Configuration
from h2.events import RequestReceived

from .._clock import now_s
from .._h2 import H2_READ_BYTES, BoundedH2Protocol
from ..http import (
    ACCEPT_BATCH,
    FREE_BYTES,
    BodyShare,
    ClosingRank,
    extend_backlog,
)
from ._connectionlimits import ConnectionLimits

MAX_UNREAD_BYTES: Final = 1_048_576  # replies that the other side doesn't read
# Received without a part of a message or a new stream, as in a head without
# end. An idle connection has some tens of bytes of pings in a second.
MAX_OVERHEAD_BYTES: Final = 262_144
OVERHEAD_WINDOW_S: Final = 60.0


class _LimitedBuffer(Buffer):
    """Reads messages, of which long ones have to find room as they arrive."""

    def __init__(self, protocol: '_LimitedProtocol', stream_id: int) -> None:
        super().__init__(partial(protocol.connection.ack, stream_id))
        self._protocol = protocol

    async def read(self, size: int) -> bytes:
        """Return some bytes, fewer if the stream ends before."""
        if size <= H2_READ_BYTES:
            return await super().read(size)
        if size <= FREE_BYTES:
            return await self._read_parts(size, lambda _received: None)
        limits = self._protocol.limits
        if limits.bodies.exceeds_limit(size):
            raise self._refuse()
        share = BodyShare(limits.bodies, self._protocol.close_for_room)
        try:
            return await self._read_parts(size, partial(self._grow, share))
        finally:
            share.release()

    async def _read_parts(
        self, size: int, on_part: Callable[[int], None]
    ) -> bytes:
        """Read in parts, so that no turn of the loop joins very many frames.

        ``on_part`` gets the number of bytes that have come so far.
        """
        data = bytearray()
        while len(data) < size:
            count = min(H2_READ_BYTES, size - len(data))
            part = await Buffer.read(self, count)
            if not part:
                break
            data += part
            on_part(len(data))
        return bytes(data)

    def _grow(self, share: BodyShare, received: int) -> None:
        share.mark_incomplete(received)
        if not share.try_grow(received):
            raise self._refuse()

    def _refuse(self) -> GRPCError:
        self._protocol.limits.record('MESSAGE', 1)
        self._protocol.close_for_room()
        return GRPCError(Status.RESOURCE_EXHAUSTED, 'no room for the message')


class _LimitedProtocol(BoundedH2Protocol):
    """A connection of another VM, or of whoever reaches the port."""

    def __init__(
        self,
        handler: AbstractHandler,
        config: Configuration,
        h2_config: H2Configuration,
        limits: ConnectionLimits,
    ) -> None:
        super().__init__(handler, config, h2_config)
        self.limits = limits
        self._transport: Transport | None = None
        self._is_writing_paused = False
        self._overhead = 0
        self._counted_data = 0
        self._counted_at = now_s()

    def connection_made(self, transport: BaseTransport) -> None:
        """Begin, and count the connection."""
        super().connection_made(transport)
        assert isinstance(transport, Transport)
        self._transport = transport
        self.processor.processors[RequestReceived] = self._accept
        self.limits.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the streams, and count the connection no more."""
        self.limits.table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes | memoryview) -> None:
        """Process frames, or close a connection that sends nothing else."""
        super().data_received(data)
        received = (
            self.connection.data_received + self.connection.streams_started
        )
        if received != self._counted_data:
            self._counted_data = received
            self._overhead = 0
        else:
            self._overhead += len(data)
            if self._overhead > MAX_OVERHEAD_BYTES:
                self._check_overhead()
        if self._is_writing_paused:
            self._check_unread()

    def pause_writing(self) -> None:
        """Let senders wait, and watch what is sent beside them."""
        super().pause_writing()
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Let senders go on."""
        super().resume_writing()
        self._is_writing_paused = False

    def closing_rank(self) -> ClosingRank:
        """Return how soon the connection is closed to make room."""
        if self.processor.streams:
            return ClosingRank.BUSY
        if self.connection.streams_started:
            return ClosingRank.USED
        return ClosingRank.UNUSED

    def close_for_room(self) -> None:
        """Close at once."""
        if self._transport:
            self._transport.abort()

    def _accept(self, event: RequestReceived) -> None:
        self.processor.process_request_received(event)
        stream = self.processor.streams[event.stream_id]
        stream.buffer = _LimitedBuffer(self, event.stream_id)

    def _check_overhead(self) -> None:
        now = now_s()
        if now - self._counted_at < OVERHEAD_WINDOW_S:
            self.limits.record('FRAMES', 1)
            self.close_for_room()
        self._counted_at = now
        self._overhead = 0

    def _check_unread(self) -> None:
        unread = (
            self._transport.get_write_buffer_size() if self._transport else 0
        )
        if unread > MAX_UNREAD_BYTES:
            self.limits.record('UNREAD', 1)
            self.close_for_room()


class LimitedServer(Server):
    """A gRPC server whose connections are within the limits of a process."""

    def __init__(
        self,
        services: tuple[IServable, ...],
        codec: CodecBase,
        config: Configuration,
        limits: ConnectionLimits,
    ) -> None:
        super().__init__(services, codec=codec, config=config)
        self._limits = limits

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address and accept connections."""
        await self.start(host, port, reuse_address=True, backlog=ACCEPT_BATCH)
        if isinstance(self._server, AsyncioServer):
            extend_backlog(self._server)

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return _LimitedProtocol(
            made.handler, made.config, made.h2_config, self._limits
        )
