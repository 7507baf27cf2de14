"""gRPC streams between control VMs, and from entry VMs to the leader."""

import asyncio
from collections.abc import Callable
from typing import Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from h2.exceptions import H2Error
from lovagemast_core import PeerMessage, PeerReceived
from lovagemast_core.targets import SyncAsk, SyncReply, TargetRecord
from lovagemast_wire import (
    Closed,
    EntriesBase,
    Envelope,
    PeersBase,
    PeersStub,
    WireError,
    decode_envelope,
    encode_envelope,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from ._jsonlog import JsonLog

PEER_RECONNECT_DELAY_S: Final = 0.2
MAX_QUEUED_MESSAGES: Final = 512
MAX_CACHED_RECORDS: Final = 512
PEER_CONNECT_TIMEOUT_S: Final = 0.4
# The leader sends several heartbeats within this time, each with a reply, so
# a stream that accepts nothing for longer is dead.
SEND_TIMEOUT_S: Final = 1.0
STREAM_ERRORS: Final = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    H2Error,
    TimeoutError,
    asyncio.IncompleteReadError,
)


WireRecord = lovagemast_pb2.TargetRecord
SyncStream = Stream[lovagemast_pb2.SyncAsk, lovagemast_pb2.SyncReply]


class PeerLink:
    """Sends messages to one control VM; reconnects when the stream breaks."""

    def __init__(self, own_vm: str, vm: str, port: int, log: JsonLog) -> None:
        self._own_vm = own_vm
        self._vm = vm
        self._port = port
        self._log = log
        self._is_open = False
        self._queue: asyncio.Queue[tuple[float, PeerMessage]] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )

    def send(self, message: PeerMessage) -> None:
        """Queue a message; drop the oldest one if the queue is full."""
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait((now_s(), message))

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                await self._send_all()
            except STREAM_ERRORS as exc:
                if self._is_open:
                    self._log.write(
                        'peer',
                        'link lost',
                        peer=self._vm,
                        cause=repr(exc),
                    )
                self._is_open = False
            await asyncio.sleep(PEER_RECONNECT_DELAY_S)

    async def _send_all(self) -> None:
        async with (
            Channel(self._vm, self._port) as channel,
            PeersStub(channel).Exchange.open() as stream,
        ):
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await stream.send_request()
            self._is_open = True
            self._log.write('peer', 'link open', peer=self._vm)
            opened_at = now_s()
            while True:
                message = await self._next_message(opened_at)
                envelope = encode_envelope(self._own_vm, message)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await stream.send_message(envelope)

    async def _next_message(self, opened_at: float) -> PeerMessage:
        """Return the next message; drop those queued before a reconnect."""
        while True:
            queued_at, message = await self._queue.get()
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


class SyncReplyEncoder:
    """Encodes replies, and each target record once for all entry VMs.

    A new leader, or a change of many targets, makes the leader send all
    records to all entry VMs. With tens of entry VMs, encoding them for each
    would delay the leader's heartbeats until it is replaced.
    """

    def __init__(self) -> None:
        self._encoded: dict[int, tuple[TargetRecord, WireRecord]] = {}

    def encode(self, reply: SyncReply) -> lovagemast_pb2.SyncReply:
        """Return the Protocol Buffers message of a reply."""
        message: lovagemast_pb2.SyncReply = to_wire(
            reply._replace(targets=()),
        )
        message.targets.extend(self._record(one) for one in reply.targets)
        return message

    def _record(self, record: TargetRecord) -> WireRecord:
        # The cache key is id(record); the reference to the record keeps the id
        # from being reused while the entry exists.
        cached = self._encoded.get(id(record))
        if cached is None:
            if len(self._encoded) >= MAX_CACHED_RECORDS:
                self._encoded.clear()
            cached = (record, to_wire(record))
            self._encoded[id(record)] = cached
        return cached[1]


class SyncSession:
    """The leader's side of one entry VM's sync stream."""

    def __init__(self, stream: SyncStream, encoder: SyncReplyEncoder) -> None:
        self.last_ask: SyncAsk | None = None
        self._stream = stream
        self._encoder = encoder
        self._lock = asyncio.Lock()

    async def send(self, reply: SyncReply) -> None:
        """Send a reply and record what the entry VM knows after it."""
        async with self._lock, asyncio.timeout(SEND_TIMEOUT_S):
            await self._stream.send_message(self._encoder.encode(reply))
        if self.last_ask and reply.leads:
            version = self.last_ask.version
            if reply.published:
                version = reply.published.version
            self.last_ask = self.last_ask._replace(
                stamp=reply.stamp,
                term=reply.term,
                version=version,
            )


OnMessage = Callable[[PeerReceived], None]
OnAsk = Callable[[SyncAsk], SyncReply]


class PeerService(PeersBase):
    """gRPC service that receives the messages of other control VMs."""

    def __init__(self, on_message: OnMessage, log: JsonLog) -> None:
        self._on_message = on_message
        self._log = log

    async def Exchange(self, stream: 'Stream[Envelope, Closed]') -> None:
        """Pass on each message; skip those that cannot be decoded.

        A control VM of a later version may send messages unknown here.
        """
        async for envelope in stream:
            try:
                self._on_message(decode_envelope(envelope))
            except WireError as exc:
                self._log.write(
                    'peer', 'unknown message skipped', cause=str(exc)
                )
        await stream.send_message(Closed())


class SyncService(EntriesBase):
    """gRPC service that answers the sync requests of entry VMs.

    ``sessions`` are those of the entry VMs that are connected.
    """

    def __init__(self, on_ask: OnAsk, log: JsonLog) -> None:
        self.sessions: set[SyncSession] = set()
        self._encoder = SyncReplyEncoder()
        self._on_ask = on_ask
        self._log = log

    async def Sync(self, stream: SyncStream) -> None:
        """Answer each sync request until the entry VM closes the stream."""
        session = SyncSession(stream, self._encoder)
        self.sessions.add(session)
        try:
            async for message in stream:
                ask = from_wire(SyncAsk, message)
                session.last_ask = ask
                await session.send(self._on_ask(ask))
        except STREAM_ERRORS as exc:
            self._log.write(
                'sync', 'connection to an entry VM lost', cause=repr(exc)
            )
        finally:
            self.sessions.discard(session)


async def serve_peers(
    services: tuple[PeerService, SyncService],
    host: str,
    port: int,
) -> Server:
    """Start the gRPC server for control and entry VMs."""
    server = Server(list(services))
    await server.start(host, port, reuse_address=True)
    return server
