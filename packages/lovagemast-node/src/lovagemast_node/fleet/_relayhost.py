"""Runs a control VM's relay: its stream to the leader, and entry VMs' ones."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any, Final

from lovagemast_core import PeerMessage, PublishedState
from lovagemast_core.duties import SteadyClock
from lovagemast_core.entry import LeaderSearch
from lovagemast_core.streams import PoolSoftware, StreamMessage
from lovagemast_core.syncrelay import RELAY_SYNC, Rollout, SyncRelay
from lovagemast_core.targets import (
    LimitReport,
    SyncAsk,
    SyncReply,
    TargetRecord,
)
from lovagemast_wire import RelaysStub

from .._clock import now_s, wall_s
from ._jsonlog import JsonLog
from ._settings import ControlSettings
from ._softwareapi import SoftwareHistory
from ._sync import SYNC_ERRORS, SyncClient
from ._syncservice import EntrySyncService, SyncHandler, SyncSession
from ._transfers import DocumentTransfers

EPOCH_BITS: Final = 62
MIN_PUSH_DELAY_S: Final = 0.004  # gathers changes that come together
MAX_PUSH_DELAY_S: Final = 0.5
STREAM_SHARE_DELAY_S: Final = 0.02  # gathers streams that begin together
ROLLOUT_INTERVAL_S: Final = 0.1  # between looks at who has a revision
MAX_LOGGED_VMS: Final = 20

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class LeaderServerSearch:
    """Finds the leader among the control VMs for the relay's stream."""

    def __init__(self, vms: Callable[[], tuple[str, ...]]) -> None:
        self._vms = vms
        self._search = LeaderSearch()

    def next_vm(self, now: float) -> str:
        """Return the control VM to connect to."""
        return self._search.next_vm(self._vms(), now)

    def record_leader(self, vm: str, term: int) -> None:
        """Record the leader that the replica on this VM knows."""
        self._search.record_hint(vm, term)

    def record_failure(self, vm: str, now: float) -> None:
        """Record that a VM did not answer, or that its stream broke."""
        self._search.record_failure(vm, now)

    def check_reply(
        self, vm: str, reply: SyncReply, connected_at: float, now: float
    ) -> str:
        """Record a reply; return why to leave the VM, or an empty text."""
        self._search.record_answer(vm)
        if reply.serves:
            return ''
        self._search.record_hint(reply.leader, reply.term)
        return 'VM is not the leader'


class RelayHost:
    """Connects a relay, which decides without I/O, to its streams."""

    def __init__(
        self,
        cfg: ControlSettings,
        vms: Callable[[], tuple[str, ...]],
        find_published: Callable[[], PublishedState],
        on_records: Callable[[tuple[TargetRecord, ...]], None],
        send_peer: Callable[[str, PeerMessage], None],
        spawn: Spawn,
        log: JsonLog,
    ) -> None:
        epoch = secrets.randbits(EPOCH_BITS) + 1
        self._relay = SyncRelay(cfg.vm, cfg.zone, epoch)
        self._clock = SteadyClock(wall_s(), now_s()) if cfg.cloud else None
        self._vms = vms
        self._software = SoftwareHistory()
        self._find_published = find_published
        self._on_records = on_records
        self._send_peer = send_peer
        self._spawn = spawn
        self._log = log
        self._handler = SyncHandler(self._on_ask, self._on_close, log)
        self.service = EntrySyncService(self._handler)
        self._search = LeaderServerSearch(vms)
        self._transfers = DocumentTransfers(
            self._relay.view.documents, self._request_sync, log
        )
        self._client = SyncClient(
            RelaysStub,
            cfg.peer_port,
            RELAY_SYNC,
            self._search,
            self._build_ask,
            self._on_reply,
            self._transfers.on_lost,
            log,
        )
        self._changed = asyncio.Event()
        self._has_stream_messages = asyncio.Event()

    async def run(self) -> None:
        """Sync with the leader and push its changes until cancelled."""
        await asyncio.gather(
            self._client.run(),
            self._push_changes(),
            self._share_streams(),
            self._report_rollouts(),
        )

    def on_software(
        self, software: tuple[PoolSoftware, ...], retention_s: float
    ) -> None:
        """Log pools' software versions; remember streams for some time."""
        self._relay.streams.table.retention_s = retention_s
        self._software.update(software, now_s())
        for pool, versions in software:
            self._log.write(
                'target', 'software versions', pool=pool, versions=versions
            )

    def on_stream_message(self, sender: str, message: StreamMessage) -> None:
        """Handle a message about streams from another control VM."""
        streams = self._relay.streams
        answer = streams.receive(sender, message, now_s())
        if answer:
            self._send_peer(sender, answer)

    def describe_software(self) -> dict[str, Any]:
        """Return the document that lists targets' software versions."""
        known = self._relay.view.targets.values()
        return self._software.describe((one.record for one in known), now_s())

    def rollout(self) -> Rollout:
        """Return how far the newest revision has come."""
        return self._relay.rollouts.look(now_s())

    @property
    def known_streams(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._relay.streams.table)

    def limits(self) -> tuple[LimitReport, ...]:
        """Return what targets last said of their limits."""
        return self._relay.limits(now_s())

    def on_leader_changed(self, leader: str, term: int) -> None:
        """Sync with a new leader that the replica on this VM has learned of."""
        if leader:
            self._search.record_leader(leader, term)
            self._client.reconnect()

    def _request_sync(self) -> None:
        self._client.wake()

    def _build_ask(self, number: int) -> SyncAsk:
        now = now_s()
        self._offer_document()
        utc_s = self._clock.read(wall_s(), now) if self._clock else 0.0
        return self._relay.build_ask(number, now, utc_s)

    def _on_ask(self, session: SyncSession, ask: SyncAsk) -> SyncReply:
        reply = self._relay.on_ask(session.number, ask, now_s())
        if self._relay.needs_leader(ask):
            self._client.wake()
        if self._relay.streams.has_messages:
            self._has_stream_messages.set()
        return reply

    def _on_close(self, session: SyncSession) -> None:
        if session.ask:
            self._relay.on_disconnect(session.ask.vm, session.number)

    def _on_reply(self, reply: SyncReply, asked_at: float) -> None:
        self._relay.on_reply(reply, asked_at, now_s())
        self._offer_document()
        self._transfers.on_reply(reply)
        self._on_records(reply.targets)
        self._changed.set()

    def _offer_document(self) -> None:
        """Take the newest document from the replica on this VM.

        It has usually come with the log, and is sent only once then.
        """
        if not self._relay.view.documents.is_current:
            published = self._find_published()
            self._relay.state.offer(published.revision, published.document)

    async def _report_rollouts(self) -> None:
        while True:
            await asyncio.sleep(ROLLOUT_INTERVAL_S)
            rollout = self._relay.rollouts.report(now_s())
            if rollout:
                self._log_rollout(rollout)

    def _log_rollout(self, rollout: Rollout) -> None:
        self._log.write(
            'config',
            'not in force everywhere' if rollout.behind else 'rolled out',
            revision=rollout.revision,
            entries=rollout.entries,
            behind=rollout.behind[:MAX_LOGGED_VMS],
            behind_count=len(rollout.behind),
            took_s=round(rollout.took_s, 3),
        )

    async def _share_streams(self) -> None:
        while True:
            await self._has_stream_messages.wait()
            self._has_stream_messages.clear()
            zones = dict.fromkeys(self._vms(), '')
            known = self._relay.view.relays
            zones.update({relay.vm: relay.zone for relay in known})
            streams = self._relay.streams
            for vm, message in streams.take_messages(zones, now_s()):
                self._send_peer(vm, message)
            await asyncio.sleep(STREAM_SHARE_DELAY_S)

    async def _push_changes(self) -> None:
        while True:
            await self._wait_for_change()
            for vm in self._relay.pushes_due(now_s()):
                session = self._handler.sessions.get(self._relay.session_of(vm))
                if session and not session.is_sending:
                    self._spawn(self._push(vm, session))
            await asyncio.sleep(MIN_PUSH_DELAY_S)

    async def _wait_for_change(self) -> None:
        """Wait for a reply of the leader, or until the next push is due."""
        due_at = self._relay.next_push_at()
        delay_s = MAX_PUSH_DELAY_S
        if due_at is not None:
            delay_s = max(0.0, min(delay_s, due_at - now_s()))
        try:
            async with asyncio.timeout(delay_s):
                await self._changed.wait()
        except TimeoutError:
            return  # a push is due
        self._changed.clear()

    async def _push(self, vm: str, session: SyncSession) -> None:
        try:
            await session.send(lambda: self._relay.make_push(vm, now_s()))
        except SYNC_ERRORS as exc:
            self._log.write('sync', 'push failed', peer=vm, cause=repr(exc))
