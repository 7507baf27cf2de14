"""Messages between VMs may take as long as they make progress."""

import asyncio
from typing import Final

import pytest
from lovagemast_core import PeerReceived, PutConfig
from lovagemast_core._messages import Propose
from lovagemast_core.syncrelay import ENTRY_SYNC, RelaySearch
from lovagemast_core.targets import (
    ResidentAdapter,
    SyncAsk,
    SyncReply,
    TargetRecord,
)
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import PeerLinks, PeerService, serve_peers
from lovagemast_node.fleet._sync import SyncClient
from lovagemast_node.fleet._syncservice import EntrySyncService, SyncHandler
from lovagemast_wire import EntriesStub

from tests.smalllinks import NETWORK, SmallLink
from tests.test_links import free_port, wait_until

HOST: Final = f'{NETWORK}.51'
BYTES_PER_S: Final = 500_000.0  # 4 Mbit/s
TIMES: Final = 8  # as long as the time-outs of messages, beyond all buffers
LOG: Final = JsonLog('e1')


async def open_link(port: int) -> int:
    """Return a port from which a slow link leads to another one."""
    entry = free_port()
    await SmallLink(BYTES_PER_S).listen(HOST, entry, port, both_ways=True)
    return entry


async def is_proposed(size: int) -> bool:
    """Return whether a document arrives at another control VM."""
    received: list[PeerReceived] = []
    port = free_port()
    service = PeerService(received.append, LOG)
    server = await serve_peers((service,), HOST, port)
    links = PeerLinks('c1', await open_link(port), LOG)
    message = Propose('p', PutConfig(1, 'x' * size))
    links.send(HOST, message)
    arrived = await wait_until(
        lambda: PeerReceived('c1', message) in received, 20.0
    )
    links.close()
    server.close()
    return arrived


async def are_synced(count: int) -> bool:
    """Return whether all records of many targets arrive at an entry VM."""
    adapters = tuple(ResidentAdapter(f'm/{one:040}@0', 0.1) for one in range(9))
    records = tuple(
        TargetRecord(
            f'i-{one}', 'pool', 'a:1', 'z', 1, 8, False, 0.0, ('m',), adapters
        )
        for one in range(count)
    )
    handler = SyncHandler(
        lambda _session, ask: SyncReply(
            ask.ask, True, HOST, 1, 0.0, targets=records
        ),
        lambda _session: None,
        LOG,
    )
    port = free_port()
    server = await serve_peers((EntrySyncService(handler),), HOST, port)
    known: list[int] = []
    client = SyncClient(
        EntriesStub,
        await open_link(port),
        ENTRY_SYNC,
        RelaySearch('e1', 'z', (HOST,)),
        lambda number: SyncAsk(number, 'e1', 'z', 1, 1, 1),
        lambda reply, _asked_at: known.append(len(reply.targets)),
        lambda _vm: None,
        LOG,
    )
    task = asyncio.create_task(client.run())
    synced = await wait_until(lambda: count in known, 20.0)
    task.cancel()
    server.close()
    return synced


@pytest.mark.parametrize('times', [1, TIMES])
def test_large_proposal_crosses_a_slow_link(times: int) -> None:
    """A change that takes a link longer than a send may wait arrives."""
    assert asyncio.run(is_proposed(round(times * BYTES_PER_S)))


@pytest.mark.parametrize('times', [1, TIMES])
def test_all_records_cross_a_slow_link(times: int) -> None:
    """The first sync of a VM arrives, however many targets there are."""
    record_bytes = 550
    assert asyncio.run(are_synced(round(times * BYTES_PER_S / record_bytes)))
