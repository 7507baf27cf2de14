"""Connections between VMs: one outgoing gRPC stream for each peer."""

import asyncio
from typing import Final

from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from lovagemast_core import SendPeer
from lovagemast_wire import (
    Closed,
    Envelope,
    PeersBase,
    PeersStub,
    WireError,
    decode_envelope,
    encode_envelope,
)

from ._h2 import BoundedChannel, BoundedServer
from ._logs import PartLogger
from ._nodetask import Handler, NodeTask
from ._settings import Listen

_log = PartLogger.from_part('peers')
RECONNECT_DELAY_S: Final = 0.3
MAX_QUEUED_MESSAGES: Final = 10_000
MAX_QUEUED_BYTES: Final = 16_777_216
STREAM_WINDOW_BYTES: Final = 262_144  # of a stream, unread
CONNECT_TIMEOUT_S: Final = 2.0
KEEPALIVE_INTERVAL_S: Final = 1.0
KEEPALIVE_TIMEOUT_S: Final = 1.5  # then the connection is replaced

_CONNECTION_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    asyncio.TimeoutError,
)


class PeerService(PeersBase):
    """Receives the message streams of other VMs."""

    def __init__(self, node_task: NodeTask) -> None:
        self._node_task = node_task

    async def Exchange(
        self,
        stream: 'Stream[Envelope, Closed]',
    ) -> None:
        """Post each message; skip those of a newer protocol version."""
        async for envelope in stream:
            try:
                event = decode_envelope(envelope)
            except WireError as exc:
                _log.warning('skipped a peer message: %s', exc)
                continue
            self._node_task.post(event)
        await stream.send_message(Closed())


class PeerLink:
    """Maintains the connection to one VM and reconnects after failures."""

    def __init__(self, own_vm: str, vm: str, address: str) -> None:
        self.address = address
        self._own_vm = own_vm
        self._vm = vm
        self._queue: asyncio.Queue[Envelope] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self.queued_bytes = 0

    def send(self, effect: SendPeer) -> None:
        """Queue a message, dropping the oldest ones if the queue is full."""
        envelope = encode_envelope(self._own_vm, effect.message)
        self.queued_bytes += envelope.ByteSize()
        while self._is_over_bounds() and not self._queue.empty():
            self._release(self._queue.get_nowait())
        self._queue.put_nowait(envelope)

    async def run(self) -> None:
        """Keep the connection open until cancelled."""
        while True:
            try:
                await self._stream_messages()
            except _CONNECTION_ERRORS as exc:
                _log.debug('connection to VM %s failed: %r', self._vm, exc)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _stream_messages(self) -> None:
        host, _, port = self.address.rpartition(':')
        config = Configuration(
            _keepalive_time=KEEPALIVE_INTERVAL_S,
            _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=KEEPALIVE_INTERVAL_S,
        )
        async with (
            BoundedChannel(host, int(port), config=config) as channel,
            PeersStub(channel).Exchange.open() as stream,
        ):
            await asyncio.wait_for(stream.send_request(), CONNECT_TIMEOUT_S)
            self._discard_queued()
            _log.info('connected to VM %s', self._vm)
            while True:
                envelope = await self._queue.get()
                self._release(envelope)
                await stream.send_message(envelope)

    def _discard_queued(self) -> None:
        while not self._queue.empty():
            self._release(self._queue.get_nowait())

    def _is_over_bounds(self) -> bool:
        return self._queue.full() or self.queued_bytes > MAX_QUEUED_BYTES

    def _release(self, envelope: Envelope) -> None:
        self.queued_bytes -= envelope.ByteSize()


class PeerLinks:
    """Opens and closes connections as the roster changes."""

    def __init__(self, own_vm: str, node_task: NodeTask) -> None:
        self._own_vm = own_vm
        self._node_task = node_task
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""
        return {SendPeer: self._send}

    def refresh(self) -> None:
        """Adapt the connections to the node's current peer addresses."""
        addresses = self._node_task.node.addresses()
        for vm in list(self._links):
            if addresses.get(vm) != self._links[vm].address:
                self._links.pop(vm)
                self._tasks.pop(vm).cancel()
        for vm, address in addresses.items():
            if vm not in self._links:
                self._open(vm, address)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks.values():
            task.cancel()

    def _send(self, effect: SendPeer) -> None:
        link = self._links.get(effect.vm)
        if link is None:
            self.refresh()
            link = self._links.get(effect.vm)
        if link:
            link.send(effect)

    def _open(self, vm: str, address: str) -> None:
        link = PeerLink(self._own_vm, vm, address)
        self._links[vm] = link
        self._tasks[vm] = asyncio.create_task(link.run(), name=f'peer {vm}')


async def serve_peers(listen: Listen, node_task: NodeTask) -> Server:
    """Listen for connections of other VMs."""
    config = Configuration(http2_stream_window_size=STREAM_WINDOW_BYTES)
    server = BoundedServer([PeerService(node_task)], config=config)
    await server.start(listen.host, listen.port)
    return server
