"""A small HTTP/1.1 client on asyncio streams."""

import asyncio
import json
from typing import Final, NamedTuple

CALL_TIMEOUT_S: Final = 2.0
MAX_REDIRECTS: Final = 2
FIRST_REDIRECT: Final = 300
FIRST_CLIENT_ERROR: Final = 400


class Head(NamedTuple):
    """The status and headers of a response; names are in lower case."""

    status: int
    headers: dict[str, str]


class Channel:
    """A connection that carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Channel':
        """Open a connection to ``HOST:PORT``."""
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> None:
        """Write a request."""
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.writer.write(head.encode('latin-1') + body)

    async def read_head(self) -> Head:
        """Read the head of a response."""
        data = await self.reader.readuntil(b'\r\n\r\n')
        lines = data.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        return Head(int(lines[0].split()[1]), headers)

    async def read_chunk(self) -> bytes:
        """Read one chunk of a chunked body; empty at its end."""
        size = int((await self.reader.readuntil(b'\r\n')).split(b';')[0], 16)
        chunk = await self.reader.readexactly(size + 2)
        return chunk[:-2]

    async def read_body(self, head: Head) -> bytes:
        """Read a whole body."""
        if 'content-length' in head.headers:
            length = int(head.headers['content-length'])
            return await self.reader.readexactly(length)
        body = b''
        while chunk := await self.read_chunk():
            body += chunk
        return body

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def call(
    address: str, method: str, path: str, document: object = None
) -> int:
    """Call a control VM; return the status, 0 without a response.

    Redirects are followed twice, as the platform's callers do.
    """
    body = b'' if document is None else json.dumps(document).encode()
    for _redirect in range(MAX_REDIRECTS + 1):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                head = await _call_once(address, method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        if not FIRST_REDIRECT <= head.status < FIRST_CLIENT_ERROR:
            return head.status
        address = head.headers['location'].split('/')[2]
    return 0


async def _call_once(address: str, method: str, path: str, body: bytes) -> Head:
    channel = await Channel.open(address)
    try:
        headers = {'Host': address, 'Content-Type': 'application/json'}
        channel.send(method, path, headers, body)
        head = await channel.read_head()
        await channel.read_body(head)
    finally:
        channel.close()
    return head
