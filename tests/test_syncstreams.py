"""Sync streams that meet values they cannot carry or apply."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import pytest
from lovagemast_core.syncrelay import ENTRY_SYNC, RelaySearch
from lovagemast_core.targets import (
    SyncAsk,
    SyncReply,
    TargetLoad,
    TargetRecord,
)
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._peers import serve_peers
from lovagemast_node.fleet._sync import SyncClient
from lovagemast_node.fleet._syncservice import (
    EntrySyncService,
    SyncHandler,
    SyncReplyEncoder,
)
from lovagemast_wire import EntriesStub, from_wire, lovagemast_pb2, to_wire

from tests.test_links import HOST, free_port, wait_until

RECORD: Final = TargetRecord('t1', 'p', 't1:80', 'z', 1, 8, False, 0.0)
ODD_RECORDS: Final = (
    RECORD._replace(slots=2**70),
    RECORD._replace(incarnation=2**70),
    RECORD._replace(zone='\ud800'),
    RECORD._replace(models=('\ud800',)),
)
LOG: Final = JsonLog('c1')


def _ignore(_vm: str) -> None:
    """Take no note of a lost stream."""


def reply_to(ask: SyncAsk) -> SyncReply:
    """Return a reply without content."""
    return SyncReply(ask.ask, True, 'c1', 1, 0.0)


@pytest.mark.parametrize('odd', ODD_RECORDS)
def test_odd_record_leaves_the_others(odd: TargetRecord) -> None:
    """One record that cannot be encoded ended the leader."""
    reply = SyncReply(1, True, 'c1', 1, 0.0, targets=(odd, RECORD))
    encoded = SyncReplyEncoder(LOG).encode(reply)
    message = lovagemast_pb2.SyncReply.FromString(encoded)
    assert [one.target for one in message.targets] == ['t1']
    assert message.targets[0].slots == RECORD.slots


def test_shared_parts_are_those_of_the_message() -> None:
    """Records that are encoded once must arrive as if encoded with all."""
    encoder = SyncReplyEncoder(LOG)
    other = RECORD._replace(target='t2', models=('m',), cold_s=0.5)
    loads = (TargetLoad('t1', 3), TargetLoad('t2', 0))
    for number in range(1, 3):
        reply = SyncReply(
            number, True, 'c1', 1, 0.25, targets=(RECORD, other), loads=loads
        )
        message = lovagemast_pb2.SyncReply.FromString(encoder.encode(reply))
        assert message == to_wire(reply)
        assert from_wire(SyncReply, message) == reply


async def replies_after(
    on_reply: Callable[[int], None],
    build: Callable[[int], SyncAsk],
) -> int:
    """Sync with a server; return the number of replies that were applied."""
    port = free_port()
    service = EntrySyncService(
        SyncHandler(
            lambda _session, ask: reply_to(ask), lambda _session: None, LOG
        )
    )
    server = await serve_peers((service,), HOST, port)
    applied: list[int] = []

    def apply(reply: SyncReply, _asked_at: float) -> None:
        on_reply(reply.ask)
        applied.append(reply.ask)

    search = RelaySearch('e1', 'z', (HOST,))
    client = SyncClient(
        EntriesStub, port, ENTRY_SYNC, search, build, apply, _ignore, LOG
    )
    task = asyncio.create_task(client.run())
    await wait_until(lambda: len(applied) > 1)
    task.cancel()
    server.close()
    await server.wait_closed()
    return len(applied)


def make_ask(number: int, **changes: Any) -> SyncAsk:
    """Return a request of an entry VM that knows nothing."""
    return SyncAsk(number, 'e1', 'z', 0, 0, 0)._replace(**changes)


def test_sync_outlives_a_reply_it_cannot_apply() -> None:
    """An entry VM served on with what it knew, and learned nothing more."""

    def fail_first(number: int) -> None:
        if number == 1:
            raise KeyError(number)

    assert asyncio.run(replies_after(fail_first, make_ask)) > 1


def test_sync_outlives_a_request_it_cannot_encode() -> None:
    """The next request is sent over a new stream."""

    def build(number: int) -> SyncAsk:
        return make_ask(number, version=2**70 if number == 1 else 0)

    assert asyncio.run(replies_after(lambda _number: None, build)) > 1
