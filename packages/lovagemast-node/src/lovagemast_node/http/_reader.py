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

HEAD_OVERHEAD_BYTES: Final = 8_192  # for separators and what is not counted
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

    def feed(
        self, data: bytes | memoryview
    ) -> list[CompletedRequest] | RefusalStatus:
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
        self._url = bytearray()
        self._lines: list[tuple[bytes, bytes]] = []  # of a head, or trailers
        self._lines_bytes = 0
        self._head_memory = 0
        self._headers: tuple[tuple[bytes, bytes], ...] = ()
        self._body = bytearray()
        self._head_limit = self.limits.header_bytes + HEAD_OVERHEAD_BYTES

    def on_url(self, url: bytes) -> None:
        """Append to the request-target."""
        self._url += url
        if len(self._url) > self._head_limit:
            self._refuse(RefusalStatus.HEADERS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the line of a head, or of trailers, and count its size.

        Both are bounded line by line, because one read has room for many
        lines, each of which takes several times its size once it is parsed.
        """
        self._lines.append((name, value))
        self._lines_bytes += len(name) + len(value) + LINE_BYTES
        if self._lines_bytes > self._head_limit:
            self._refuse(RefusalStatus.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Check the head before the body is read.

        Lines that follow are trailers, which are not passed on.
        """
        self._headers = tuple(self._lines)
        self._head_memory = self._lines_memory
        self._lines = []
        self._header_bytes = self._lines_bytes - LINE_BYTES * len(self._headers)
        self._lines_bytes = 0
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
        if not self._share.try_hold_head(self._head_memory):
            self._refuse(RefusalStatus.NO_MEMORY)
        req = HttpRequest(
            self._parser.get_method().decode('ascii'),
            self._url.decode('latin-1'),
            self._headers,
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._share.mark_complete()
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
        self._lines = []
        self._headers = ()
        self._url = bytearray()

    @property
    def _lines_memory(self) -> int:
        return self._lines_bytes + LINE_MEMORY_BYTES * len(self._lines)

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
        self._share.mark_incomplete(self.partial_bytes)
        held = self._head_memory + self._lines_memory + len(self._url)
        if not self._share.try_hold_head(held):
            return RefusalStatus.NO_MEMORY
        return None

    def _refuse(self, status: RefusalStatus) -> None:
        self._refusal_status = status
        raise RequestRefusedError(status.name)

    def _check_head(self) -> RefusalStatus | None:
        names = [name.lower() for name, _value in self._headers]
        framing_headers = names.count(b'content-length')
        framing_headers += names.count(b'transfer-encoding')
        if framing_headers > 1 or names.count(b'host') != 1:
            return RefusalStatus.BAD_REQUEST
        if not self._url.startswith(b'/'):
            return RefusalStatus.BAD_REQUEST
        head_bytes = len(self._url) + self._header_bytes
        if head_bytes > self.limits.header_bytes:
            return RefusalStatus.HEADERS_TOO_LARGE
        return self._check_framing(names) if framing_headers else None

    def _check_framing(self, names: list[bytes]) -> RefusalStatus | None:
        """Check the only header that frames the body."""
        if b'transfer-encoding' in names:
            coding = self._headers[names.index(b'transfer-encoding')][1]
            is_chunked = coding.lower() == b'chunked'
            return None if is_chunked else RefusalStatus.BAD_REQUEST
        length = self._headers[names.index(b'content-length')][1]
        if not length.isdigit():
            return RefusalStatus.BAD_REQUEST
        if int(length) > self.limits.body_bytes:
            return RefusalStatus.BODY_TOO_LARGE
        return None
