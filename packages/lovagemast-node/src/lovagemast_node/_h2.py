"""HTTP/2 connections that take a bounded share of each turn of the loop.

The gRPC library parses all that one read brings before anything else has a
turn. A frame costs some tens of µs however small it is, so less is read at a
time than of other connections.
"""

import asyncio
from asyncio import BaseTransport
from typing import Any, Final

from grpclib.client import Channel, Handler
from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server
from h2.events import WindowUpdated

from .http import BoundedReads

H2_READ_BYTES: Final = 2_048


class BoundedH2Protocol(H2Protocol, BoundedReads):
    """A connection whose reads are bounded."""

    read_bytes = H2_READ_BYTES

    def connection_made(self, transport: BaseTransport) -> None:
        """Begin, and let more than answers to pings show progress."""
        super().connection_made(transport)
        self.processor.processors[WindowUpdated] = self._on_window_updated

    def data_received(self, data: bytes | memoryview) -> None:
        """Process the frames of one read."""
        super().data_received(bytes(data))

    def _on_window_updated(self, event: WindowUpdated) -> None:
        """Go on sending; what was sent has been read, as a ping would be.

        A ping waits behind a long message for longer than its time-out.
        """
        self.processor.process_window_updated(event)
        self.connection.ping_ack_process()


class BoundedChannel(Channel):
    """A channel to another VM whose reads are bounded."""

    def __init__(
        self, host: str, port: int, *, config: Configuration | None = None
    ) -> None:
        super().__init__(host, port, config=config)
        self._opened: BoundedH2Protocol | None = None  # also once it is closed

    @property
    def received_bytes(self) -> int:
        """Return the bytes of messages received, whole or not."""
        return self._opened.connection.data_received if self._opened else 0

    def _protocol_factory(self) -> H2Protocol:
        self._opened = BoundedH2Protocol(
            Handler(), self._config, self._h2_config
        )
        return self._opened


class BoundedServer(Server):
    """A gRPC server whose reads are bounded."""

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return BoundedH2Protocol(made.handler, made.config, made.h2_config)


async def send_while_moving(
    stream: Any, message: Any, timeout_s: float
) -> None:
    """Send a message on a gRPC stream, however long it takes.

    Raises :exc:`TimeoutError` if nothing of it has moved for ``timeout_s``.
    """
    sending = asyncio.ensure_future(stream.send_message(message))
    moved = (-1, -1)
    try:
        while not sending.done():
            now_moved = _moved_bytes(stream)
            if moved == now_moved:
                raise TimeoutError
            moved = now_moved
            await asyncio.wait((sending,), timeout=timeout_s)
    finally:
        sending.cancel()
    sending.result()


def _moved_bytes(stream: Any) -> tuple[int, int]:
    """Return the bytes that were sent, and those that wait for the socket."""
    inner = stream._stream  # the library shows neither
    waiting = inner._transport.get_write_buffer_size()
    return inner.data_sent, waiting
