"""HTTP/2 without end, as callers may send it to the ports between VMs."""

import asyncio
import contextlib
from typing import Final

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import H2Error
from hyperframe.frame import ContinuationFrame, PingFrame

from tests.outsidecallers import BLOCK, CROWD, MIB, SEND_TIMEOUT_S, Flood

FRAME: Final = 16_384
STALL_S: Final = 0.5  # until a caller takes it that no more is accepted
PATHS: Final = ('/lovagemast.Peers/Exchange', '/lovagemast.Forwards/Forward')


def _head(path: str) -> list[tuple[str, str]]:
    return [
        (':method', 'POST'),
        (':scheme', 'http'),
        (':path', path),
        (':authority', 'peer'),
        ('content-type', 'application/grpc'),
        ('te', 'trailers'),
    ]


def _begin(path: str, *, ends_headers: bool = True) -> bytes:
    conn = H2Connection(H2Configuration(client_side=True))
    conn.initiate_connection()
    conn.send_headers(1, _head(path))
    data = bytearray(conn.data_to_send())
    if not ends_headers:
        # The flags of the last frame, HEADERS.
        start = data.rindex(b'\x01\x04\x00\x00\x00\x01')
        data[start + 1] = 0
    return bytes(data)


# Literal header fields without indexing: name of 1 byte, value of 1 byte.
FIELDS: Final = b'\x00\x01a\x01b' * (FRAME // 5)
# A message of 2 GiB, by its prefix.
LONG_MESSAGE: Final = b'\x00\x7f\xff\xff\xff'

H2_FLOODS: Final = {
    'no HTTP/2': Flood(b'', b'\r\n' * 1_000, MIB),
    'head without end': Flood(
        _begin(PATHS[0], ends_headers=False),
        ContinuationFrame(1, FIELDS).serialize(),
        4 * MIB,
    ),
    'pings': Flood(
        _begin(PATHS[0]),
        PingFrame(0, opaque_data=b'12345678').serialize(),
        MIB // 8,
    ),
}


class MessageFlood:
    """A caller that sends messages without end, as flow control allows."""

    def __init__(self, path: str, streams: int) -> None:
        self._path = path
        self._streams = streams
        self._conn = H2Connection(H2Configuration(client_side=True))

    async def send(self, host: str, port: int) -> None:
        """Send until the connection is closed, or all is sent."""
        reader, writer = await asyncio.open_connection(host, port)
        with contextlib.suppress(ConnectionError, TimeoutError, H2Error):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._send_all(reader, writer)
        writer.transport.abort()

    async def _send_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = self._conn
        conn.initiate_connection()
        numbers = [2 * index + 1 for index in range(self._streams)]
        for number in numbers:
            conn.send_headers(number, _head(self._path))
            conn.send_data(number, LONG_MESSAGE)
        sent = 0
        while sent < 8 * MIB:
            writer.write(conn.data_to_send())
            await writer.drain()
            room = max(map(conn.local_flow_control_window, numbers))
            if not room:
                async with asyncio.timeout(STALL_S):
                    data = await reader.read(BLOCK)
                if not data:
                    return
                conn.receive_data(data)
                continue
            for number in numbers:
                size = min(FRAME, conn.local_flow_control_window(number))
                conn.send_data(number, b'x' * size)
                sent += size


async def send_message_crowd(
    host: str, port: int, path: str, streams: int
) -> None:
    """Send messages without end from all callers of a crowd at a time."""
    callers = (
        MessageFlood(path, streams).send(host, port) for _caller in range(CROWD)
    )
    await asyncio.gather(*callers, return_exceptions=True)
