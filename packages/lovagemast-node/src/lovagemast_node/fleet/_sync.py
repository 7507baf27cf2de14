"""Synchronizes an entry VM with the leader of the control VMs."""

import asyncio
from collections.abc import Callable
from typing import Final

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from lovagemast_core.entry import LeaderSearch, SyncTiming
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import (
    EntriesStub,
    WireError,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from ._jsonlog import JsonLog
from ._peers import PEER_CONNECT_TIMEOUT_S, STREAM_ERRORS

SYNC_RECONNECT_DELAY_S: Final = 0.05
SYNC_ERRORS: Final = (*STREAM_ERRORS, WireError)

BuildAsk = Callable[[int], SyncAsk]
OnReply = Callable[[SyncReply, float], None]
SyncStream = ClientStream[lovagemast_pb2.SyncAsk, lovagemast_pb2.SyncReply]


class SyncClient:
    """Finds the leader among the control VMs and sends it sync requests.

    They are ``SyncAsk`` messages, sent at intervals and on ``wake``.
    """

    def __init__(
        self,
        vms: Callable[[], tuple[str, ...]],
        port: int,
        build_ask: BuildAsk,
        on_reply: OnReply,
        log: JsonLog,
    ) -> None:
        self._vms = vms
        self._port = port
        self._build_ask = build_ask
        self._on_reply = on_reply
        self._log = log
        self._search = LeaderSearch()
        self._ask = 0
        self._sent: dict[int, float] = {}
        self._wake = asyncio.Event()
        self._is_synced = False
        self._timing = SyncTiming.for_entries(1)

    def wake(self) -> None:
        """Send the next sync request as soon as the minimum interval allows."""
        self._wake.set()

    async def run(self) -> None:
        """Keep a stream to the leader open until cancelled."""
        while True:
            vm = self._search.next_vm(self._vms(), now_s())
            try:
                await self._sync_with(vm)
            except SYNC_ERRORS as exc:
                self._search.record_failure(vm, now_s())
                self._log_lost(vm, repr(exc))
            await asyncio.sleep(SYNC_RECONNECT_DELAY_S)

    def _log_lost(self, vm: str, cause: str) -> None:
        if self._is_synced:
            self._log.write(
                'sync', 'connection to the leader lost', leader=vm, cause=cause
            )
        self._is_synced = False

    async def _sync_with(self, vm: str) -> None:
        self._sent.clear()
        async with (
            Channel(vm, self._port) as channel,
            EntriesStub(channel).Sync.open() as stream,
        ):
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await stream.send_request()
            sender = asyncio.create_task(self._send_asks(stream))
            try:
                await self._read_replies(vm, stream)
            finally:
                sender.cancel()
                await stream.cancel()

    async def _send_asks(self, stream: SyncStream) -> None:
        while True:
            self._wake.clear()
            self._ask += 1
            self._sent[self._ask] = now_s()
            message = to_wire(self._build_ask(self._ask))
            try:
                await stream.send_message(message)
            except STREAM_ERRORS as exc:
                self._log.write(
                    'sync', 'sending a sync request failed', cause=repr(exc)
                )
                return
            await asyncio.sleep(self._timing.min_interval_s)
            await self._wait_for_wake()

    async def _wait_for_wake(self) -> None:
        waiter = asyncio.ensure_future(self._wake.wait())
        await asyncio.wait((waiter,), timeout=self._timing.interval_s)
        waiter.cancel()

    async def _read_replies(self, vm: str, stream: SyncStream) -> None:
        while True:
            async with asyncio.timeout(self._timing.silence_timeout_s):
                message = await stream.recv_message()
            if message is None:
                self._log_lost(vm, 'stream ended')
                return
            reply = from_wire(SyncReply, message)
            self._search.record_answer(vm)
            if not reply.leads:
                self._search.record_hint(reply.leader, reply.term)
                self._log_lost(vm, 'VM is not the leader')
                return
            if not self._is_synced:
                self._is_synced = True
                self._log.write(
                    'sync',
                    'synchronized with the leader',
                    leader=vm,
                    term=reply.term,
                )
            self._apply(reply)

    def _apply(self, reply: SyncReply) -> None:
        sent_at = self._sent.get(reply.ask)
        if sent_at is None:
            return
        self._sent = {
            ask: at for ask, at in self._sent.items() if ask >= reply.ask
        }
        self._timing = SyncTiming.for_entries(reply.entries)
        self._on_reply(reply, sent_at)
