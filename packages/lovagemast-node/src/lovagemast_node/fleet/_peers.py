"""Streams between control VMs, and from entry VMs to the leader."""

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
from ._lines import LineLog

RECONNECT_S: Final = 0.2
MAX_WAITING: Final = 512  # messages
MAX_KEPT_RECORDS: Final = 512
CONNECT_TIMEOUT_S: Final = 0.4
# A heartbeat of the leader comes several times in this long, and its reply
# with it: a stream that took nothing for longer has gone silent.
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
    """Sends messages to one control VM; opens the stream anew at need."""

    def __init__(self, own_vm: str, vm: str, port: int, log: LineLog) -> None:
        self._own_vm = own_vm
        self._vm = vm
        self._port = port
        self._log = log
        self._is_open = False
        self._waiting: asyncio.Queue[tuple[float, PeerMessage]] = asyncio.Queue(
            MAX_WAITING
        )

    def send(self, message: PeerMessage) -> None:
        """Queue a message, dropping the oldest if too many wait."""
        if self._waiting.full():
            self._waiting.get_nowait()
        self._waiting.put_nowait((now_s(), message))

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
            await asyncio.sleep(RECONNECT_S)

    async def _send_all(self) -> None:
        async with (
            Channel(self._vm, self._port) as channel,
            PeersStub(channel).Exchange.open() as stream,
        ):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_request()
            self._is_open = True
            self._log.write('peer', 'link open', peer=self._vm)
            opened_at = now_s()
            while True:
                message = await self._next_since(opened_at)
                envelope = encode_envelope(self._own_vm, message)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await stream.send_message(envelope)

    async def _next_since(self, opened_at: float) -> PeerMessage:
        """Return the next message; those from before a break are dropped."""
        while True:
            queued_at, message = await self._waiting.get()
            if queued_at >= opened_at - RECONNECT_S:
                return message


class PeerLinks:
    """One link to each control VM that anything is sent to."""

    def __init__(self, own_vm: str, port: int, log: LineLog) -> None:
        self._own_vm = own_vm
        self._port = port
        self._log = log
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send a message, at most once."""
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


class RecordEncoder:
    """Encodes each target record once for all entry VMs that get it.

    Answers the load of a new leader, or of many targets that change: with
    tens of entry VMs, encoding for each of them would hold up the leader's
    heartbeats until it is replaced.
    """

    def __init__(self) -> None:
        self._kept: dict[int, tuple[TargetRecord, WireRecord]] = {}

    def encode(self, reply: SyncReply) -> lovagemast_pb2.SyncReply:
        """Return a reply's message."""
        message: lovagemast_pb2.SyncReply = to_wire(
            reply._replace(targets=()),
        )
        message.targets.extend(self._record(one) for one in reply.targets)
        return message

    def _record(self, record: TargetRecord) -> WireRecord:
        # The record is kept beside its message, so that its identity is not
        # used again meanwhile.
        kept = self._kept.get(id(record))
        if kept is None:
            if len(self._kept) >= MAX_KEPT_RECORDS:
                self._kept.clear()
            kept = (record, to_wire(record))
            self._kept[id(record)] = kept
        return kept[1]


class SyncSession:
    """One entry VM's stream at the leader."""

    def __init__(self, stream: SyncStream, encoder: RecordEncoder) -> None:
        self.last_ask: SyncAsk | None = None
        self._stream = stream
        self._encoder = encoder
        self._lock = asyncio.Lock()

    async def send(self, reply: SyncReply) -> None:
        """Send a reply; the session remembers what the entry VM knows."""
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
    """Receives the messages of other control VMs."""

    def __init__(self, on_message: OnMessage, log: LineLog) -> None:
        self._on_message = on_message
        self._log = log

    async def Exchange(self, stream: 'Stream[Envelope, Closed]') -> None:
        """Hand each message on; skip those of a later version."""
        async for envelope in stream:
            try:
                self._on_message(decode_envelope(envelope))
            except WireError as exc:
                self._log.write('peer', 'message skipped', cause=str(exc))
        await stream.send_message(Closed())


class EntryService(EntriesBase):
    """Answers entry VMs while they are connected."""

    def __init__(self, on_ask: OnAsk, log: LineLog) -> None:
        self.sessions: set[SyncSession] = set()
        self._encoder = RecordEncoder()
        self._on_ask = on_ask
        self._log = log

    async def Sync(self, stream: SyncStream) -> None:
        """Answer each ask until the entry VM leaves."""
        session = SyncSession(stream, self._encoder)
        self.sessions.add(session)
        try:
            async for message in stream:
                ask = from_wire(SyncAsk, message)
                session.last_ask = ask
                await session.send(self._on_ask(ask))
        except STREAM_ERRORS as exc:
            self._log.write('sync', 'entry VM lost', cause=repr(exc))
        finally:
            self.sessions.discard(session)


async def serve_peers(
    services: tuple[PeerService, EntryService],
    host: str,
    port: int,
) -> Server:
    """Listen for other VMs."""
    server = Server(list(services))
    await server.start(host, port, reuse_address=True)
    return server
