"""An HTTP/1.1 server that handles pipelined requests in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final

from .._clock import now_s
from ._bodybudget import BodyBudget, BodyShare
from ._boundedreads import BoundedReads
from ._connectiontable import ClosingRank, ConnectionTable
from ._message import HttpRequest, encode_head, status_line
from ._reader import (
    CompletedRequest,
    ReaderLimits,
    RefusalStatus,
    RequestReader,
)
from ._resourcelimits import ServerLimits
from ._responder import WRITE_BUFFER_LIMIT_BYTES, Responder
from ._sockets import ACCEPT_BATCH, enable_keepalive, extend_backlog

MAX_PIPELINED_REQUESTS: Final = 16
# For a connection that was accepted just before or during a drain.
FIRST_REQUEST_WAIT_S: Final = 1.0
LINGER_S: Final = 1.0  # for a caller to read a refusal
NO_MEMORY_RETRY_AFTER: Final = (b'Retry-After', b'1')


def _ignore(_status: RefusalStatus) -> None:
    """Do nothing about a request that is refused unread."""


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class ServerConnection(BoundedReads):
    """A caller's connection, which handles its requests in order."""

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._reader = RequestReader(
            ReaderLimits(*server.limits[:2]), server.bodies, self._evict
        )
        self._unread = BodyShare(server.bodies, self.abort)  # by the caller
        self._paused_bytes = 0  # that the caller has read slowly
        self.unwritten_bytes = 0  # of a response, beside the send buffer
        self._stall_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._opened_at = 0.0  # s
        self._queue: deque[CompletedRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline: float | None = None  # s, by the loop's clock
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self._keep_alive = True
        self._has_served = False
        self._is_closing = False
        self._is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._opened_at = now_s()
        enable_keepalive(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT_BYTES)
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_timeout_s)
        self._server.table.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as its caller has disconnected."""
        self._is_closed = True
        self._is_writable.set()
        self._server.connections.discard(self)
        self._server.table.remove(self)
        self._cancel_timer()
        self._stop_stall_timer()
        self._reader.close()
        self._clear_queue()
        if self._task:
            self._task.cancel()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes and start the next request."""
        if self._is_closing:
            return
        limits = self._server.limits
        if self._is_idle():
            self._start_timer(limits.header_timeout_s)
        if self._reader.limits != limits[:2]:
            self._reader.limits = ReaderLimits(*limits[:2])
        outcome = self._reader.feed(data)
        if isinstance(outcome, RefusalStatus):
            self._refuse(outcome)
            return
        self._queue.extend(outcome)
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            self._refuse(RefusalStatus.BAD_REQUEST)
            return
        self._start_next()

    def pause_writing(self) -> None:
        """Block writers while the send buffer is full, not for too long."""
        self._is_writable.clear()
        self._stop_stall_timer()
        loop = asyncio.get_running_loop()
        timeout_s = self._server.limits.idle_timeout_s
        self._stall_timer = loop.call_later(timeout_s, self.abort)
        self._paused_bytes += WRITE_BUFFER_LIMIT_BYTES
        self._unread.mark_incomplete(self._paused_bytes)
        held = WRITE_BUFFER_LIMIT_BYTES
        if self._server.counts_responses:
            held += self.unwritten_bytes
        if not self._unread.try_grow(held):
            self.abort()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._is_writable.set()
        self._stop_stall_timer()

    def write(self, data: bytes | memoryview) -> None:
        """Write bytes unless the connection is closed."""
        if self._transport and not self._is_closed:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        await self._is_writable.wait()

    def abort(self) -> None:
        """Close the connection at once and drop unsent data."""
        self._is_closing = True
        if self._transport:
            self._transport.abort()

    def closing_rank(self) -> ClosingRank:
        """Return how soon the connection is closed to make room."""
        if self._is_closing:
            return ClosingRank.UNUSED
        if self._task or self._queue:
            return ClosingRank.BUSY
        if self._reader.partial_bytes:
            return ClosingRank.INCOMPLETE
        return ClosingRank.USED if self._has_served else ClosingRank.UNUSED

    def close_for_room(self) -> None:
        """Close at once; a request that was arriving is refused."""
        if self._reader.partial_bytes and not self._is_closing:
            self._evict()
        self.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress, or about to be received."""
        age_s = now_s() - self._opened_at
        is_awaited = not self._has_served and age_s < FIRST_REQUEST_WAIT_S
        if self._is_idle() and not is_awaited:
            self._close()

    def closes_after_response(self) -> bool:
        """Return whether the current response is the connection's last."""
        if self._server.is_draining and not self._queue:
            self._keep_alive = False
        return not self._keep_alive

    def _is_idle(self) -> bool:
        busy = self._task is not None or bool(self._queue)
        return not busy and not self._reader.partial_bytes

    def _start_next(self) -> None:
        if self._task is None and self._queue and not self._is_closing:
            completed = self._queue.popleft()
            self._keep_alive = completed.keep_alive
            self._has_served = True
            self._stop_timer()
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._handle(completed.req))
            self._task.add_done_callback(
                lambda _task: completed.share.release()
            )

    async def _handle(self, req: HttpRequest) -> None:
        responder = Responder(self, head_only=req.method == 'HEAD')
        try:
            await self._server.handler(req, responder)
        except asyncio.CancelledError:
            self.abort()
            return
        except Exception:
            self._server.on_handler_error()
            self.abort()
            raise
        self._task = None
        if not responder.ended:
            self.abort()
        elif self.closes_after_response():
            self._close()
        else:
            self._start_timer(self._server.limits.idle_timeout_s)
            self._start_next()

    def _evict(self) -> None:
        """Refuse the request that is arriving, for want of memory."""
        if not self._is_closing:
            self._refuse(RefusalStatus.NO_MEMORY)

    def _clear_queue(self) -> None:
        for waiting in self._queue:
            waiting.share.release()
        self._queue.clear()

    def _refuse(self, status: RefusalStatus) -> None:
        """Respond to a refused request and stop reading."""
        self._is_closing = True
        self._reader.close()
        self._clear_queue()
        self._server.on_unread(status)
        if self._task is None:
            head = [(b'Content-Length', b'0'), (b'Connection', b'close')]
            if status is RefusalStatus.NO_MEMORY:
                head.append(NO_MEMORY_RETRY_AFTER)
            self.write(encode_head(status_line(status.value), head))
            self._linger()
        else:
            self.abort()

    def _linger(self) -> None:
        """Close once the caller has read the refusal, or after a moment.

        Closing with unread bytes of a body resets the connection, so that the
        caller would lose the response.
        """
        if self._transport and self._transport.can_write_eof():
            self._transport.write_eof()
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_S, self.abort)

    def _close(self) -> None:
        self._is_closing = True
        if self._transport:
            self._transport.close()
            if self._transport.get_write_buffer_size():
                # A caller that reads no more would keep the rest for ever.
                self._start_timer(self._server.limits.idle_timeout_s)

    def _start_timer(self, delay_s: float) -> None:
        """Set the deadline; a timer that runs out before it is kept.

        Each request sets it three times, and most timers would be cancelled.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + delay_s
        if self._timer and self._timer.when() > deadline:
            self._cancel_timer()
        self._deadline = deadline
        if self._timer is None:
            self._timer = loop.call_at(deadline, self._on_timer)

    def _stop_timer(self) -> None:
        self._deadline = None

    def _cancel_timer(self) -> None:
        self._deadline = None
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _stop_stall_timer(self) -> None:
        if self._stall_timer:
            self._stall_timer.cancel()
            self._stall_timer = None
            self._unread.release()

    def _on_timer(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._deadline:
            self._timer = loop.call_at(self._deadline, self._on_timer)
            return
        self._deadline = None
        if self._is_closing:
            self.abort()
        elif self._is_idle():
            self._close()
        elif self._task is None:
            self._refuse(RefusalStatus.TIMED_OUT)


class HttpServer:
    """Listens on an address and passes requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        on_handler_error: Callable[[], None],
        bodies: BodyBudget | None = None,
        table: ConnectionTable | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_handler_error = on_handler_error
        self.bodies = bodies or BodyBudget()
        self.table = ConnectionTable() if table is None else table
        self.on_unread: Callable[[RefusalStatus], None] = _ignore
        self.is_draining = False
        self.counts_responses = False  # if the handler doesn't
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address and accept connections."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            backlog=ACCEPT_BATCH,
            reuse_address=True,
        )
        extend_backlog(self._listener)

    def stop_listening(self) -> None:
        """Accept no further connections; open ones are kept."""
        if self._listener:
            self._listener.close()
            self._listener = None

    def drain(self) -> None:
        """Close each connection after its response in progress."""
        self.is_draining = True
        for conn in list(self.connections):
            conn.close_if_idle()
