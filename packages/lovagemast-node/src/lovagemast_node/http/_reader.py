"""A strict parser for complete HTTP/1.1 requests.

Requests that two parsers could frame differently are refused, to prevent
request smuggling: several framing headers, transfer codings other than
chunked, and missing or repeated ``Host`` headers.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import Final, NamedTuple

import httptools

from ._bodybudget import BodyBudget, BodyShare
from ._message import HttpRequest

HEAD_OVERHEAD_BYTES: Final = 8_192  # for the request line and separators
LINE_MEMORY_BYTES: Final = 160  # of a parsed line, beside its text
LINE_BYTES: Final = 4  # of a header line beside its name and value
# Of a chunked body beside its data. Chunks of one byte take five more each.
MAX_FRAMING_BYTES: Final = 65_536
MAX_FRAMING_FACTOR: Final = 8


class RefusalStatus(IntEnum):
    """The status of the response to a refused request."""

    BAD_REQUEST = 400
    TIMED_OUT = 408
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431
    NO_MEMORY = 503


class CompletedRequest(NamedTuple):
    """A complete request, and whether the connection may stay open.

    ``share`` is the memory of its body, to be released with the request.
    """

    req: HttpRequest
    keep_alive: bool
    share: BodyShare


class ReaderLimits(NamedTuple):
    """Size limits of a request, in bytes."""

    header_bytes: int
    body_bytes: int


class RequestRefusedError(ValueError):
    """Stops the parser at a request that is refused."""


class RequestReader:
    """Collects complete requests from the callbacks of the parser."""

    def __init__(
        self,
        limits: ReaderLimits,
        bodies: BodyBudget,
        evict: Callable[[], None] | None = None,
    ) -> None:
        self.limits = limits
        self._bodies = bodies
        self._evict = evict  # gives up the connection, for want of memory
        self._share = BodyShare(bodies, evict)
        self.partial_bytes = 0  # of an incomplete request
        self._fed_since_body = 0  # bytes fed after the last of a body
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[CompletedRequest] = []
        self._refusal_status: RefusalStatus | None = None
        self.on_message_begin()

    def feed(self, data: bytes) -> list[CompletedRequest] | RefusalStatus:
        """Parse bytes and return the requests that they complete."""
        self.partial_bytes += len(data)
        self._fed_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._refusal_status or RefusalStatus.BAD_REQUEST
        if self._completed:
            completed = self._completed
            self._completed = []
            return completed
        return self._check_partial() or []

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._trailer_bytes = 0
        self._is_head_complete = False
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append to the request-target."""
        self._url += url
        if len(self._url) > self._head_limit:
            self._refuse(RefusalStatus.HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and count its size; drop a trailer.

        Both are bounded line by line, because one read has room for many
        lines, each of which takes several times its size once it is parsed.
        """
        size = len(name) + len(value)
        if self._is_head_complete:
            self._trailer_bytes += size + LINE_BYTES
            if self._trailer_bytes > self._head_limit:
                self._refuse(RefusalStatus.HEADERS_TOO_LARGE)
            return
        self._headers.append((name, value))
        self._header_bytes += size
        lines_bytes = self._header_bytes + LINE_BYTES * len(self._headers)
        if lines_bytes > self._head_limit:
            self._refuse(RefusalStatus.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        self._is_head_complete = True
        self._refusal_status = self._check_head()
        if self._refusal_status:
            raise RequestRefusedError(self._refusal_status.name)

    def on_body(self, body: bytes) -> None:
        """Append to the body, up to the size limit."""
        self._fed_since_body = 0
        self._body += body
        if len(self._body) > self.limits.body_bytes:
            self._refuse(RefusalStatus.BODY_TOO_LARGE)
        if not self._share.try_grow(len(self._body)):
            self._refuse(RefusalStatus.NO_MEMORY)

    def on_message_complete(self) -> None:
        """Store the complete request."""
        req = HttpRequest(
            self._parser.get_method().decode('ascii'),
            self._url.decode('latin-1'),
            tuple(self._headers),
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._share.complete()
        self._completed.append(CompletedRequest(req, keep_alive, self._share))
        self._share = BodyShare(self._bodies, self._evict)
        self._body = bytearray()
        self.partial_bytes = 0
        self._fed_since_body = 0

    def close(self) -> None:
        """Release the memory of an incomplete request.

        So too of complete ones, if bytes after them in the same read were
        refused.
        """
        self._share.release()
        for completed in self._completed:
            completed.share.release()
        self._completed = []
        self._body = bytearray()
        self._headers = []
        self._url = b''

    @property
    def _head_limit(self) -> int:
        return self.limits.header_bytes + HEAD_OVERHEAD_BYTES

    @property
    def _head_memory(self) -> int:
        lines_bytes = LINE_MEMORY_BYTES * len(self._headers)
        return self._header_bytes + lines_bytes + len(self._url)

    def _check_partial(self) -> RefusalStatus | None:
        """Return why an incomplete request is not read on.

        Empty lines before a request, its head, the line of a chunk and the
        trailers each have to end within the limit of a head. The parser keeps
        an unfinished line as a whole.
        """
        if self._fed_since_body > self._head_limit:
            return RefusalStatus.HEADERS_TOO_LARGE
        size = len(self._body)
        framing = self.partial_bytes - size
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * size:
            return RefusalStatus.BAD_REQUEST
        self._share.wait_for_more(self.partial_bytes)
        if not self._is_head_complete and not self._share.try_hold_head(
            self._head_memory
        ):
            return RefusalStatus.NO_MEMORY
        return None

    def _refuse(self, status: RefusalStatus) -> None:
        self._refusal_status = status
        raise RequestRefusedError(status.name)

    def _check_head(self) -> RefusalStatus | None:
        lowercase_headers = [
            (name.lower(), value) for name, value in self._headers
        ]
        names = [name for name, _value in lowercase_headers]
        framing_headers = names.count(b'content-length')
        framing_headers += names.count(b'transfer-encoding')
        if framing_headers > 1 or names.count(b'host') != 1:
            return RefusalStatus.BAD_REQUEST
        if not self._url.startswith(b'/'):
            return RefusalStatus.BAD_REQUEST
        if self._header_bytes > self.limits.header_bytes:
            return RefusalStatus.HEADERS_TOO_LARGE
        return self._check_framing(dict(lowercase_headers))

    def _check_framing(
        self, headers: dict[bytes, bytes]
    ) -> RefusalStatus | None:
        length = headers.get(b'content-length', b'0')
        transfer_coding = headers.get(b'transfer-encoding', b'chunked')
        if not length.isdigit() or transfer_coding.lower() != b'chunked':
            return RefusalStatus.BAD_REQUEST
        if int(length) > self.limits.body_bytes:
            return RefusalStatus.BODY_TOO_LARGE
        if not self._share.try_hold_head(self._head_memory):
            return RefusalStatus.NO_MEMORY
        return None
