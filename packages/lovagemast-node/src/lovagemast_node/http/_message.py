"""HTTP/1.1 requests, message heads and header lists."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final, NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to a single connection only, in lower case.
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
    """A complete request."""

    method: str
    request_target: str  # path and query as sent
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the path of the request-target, without the query."""
        return self.request_target.partition('?')[0]


def header_value(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or ``None``.

    ``name`` must be in lower case.
    """
    for header, value in headers:
        if header.lower() == name:
            return value.decode('latin-1')
    return None


def end_to_end(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    """Yield the end-to-end headers, which a proxy forwards.

    Hop-by-hop headers and those named by ``Connection`` are left out.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            connection_options.update(
                option.strip() for option in value.lower().split(b',')
            )
    for name, value in headers:
        lowercase_name = name.lower()
        if (
            lowercase_name not in HOP_BY_HOP
            and lowercase_name not in connection_options
        ):
            yield name, value


def encode_head(
    start_line: str, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return a message's start line and headers as bytes."""
    lines = [start_line.encode('latin-1')]
    lines.extend(name + b': ' + value for name, value in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def status_line(status: int) -> str:
    """Return the status line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Status'
    return f'HTTP/1.1 {status} {phrase}'
