"""A small HTTP/1.1 client and message reader for the stand-ins."""

import asyncio
import json
from typing import Any, Final, NamedTuple

MAX_REDIRECTS: Final = 2
REDIRECT: Final = 307


class Message(NamedTuple):
    """A request or a response: its start line, headers and body.

    Names of headers are in lower case.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers.

    Raises :exc:`asyncio.IncompleteReadError` if the connection ends.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = head.rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    return Message(start, headers, b'')


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool
) -> Message:
    """Read a whole message with a length, chunks, or an end by close."""
    head = await read_head(reader)
    body = b''
    if 'content-length' in head.headers:
        body = await reader.readexactly(int(head.headers['content-length']))
    elif 'transfer-encoding' in head.headers:
        body = await _read_chunks(reader)
    elif is_response:
        body = await reader.read()
    return head._replace(body=body)


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a message with a content length as bytes."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def encode_json(document: dict[str, Any]) -> bytes:
    """Return a JSON document as a response."""
    headers = {'Content-Type': 'application/json'}
    return encode('HTTP/1.1 200 OK', headers, json.dumps(document).encode())


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    *,
    timeout_s: float,
) -> Message | None:
    """Send a request on a new connection and follow redirects.

    Return ``None`` if there is no whole response in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, headers or {}, body)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Message:
    response = await _exchange(address, method, path, headers, body)
    for _redirect in range(MAX_REDIRECTS):
        if response.status != REDIRECT:
            break
        location = response.headers['location'].removeprefix('http://')
        address, _, rest = location.partition('/')
        response = await _exchange(address, method, f'/{rest}', headers, body)
    return response


async def _exchange(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Message:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        sent = {'Host': address, **headers}
        writer.write(encode(f'{method} {path} HTTP/1.1', sent, body))
        await writer.drain()
        return await read_message(reader, is_response=True)
    finally:
        writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
