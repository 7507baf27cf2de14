"""Keeps an entry VM in step with the VM that leads."""

import asyncio
from collections.abc import Callable
from typing import Final

from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from lovagemast_core.entry import LeaderSearch
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_wire import (
    EntriesStub,
    WireError,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from ._lines import LineLog
from ._peers import CONNECT_TIMEOUT_S, STREAM_ERRORS

ASK_INTERVAL_S: Final = 0.2
LEAST_INTERVAL_S: Final = 0.01  # between asks when requests wait
# The leader answers all entry VMs: with many of them, each asks less often.
ASK_INTERVAL_BY_ENTRY_S: Final = 0.005
LEAST_INTERVAL_BY_ENTRY_S: Final = 0.0008
REPLY_TIMEOUT_S: Final = 0.5  # below the time in which a leader is elected
RETRY_S: Final = 0.05
SYNC_ERRORS: Final = (*STREAM_ERRORS, WireError)

Compose = Callable[[int], SyncAsk]
OnReply = Callable[[SyncReply, float], None]
SyncStream = ClientStream[lovagemast_pb2.SyncAsk, lovagemast_pb2.SyncReply]


class SyncClient:
    """Finds the leader among the control VMs and asks it at intervals."""

    def __init__(
        self,
        vms: Callable[[], tuple[str, ...]],
        port: int,
        compose: Compose,
        on_reply: OnReply,
        log: LineLog,
    ) -> None:
        self._vms = vms
        self._port = port
        self._compose = compose
        self._on_reply = on_reply
        self._log = log
        self._search = LeaderSearch()
        self._ask = 0
        self._sent: dict[int, float] = {}
        self._wake = asyncio.Event()
        self._in_step = False
        self._entries = 1  # entry VMs that ask the same leader

    def wake(self) -> None:
        """Ask as soon as possible."""
        self._wake.set()

    async def run(self) -> None:
        """Stay in step until cancelled."""
        while True:
            vm = self._search.next_vm(self._vms(), now_s())
            try:
                await self._follow(vm)
            except SYNC_ERRORS as exc:
                self._search.record_failure(vm, now_s())
                self._note_lost(vm, repr(exc))
            await asyncio.sleep(RETRY_S)

    def _note_lost(self, vm: str, cause: str) -> None:
        if self._in_step:
            self._log.write('sync', 'leader lost', leader=vm, cause=cause)
        self._in_step = False

    async def _follow(self, vm: str) -> None:
        self._sent.clear()
        async with (
            Channel(vm, self._port) as channel,
            EntriesStub(channel).Sync.open() as stream,
        ):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
            message = to_wire(self._compose(self._ask))
            try:
                await stream.send_message(message)
            except STREAM_ERRORS as exc:
                self._log.write('sync', 'ask failed', cause=repr(exc))
                return
            least_s = LEAST_INTERVAL_BY_ENTRY_S * self._entries
            await asyncio.sleep(max(LEAST_INTERVAL_S, least_s))
            await self._wait_for_wake()

    async def _wait_for_wake(self) -> None:
        waiter = asyncio.ensure_future(self._wake.wait())
        interval_s = ASK_INTERVAL_BY_ENTRY_S * self._entries
        timeout_s = max(ASK_INTERVAL_S, interval_s)
        await asyncio.wait((waiter,), timeout=timeout_s)
        waiter.cancel()

    async def _read_replies(self, vm: str, stream: SyncStream) -> None:
        while True:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                message = await stream.recv_message()
            if message is None:
                self._note_lost(vm, 'stream ended')
                return
            reply = from_wire(SyncReply, message)
            self._search.record_answer(vm)
            if not reply.leads:
                self._search.record_hint(reply.leader, reply.term)
                self._note_lost(vm, 'does not lead')
                return
            if not self._in_step:
                self._in_step = True
                self._log.write('sync', 'in step', leader=vm, term=reply.term)
            self._apply(reply)

    def _apply(self, reply: SyncReply) -> None:
        sent_at = self._sent.get(reply.ask)
        if sent_at is None:
            return
        self._sent = {
            ask: at for ask, at in self._sent.items() if ask >= reply.ask
        }
        self._entries = reply.entries
        self._on_reply(reply, sent_at)
