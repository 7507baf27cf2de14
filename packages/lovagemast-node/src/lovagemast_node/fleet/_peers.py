"""gRPC streams between control VMs."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any, Final, TypeAlias

from grpclib._typing import IServable
from grpclib.client import Stream as ClientStream
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from grpclib.server import Server, Stream
from h2.exceptions import H2Error
from lovagemast_core import PeerMessage, PeerReceived
from lovagemast_core.control import FORMAT, message_bytes
from lovagemast_wire import (
    Closed,
    Envelope,
    PeersBase,
    PeersStub,
    WireError,
    decode_envelope,
    encode_envelope,
)

from .._clock import now_s
from .._h2 import BoundedChannel, send_while_moving
from ._connectionlimits import ConnectionLimits
from ._jsonlog import JsonLog
from ._keepalive import (
    LINK_PING_INTERVAL_S,
    LINK_PING_TIMEOUT_S,
    SERVER_PING_INTERVAL_S,
    SERVER_PING_TIMEOUT_S,
    ping_config,
)
from ._peerserver import LimitedServer

PEER_RECONNECT_DELAY_S: Final = 0.2
MAX_QUEUED_MESSAGES: Final = 512
MAX_QUEUED_BYTES: Final = 8_388_608
PEER_CONNECT_TIMEOUT_S: Final = 0.4
# The leader sends several heartbeats within this time, each with a reply, so
# a stream of which nothing moves for longer is dead.
SEND_TIMEOUT_S: Final = 1.0
SKIPPED_LOG_INTERVAL_S: Final = 10.0
STREAM_ERRORS: Final = (
    OSError,
    GRPCError,
    ProtocolError,  # the other side has closed the stream
    StreamTerminatedError,
    H2Error,
    TimeoutError,
    asyncio.IncompleteReadError,
)

PeerStream: TypeAlias = ClientStream[Envelope, Closed]


class LinkState(Enum):
    """Whether a link is open, or was lost, or was never open."""

    NEW = 'new'
    OPEN = 'open'
    DOWN = 'down'


class PeerLink:
    """Sends messages to one control VM; reconnects when the stream breaks."""

    def __init__(self, own_vm: str, vm: str, port: int, log: JsonLog) -> None:
        self._own_vm = own_vm
        self._vm = vm
        self._port = port
        self._log = log
        self._state = LinkState.NEW
        self._queue: asyncio.Queue[tuple[float, PeerMessage]] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._queued_bytes = 0

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of the messages that wait."""
        return self._queued_bytes

    def send(self, message: PeerMessage) -> None:
        """Queue a message; drop the oldest ones if the queue is full."""
        self._queued_bytes += message_bytes(message)
        while self._is_over_bounds() and not self._queue.empty():
            self._release(self._queue.get_nowait()[1])
        self._queue.put_nowait((now_s(), message))

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                await self._send_all()
            except STREAM_ERRORS as exc:
                self._log_lost(exc)
            except Exception as exc:  # later messages need the link
                self._log_problem('link failed', exc)
            self._state = LinkState.DOWN
            await asyncio.sleep(PEER_RECONNECT_DELAY_S)

    async def _send_all(self) -> None:
        config = ping_config(LINK_PING_INTERVAL_S, LINK_PING_TIMEOUT_S)
        async with (
            BoundedChannel(self._vm, self._port, config=config) as channel,
            PeersStub(channel).Exchange.open() as stream,
        ):
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await stream.send_request()
            self._state = LinkState.OPEN
            self._log.write('peer', 'link open', peer=self._vm)
            sender = asyncio.create_task(self._send_messages(stream))
            # The other side answers at the end only, or the stream breaks.
            end = asyncio.create_task(stream.recv_message())
            try:
                await asyncio.wait(
                    (sender, end), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                sender.cancel()
                end.cancel()
            for outcome in await asyncio.gather(
                sender, end, return_exceptions=True
            ):
                if isinstance(outcome, Exception):
                    raise outcome

    async def _send_messages(self, stream: PeerStream) -> None:
        opened_at = now_s()
        while True:
            message = await self._next_message(opened_at)
            envelope = self._encode(message)
            if envelope is None:
                continue
            await send_while_moving(stream, envelope, SEND_TIMEOUT_S)

    def _log_lost(self, exc: Exception) -> None:
        """Log the end of a stream, and the first attempt that failed."""
        if self._state is LinkState.OPEN:
            self._log_problem('link lost', exc)
        elif self._state is LinkState.NEW:
            self._log_problem('link cannot be opened', exc)

    def _encode(self, message: PeerMessage) -> Envelope | None:
        """Return a message's envelope, ``None`` if it cannot be sent."""
        try:
            return encode_envelope(self._own_vm, message)
        except WireError as exc:
            self._log_problem('message not sent', exc)
            return None

    def _log_problem(self, text: str, exc: Exception) -> None:
        self._log.write('peer', text, peer=self._vm, cause=repr(exc))

    def _is_over_bounds(self) -> bool:
        return self._queue.full() or self._queued_bytes > MAX_QUEUED_BYTES

    def _release(self, message: PeerMessage) -> None:
        self._queued_bytes -= message_bytes(message)

    async def _next_message(self, opened_at: float) -> PeerMessage:
        """Return the next message; drop those queued before a reconnect."""
        while True:
            queued_at, message = await self._queue.get()
            self._release(message)
            if queued_at >= opened_at - PEER_RECONNECT_DELAY_S:
                return message


class PeerLinks:
    """The links to other control VMs, opened on first use."""

    def __init__(self, own_vm: str, port: int, log: JsonLog) -> None:
        self._own_vm = own_vm
        self._port = port
        self._log = log
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of the messages that wait for any link."""
        return sum(link.queued_bytes for link in self._links.values())

    def send(self, vm: str, message: PeerMessage) -> None:
        """Queue a message for a VM; it is delivered at most once."""
        link = self._links.get(vm)
        if link is None:
            link = PeerLink(self._own_vm, vm, self._port, self._log)
            self._links[vm] = link
            self._tasks[vm] = asyncio.create_task(link.run())
        link.send(message)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()


class SkippedLog:
    """Logs messages that can't be decoded: the first, and a count at times."""

    def __init__(self, log: JsonLog) -> None:
        self._log = log
        self._counts: dict[tuple[str, str], int] = {}
        self._logged_at = float('-inf')

    def record(self, envelope: Envelope, exc: WireError, now: float) -> None:
        """Count a message, and log if it is the first or the time has come."""
        kind = envelope.WhichOneof('kind') or ''
        name = (envelope.sender, kind)
        is_first = name not in self._counts
        self._counts[name] = self._counts.get(name, 0) + 1
        if not is_first and now - self._logged_at < SKIPPED_LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._log.write(
            'peer',
            'unknown message skipped',
            peer=envelope.sender,
            kind=kind,
            count=self._counts[name],
            format=FORMAT,
            cause=str(exc),
        )


OnMessage = Callable[[PeerReceived], None]


class PeerService(PeersBase):
    """gRPC service that receives the messages of other control VMs."""

    def __init__(self, on_message: OnMessage, log: JsonLog) -> None:
        self._on_message = on_message
        self._skipped = SkippedLog(log)

    async def Exchange(self, stream: 'Stream[Envelope, Closed]') -> None:
        """Pass on each message; skip those that cannot be decoded.

        A control VM of a later version may send messages unknown here.
        """
        async for envelope in stream:
            try:
                self._on_message(decode_envelope(envelope))
            except WireError as exc:
                self._skipped.record(envelope, exc, now_s())
        await stream.send_message(Closed())


class PreencodedCodec(ProtoCodec):
    """Sends messages that are already encoded as they are.

    Their parts are encoded once for several streams.
    """

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        if isinstance(message, bytes):
            return message
        encoded: bytes = super().encode(message, message_type)
        return encoded


async def serve_peers(
    services: tuple[IServable, ...],
    host: str,
    port: int,
    limits: ConnectionLimits | None = None,
) -> Server:
    """Start the gRPC server for control and entry VMs."""
    config = ping_config(SERVER_PING_INTERVAL_S, SERVER_PING_TIMEOUT_S)
    codec = PreencodedCodec()
    if limits is None:
        server = Server(services, codec=codec, config=config)
        await server.start(host, port, reuse_address=True)
        return server
    limited = LimitedServer(services, codec, config, limits)
    await limited.listen(host, port)
    return limited
