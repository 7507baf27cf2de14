"""Server side of sync streams, at relays and at the leader."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from functools import partial
from typing import Final

from grpclib.server import Stream
from lovagemast_core.targets import SyncAsk, SyncReply, TargetLoad, TargetRecord
from lovagemast_wire import (
    EntriesBase,
    RelaysBase,
    WireError,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._h2 import send_while_moving
from ._jsonlog import JsonLog
from ._peers import SEND_TIMEOUT_S, STREAM_ERRORS
from ._sync import SYNC_ERRORS

MAX_CACHED_RECORDS: Final = 1_024

SyncStream = Stream[lovagemast_pb2.SyncAsk, lovagemast_pb2.SyncReply]
_Record = TargetRecord | TargetLoad


class SyncReplyEncoder:
    """Encodes replies, and each target's record and load once for all.

    After a change of many targets their records go to tens of receivers.
    Encoding them for each would delay the heartbeats between control VMs
    until the leader is replaced. A record that cannot be encoded is left out.

    In the format of Protocol Buffers, a message is the concatenation of its
    fields, so a record's bytes are those of a message with nothing else.
    """

    def __init__(self, log: JsonLog) -> None:
        self._log = log
        self._encoded: dict[int, tuple[_Record, bytes]] = {}

    def encode(self, reply: SyncReply) -> bytes:
        """Return the bytes of a reply's Protocol Buffers message."""
        rest = to_wire(reply._replace(targets=(), loads=()))
        parts = [rest.SerializeToString()]
        parts.extend(self._field('targets', one) for one in reply.targets)
        parts.extend(self._field('loads', one) for one in reply.loads)
        return b''.join(parts)

    def _field(self, name: str, record: _Record) -> bytes:
        # The cache key is id(record); the reference to the record keeps the id
        # from being reused while the entry exists.
        cached = self._encoded.get(id(record))
        if cached is None:
            if len(self._encoded) >= MAX_CACHED_RECORDS:
                self._encoded.clear()
            cached = (record, self._try_encode(name, record))
            self._encoded[id(record)] = cached
        return cached[1]

    def _try_encode(self, name: str, record: _Record) -> bytes:
        message = lovagemast_pb2.SyncReply()
        try:
            getattr(message, name).append(to_wire(record))
        except WireError as exc:
            self._log.write(
                'sync',
                'record left out',
                target=record.target,
                cause=str(exc),
            )
            return b''
        return message.SerializeToString()


class SyncSession:
    """One sync stream, with the newest request that came on it.

    ``ask`` is brought up to date by what is sent, so that it says what the
    other side holds.
    """

    def __init__(
        self, number: int, stream: SyncStream, encoder: SyncReplyEncoder
    ) -> None:
        self.number = number
        self.ask: SyncAsk | None = None
        self._stream = stream
        self._encoder = encoder
        self._lock = asyncio.Lock()
        self._is_broken = False

    @property
    def is_sending(self) -> bool:
        """Return whether a reply is being sent."""
        return self._lock.locked()

    async def send(self, build: Callable[[], SyncReply | None]) -> None:
        """Send the reply that ``build`` returns, if any.

        It is built only when it is its turn to be sent: replies carry changes
        and must arrive in the order in which they were built.
        """
        async with self._lock:
            reply = None if self._is_broken else build()
            if reply is None:
                return
            message = self._encoder.encode(reply)
            self._record_sent(reply)
            try:
                await send_while_moving(self._stream, message, SEND_TIMEOUT_S)
            except STREAM_ERRORS:
                await self._break()
                raise

    async def _break(self) -> None:
        """End the stream: a later reply must not hide that one was lost."""
        self._is_broken = True
        with contextlib.suppress(*STREAM_ERRORS):
            await self._stream.cancel()

    def _record_sent(self, reply: SyncReply) -> None:
        if self.ask is None or not reply.serves:
            return
        version = self.ask.version
        if reply.published:
            version = reply.published.version
        quarantine = self.ask.quarantine
        if reply.quarantine:
            quarantine = reply.quarantine.version
        self.ask = self.ask._replace(
            stamp=reply.stamp,
            epoch=reply.epoch,
            version=version,
            quarantine=quarantine,
            limit_stamp=reply.limit_stamp,
            tolerance_stamp=reply.tolerance_stamp,
        )


class SyncHandler:
    """Answers the sync requests of all streams of a service.

    ``on_close`` is called after a stream has ended.
    """

    def __init__(
        self,
        on_ask: Callable[[SyncSession, SyncAsk], SyncReply],
        on_close: Callable[[SyncSession], None],
        log: JsonLog,
    ) -> None:
        self.sessions: dict[int, SyncSession] = {}
        self._numbers = itertools.count(1)
        self._encoder = SyncReplyEncoder(log)
        self._on_ask = on_ask
        self._on_close = on_close
        self._log = log

    async def serve(self, stream: SyncStream) -> None:
        """Answer each request until the stream ends."""
        session = SyncSession(next(self._numbers), stream, self._encoder)
        self.sessions[session.number] = session
        try:
            await self._answer_all(session, stream)
        except SYNC_ERRORS as exc:
            vm = session.ask.vm if session.ask else ''
            self._log.write('sync', 'stream lost', peer=vm, cause=repr(exc))
        finally:
            self.sessions.pop(session.number)
            self._on_close(session)

    async def _answer_all(
        self, session: SyncSession, stream: SyncStream
    ) -> None:
        async for message in stream:
            ask = from_wire(SyncAsk, message)
            session.ask = ask
            await session.send(partial(self._on_ask, session, ask))


class EntrySyncService(EntriesBase):
    """gRPC service of a relay for entry VMs."""

    def __init__(self, handler: SyncHandler) -> None:
        self._handler = handler

    async def Sync(self, stream: SyncStream) -> None:
        """Answer an entry VM until it closes the stream."""
        await self._handler.serve(stream)


class RelaySyncService(RelaysBase):
    """gRPC service of the leader for relays."""

    def __init__(self, handler: SyncHandler) -> None:
        self._handler = handler

    async def Sync(self, stream: SyncStream) -> None:
        """Answer a relay until it closes the stream."""
        await self._handler.serve(stream)
