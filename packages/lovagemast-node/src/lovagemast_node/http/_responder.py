"""Writes the response to a request on a caller's connection."""

from typing import Final, Protocol

from ._message import Headers, encode_head, status_line

WRITE_BUFFER_LIMIT_BYTES: Final = 65_536


class ResponseStream(Protocol):
    """The connection that a response is written to."""

    unwritten_bytes: int  # of a response, beside the send buffer

    def write(self, data: bytes | memoryview) -> None:
        """Write bytes unless the connection is closed."""

    async def drain(self) -> None:
        """Wait until the send buffer has room."""

    def abort(self) -> None:
        """Close the connection at once and drop unsent data."""

    def closes_after_response(self) -> bool:
        """Return whether the current response is the connection's last."""


class AlreadyStartedError(RuntimeError):
    """A second head for a response that has begun."""


class Responder:
    """Writes the response to one request.

    A response has one head. An attempt to write another ends it, visibly
    truncated, since the caller would read the head as a part of the body.
    """

    def __init__(self, conn: ResponseStream, *, head_only: bool) -> None:
        self._conn = conn
        self._head_only = head_only
        self._chunked = False
        self._head = b''  # not written yet
        self.started = False
        self.ended = False

    async def send(
        self,
        status: int,
        headers: Headers = (),
        body: bytes = b'',
    ) -> None:
        """Write a complete response."""
        self.start(status, headers, len(body))
        await self.write(body)
        self.end()

    def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Set the head, which is written with what follows it at once.

        Without a length the body is chunked. Head and body together take one
        system call less.

        Raises :exc:`AlreadyStartedError` if the response has begun.
        """
        if self.started:
            self.abort()
            raise AlreadyStartedError(f'a second head, with status {status}')
        framing: list[tuple[bytes, bytes]] = []
        if length is None:
            self._chunked = True
            framing.append((b'Transfer-Encoding', b'chunked'))
        else:
            framing.append((b'Content-Length', str(length).encode()))
        if self._conn.closes_after_response():
            framing.append((b'Connection', b'close'))
        self.started = True
        self._head = encode_head(status_line(status), (*headers, *framing))

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body in slices, with back-pressure."""
        if not chunk or self._head_only:
            return
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        chunk = self._take_head() + chunk
        if len(chunk) <= WRITE_BUFFER_LIMIT_BYTES:
            self._conn.write(chunk)
            await self._conn.drain()
            return
        unwritten = memoryview(chunk)
        while unwritten:
            self._conn.write(unwritten[:WRITE_BUFFER_LIMIT_BYTES])
            unwritten = unwritten[WRITE_BUFFER_LIMIT_BYTES:]
            self._conn.unwritten_bytes = len(unwritten)
            await self._conn.drain()

    def end(self) -> None:
        """Finish the response."""
        rest = self._take_head()
        if self._chunked and not self._head_only:
            rest += b'0\r\n\r\n'
        if rest:
            self._conn.write(rest)
        self.ended = True

    def abort(self) -> None:
        """Abort the connection, so that the response is visibly truncated."""
        self.ended = True
        head = self._take_head()
        if head:
            self._conn.write(head)
        self._conn.abort()

    def _take_head(self) -> bytes:
        head = self._head
        self._head = b''
        return head
