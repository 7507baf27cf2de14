"""Bounds what one connection may take of a turn of the event loop.

Bytes cost the more the smaller the parts are that they come in: a chunk or a
header line of a few bytes takes as long to parse as a large one. Whoever sends
them without end would hold up all other connections if a turn took all that
the socket holds.
"""

import asyncio
from typing import Final

# Parsed in one turn. Chunks of one byte take some ms then.
READ_BYTES: Final = 16_384


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that takes ``read_bytes`` at most in a turn of the loop.

    What comes beyond stays in the socket until all others had their turn.
    """

    read_bytes = READ_BYTES
    _read_buffer: bytearray

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, whatever size is hinted."""
        # Idle connections are many, and keep none.
        self._read_buffer = bytearray(self.read_bytes)
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        received = memoryview(self._read_buffer)[:nbytes]
        self._read_buffer = bytearray()
        self.data_received(received)

    def data_received(self, data: bytes | memoryview) -> None:
        """Take the received bytes; they are only valid during the call."""
        raise NotImplementedError
