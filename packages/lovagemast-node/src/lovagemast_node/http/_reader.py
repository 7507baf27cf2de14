"""Reads whole requests from bytes, strictly.

What two readers could take for different requests is refused: both or
doubled lengths, other codings than chunked, a missing or doubled host.
"""

from enum import IntEnum
from typing import Final, NamedTuple

import httptools

from ._message import HttpRequest

HEAD_OVERHEAD_BYTES: Final = 8_192  # first line and separators


class Fault(IntEnum):
    """The status for a request that is not accepted."""

    BAD_REQUEST = 400
    TIMED_OUT = 408
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431


class ReadRequest(NamedTuple):
    """A whole request, and whether the connection may stay open."""

    req: HttpRequest
    keep_alive: bool


class ReaderLimits(NamedTuple):
    """The most that a request may hold, in bytes."""

    header_bytes: int
    body_bytes: int


class RefusedError(ValueError):
    """Ends the parsing of a request that is refused."""


class RequestReader:
    """Parser callbacks that collect requests."""

    def __init__(self, limits: ReaderLimits) -> None:
        self.limits = limits
        self.partial_bytes = 0  # of the request that is not whole yet
        self._parser = httptools.HttpRequestParser(self)
        self._done: list[ReadRequest] = []
        self._fault: Fault | None = None
        self.on_message_begin()

    def feed(self, data: bytes) -> list[ReadRequest] | Fault:
        """Take bytes; return the requests that are whole now."""
        self.partial_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._fault or Fault.BAD_REQUEST
        done = self._done
        self._done = []
        longest = self.limits.header_bytes + HEAD_OVERHEAD_BYTES
        too_long = self.partial_bytes > longest and not self._head_done
        if too_long and not done:
            return Fault.HEADERS_TOO_LARGE
        return done

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._head_done = False
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Check the framing before the body is read."""
        self._head_done = True
        self._fault = self._find_fault()
        if self._fault:
            raise RefusedError(self._fault.name)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > self.limits.body_bytes:
            self._fault = Fault.BODY_TOO_LARGE
            raise RefusedError(self._fault.name)

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        req = HttpRequest(
            self._parser.get_method().decode('ascii'),
            self._url.decode('latin-1'),
            tuple(self._headers),
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._done.append(ReadRequest(req, keep_alive))
        self.partial_bytes = 0

    def _find_fault(self) -> Fault | None:
        named = [(name.lower(), value) for name, value in self._headers]
        names = [name for name, _value in named]
        framings = names.count(b'content-length')
        framings += names.count(b'transfer-encoding')
        if framings > 1 or names.count(b'host') != 1:
            return Fault.BAD_REQUEST
        if not self._url.startswith(b'/'):
            return Fault.BAD_REQUEST
        if self._header_bytes > self.limits.header_bytes:
            return Fault.HEADERS_TOO_LARGE
        return self._find_framing_fault(dict(named))

    def _find_framing_fault(self, headers: dict[bytes, bytes]) -> Fault | None:
        length = headers.get(b'content-length', b'0')
        coding = headers.get(b'transfer-encoding', b'chunked')
        if not length.isdigit() or coding.lower() != b'chunked':
            return Fault.BAD_REQUEST
        if int(length) > self.limits.body_bytes:
            return Fault.BODY_TOO_LARGE
        return None
