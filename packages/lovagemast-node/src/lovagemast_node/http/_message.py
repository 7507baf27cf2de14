"""Requests, heads and header lists."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final, NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only, in lower case.
HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)


class HttpRequest(NamedTuple):
    """A request that was read whole."""

    method: str
    request_target: str  # path and query as sent
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.request_target.partition('?')[0]


def header_value(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value.decode('latin-1')
    return None


def end_to_end(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    """Yield the headers that do not concern one connection only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            named.update(one.strip() for one in value.lower().split(b','))
    for name, value in headers:
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named:
            yield name, value


def encode_head(
    first_line: str, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return a message's first line and headers as bytes."""
    lines = [first_line.encode('latin-1')]
    lines.extend(name + b': ' + value for name, value in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def status_line(status: int) -> str:
    """Return the first line of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Status'
    return f'HTTP/1.1 {status} {phrase}'
