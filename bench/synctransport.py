"""Processor time of sync streams over sockets, with small messages.

Both ends run in this process, so that a round trip includes both.
"""

import asyncio
import contextlib
import socket
import time
from typing import Final

from lovagemast_core.syncrelay import SyncTiming
from lovagemast_core.targets import SyncAsk, SyncReply, TokenLot, TokenWish
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import serve_peers
from lovagemast_node.fleet._sync import SyncClient
from lovagemast_node.fleet._syncservice import (
    EntrySyncService,
    SyncHandler,
    SyncSession,
)
from lovagemast_wire import EntriesStub

HOST: Final = '127.0.0.1'
STREAMS: Final = 4
WARM_UP_S: Final = 1.0
TIMING: Final = SyncTiming(0.01, 0.005, 2.0)


class _Server:
    """Finds the one server that there is."""

    def next_vm(self, now: float) -> str:
        """Return the server's address."""
        return HOST

    def record_failure(self, vm: str, now: float) -> None:
        """Take no note of failures."""

    def check_reply(
        self, vm: str, reply: SyncReply, connected_at: float, now: float
    ) -> str:
        """Stay."""
        return ''


class TransportLoad:
    """Clients that sync with one server as often as they may."""

    def __init__(self) -> None:
        self.replies = 0
        self._log = JsonLog('bench')

    async def run(self, seconds: float) -> float:
        """Return the processor time of a round trip, in us."""
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
        handler = SyncHandler(self._answer, lambda _session: None, self._log)
        server = await serve_peers((EntrySyncService(handler),), HOST, port)
        clients = [
            SyncClient(
                EntriesStub,
                port,
                TIMING,
                _Server(),
                self._ask,
                self._on_reply,
                lambda _vm: None,
                self._log,
            )
            for _number in range(STREAMS)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(WARM_UP_S)
        started = (time.process_time(), self.replies)
        await asyncio.sleep(seconds)
        spent_s = time.process_time() - started[0]
        replies = self.replies - started[1]
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        server.close()
        return spent_s / replies * 1e6

    def _answer(self, session: SyncSession, ask: SyncAsk) -> SyncReply:
        lots = (TokenLot('account', 100.0),)
        return SyncReply(ask.ask, True, '', 1, 0.01, lots=lots)

    def _ask(self, number: int) -> SyncAsk:
        wishes = (TokenWish('account', 100.0),)
        return SyncAsk(number, 'vm', 'zone', 1, 1, 1, wishes)

    def _on_reply(self, reply: SyncReply, asked_at: float) -> None:
        self.replies += 1
