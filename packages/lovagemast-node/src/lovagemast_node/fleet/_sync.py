"""Client of a sync stream: entry VMs to a relay, relays to the leader."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from grpclib.client import Stream as ClientStream
from lovagemast_core.syncrelay import SyncTiming
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import (
    EntriesStub,
    RelaysStub,
    WireError,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from .._h2 import BoundedChannel
from ._jsonlog import JsonLog
from ._keepalive import READ_CONFIG
from ._peers import PEER_CONNECT_TIMEOUT_S, STREAM_ERRORS

SYNC_RECONNECT_DELAY_S: Final = 0.05
SYNC_ERRORS: Final = (*STREAM_ERRORS, WireError)

BuildAsk = Callable[[int], SyncAsk]
OnReply = Callable[[SyncReply, float], None]
OnLost = Callable[[str], None]  # gets the VM whose stream broke
Stub = type[EntriesStub] | type[RelaysStub]
SyncStream = ClientStream[lovagemast_pb2.SyncAsk, lovagemast_pb2.SyncReply]


class ServerSearch(Protocol):
    """Decides which control VM to sync with, and when to leave it."""

    def next_vm(self, now: float) -> str:
        """Return the VM to connect to."""

    def record_failure(self, vm: str, now: float) -> None:
        """Record that a VM did not answer, or that its stream broke."""

    def check_reply(
        self, vm: str, reply: SyncReply, connected_at: float, now: float
    ) -> str:
        """Record a VM's reply; return why to leave it, or an empty text."""


class SyncClient:
    """Keeps one sync stream open and sends requests over it.

    They are sent at intervals and on ``wake``, each after the reply to the
    one before: a request then tells what the sender still lacks.
    """

    def __init__(
        self,
        stub: Stub,
        port: int,
        timing: SyncTiming,
        search: ServerSearch,
        build_ask: BuildAsk,
        on_reply: OnReply,
        on_lost: OnLost,
        log: JsonLog,
    ) -> None:
        self._stub = stub
        self._port = port
        self._timing = timing
        self._search = search
        self._build_ask = build_ask
        self._on_reply = on_reply
        self._on_lost = on_lost
        self._log = log
        self._ask = 0
        self._sent: dict[int, float] = {}
        self._wake = asyncio.Event()
        self._answered = asyncio.Event()
        self._reader: asyncio.Task[None] | None = None
        self._is_leaving = False
        self._is_synced = False
        self.seen = 0  # number of the newest reply on this stream
        self._channel: BoundedChannel | None = None
        self._whole_bytes = 0  # received when the last reply was whole

    def wake(self) -> None:
        """Send the next sync request as soon as the minimum interval allows."""
        self._wake.set()

    def reconnect(self) -> None:
        """Leave the current VM; the search may name another one."""
        if self._reader:
            self._is_leaving = True
            self._reader.cancel()

    async def run(self) -> None:
        """Keep a stream open until cancelled."""
        while True:
            vm = self._search.next_vm(now_s())
            try:
                await self._sync_with(vm)
            except SYNC_ERRORS as exc:
                self._search.record_failure(vm, now_s())
                self._log_lost(vm, repr(exc))
                self._log_cut_off(vm)
                self._on_lost(vm)
            except Exception as exc:  # without a stream, nothing is learned
                self._search.record_failure(vm, now_s())
                self._log.write('sync', 'failed', peer=vm, cause=repr(exc))
                self._is_synced = False
            await asyncio.sleep(SYNC_RECONNECT_DELAY_S)

    def _log_cut_off(self, vm: str) -> None:
        """Log the bytes of a reply that had begun when its stream broke."""
        received = self._channel.received_bytes if self._channel else 0
        if received > self._whole_bytes:
            self._log.write(
                'sync',
                'reply cut off',
                peer=vm,
                received_bytes=received - self._whole_bytes,
            )

    def _log_lost(self, vm: str, cause: str) -> None:
        if self._is_synced:
            self._log.write('sync', 'connection lost', peer=vm, cause=cause)
        self._is_synced = False

    async def _sync_with(self, vm: str) -> None:
        self._sent.clear()
        self._answered.set()
        self.seen = 0
        self._whole_bytes = 0
        channel = BoundedChannel(vm, self._port, config=READ_CONFIG)
        self._channel = channel
        async with channel, self._stub(channel).Sync.open() as stream:
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await stream.send_request()
            sender = asyncio.create_task(self._send_asks(stream))
            self._reader = asyncio.create_task(
                self._read_replies(vm, channel, stream)
            )
            try:
                await self._read_until_left(vm)
            finally:
                sender.cancel()
                await stream.cancel()

    async def _read_until_left(self, vm: str) -> None:
        if self._reader is None:
            return
        try:
            await self._reader
        except asyncio.CancelledError:
            if not self._is_leaving:
                raise
            self._log_lost(vm, 'another VM is to be used')
        finally:
            self._is_leaving = False
            self._reader = None

    async def _send_asks(self, stream: SyncStream) -> None:
        while True:
            await self._answered.wait()
            self._wake.clear()
            self._answered.clear()
            self._ask += 1
            self._sent[self._ask] = now_s()
            try:
                message = to_wire(self._build_ask(self._ask))
                await stream.send_message(message)
            except SYNC_ERRORS as exc:
                self._log.write(
                    'sync', 'sending a sync request failed', cause=repr(exc)
                )
                return
            await asyncio.sleep(self._timing.min_interval_s)
            await self._wait_for_wake()

    async def _wait_for_wake(self) -> None:
        try:
            async with asyncio.timeout(self._timing.interval_s):
                await self._wake.wait()
        except TimeoutError:
            return  # the interval has passed

    async def _read_replies(
        self, vm: str, channel: BoundedChannel, stream: SyncStream
    ) -> None:
        connected_at = now_s()
        while True:
            message = await self._receive(channel, stream)
            if message is None:
                self._log_lost(vm, 'stream ended')
                return
            self._whole_bytes = channel.received_bytes
            reply = from_wire(SyncReply, message)
            self._apply(vm, reply)
            reason = self._search.check_reply(vm, reply, connected_at, now_s())
            if reason:
                self._log_lost(vm, reason)
                return

    async def _receive(
        self, channel: BoundedChannel, stream: SyncStream
    ) -> lovagemast_pb2.SyncReply | None:
        """Return the next reply, ``None`` if the stream is to be left.

        Silence is a time without any byte: a long reply takes a small link
        longer than the time-out.
        """
        receiving = asyncio.ensure_future(stream.recv_message())
        received = -1
        try:
            while not receiving.done():
                if received == channel.received_bytes:
                    raise TimeoutError
                received = channel.received_bytes
                await asyncio.wait(
                    (receiving,), timeout=self._timing.silence_timeout_s
                )
        finally:
            receiving.cancel()
        return receiving.result()

    def _apply(self, vm: str, reply: SyncReply) -> None:
        if not reply.is_push:
            self._answered.set()
        sent_at = self._sent.get(reply.ask)
        if sent_at is None or not reply.serves:
            return
        if not self._is_synced:
            self._is_synced = True
            self._log.write('sync', 'synchronized', peer=vm, term=reply.term)
        self.seen = reply.number
        self._sent = {
            ask: at for ask, at in self._sent.items() if ask >= reply.ask
        }
        self._on_reply(reply, sent_at)
