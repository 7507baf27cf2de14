"""HTTP/2 connections that take a bounded share of each turn of the loop.

The gRPC library parses all that one read brings before anything else has a
turn. A frame costs some tens of µs however small it is, so less is read at a
time than of other connections.
"""

from typing import Final

from grpclib.client import Channel, Handler
from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from .http import BoundedReads

H2_READ_BYTES: Final = 2_048


class BoundedH2Protocol(H2Protocol, BoundedReads):
    """A connection whose reads are bounded."""

    read_bytes = H2_READ_BYTES

    def data_received(self, data: bytes | memoryview) -> None:
        """Process the frames of one read."""
        super().data_received(bytes(data))


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
