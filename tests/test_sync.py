"""Tests of the records and replies that the leader sends to entry VMs."""

import pytest
from lovagemast_core.targets import (
    ResidentAdapter,
    SyncAsk,
    SyncReply,
    TargetRecord,
)
from lovagemast_node.fleet import _syncservice
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_wire import from_wire, lovagemast_pb2

from tests.controlcluster import Cluster, make_config

ENTRIES = 61
TARGETS = 33


def make_record(index: int) -> TargetRecord:
    """Return the record of an engine with twenty adapters."""
    adapters = tuple(ResidentAdapter(f'm/a{one}@0', 0.1) for one in range(20))
    return TargetRecord(
        f'e{index}',
        'pool',
        f'e{index}:80',
        'z1',
        1,
        48,
        leaving=False,
        cold_s=0.0,
        models=('m',),
        adapters=adapters,
    )


def decode_reply(encoded: bytes) -> SyncReply:
    """Return a reply as its receiver decodes it."""
    message = lovagemast_pb2.SyncReply.FromString(encoded)
    reply: SyncReply = from_wire(SyncReply, message)
    return reply


class TestRecordEncoder:
    def test_each_record_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Each record is encoded once for all entry VMs.

        Encoding it for every entry VM would delay the leader's heartbeats
        after an election until it is replaced.
        """
        encoded = []
        to_wire = _syncservice.to_wire

        def count(message: object) -> object:
            if isinstance(message, TargetRecord):
                encoded.append(message.target)
            return to_wire(message)

        monkeypatch.setattr(_syncservice, 'to_wire', count)
        encoder = _syncservice.SyncReplyEncoder(JsonLog('c1'))
        records = tuple(make_record(index) for index in range(TARGETS))
        for ask in range(ENTRIES):
            reply = SyncReply(ask, True, 'c1', 1, 0.0, targets=records)
            assert decode_reply(encoder.encode(reply)) == reply
        assert len(encoded) == TARGETS

    def test_changed_record_is_encoded_anew(self) -> None:
        """A changed record of the same target is encoded again."""
        encoder = _syncservice.SyncReplyEncoder(JsonLog('c1'))
        for leaving in (False, True, False):
            record = make_record(1)._replace(leaving=leaving)
            reply = SyncReply(1, True, 'c1', 1, 0.0, targets=(record,))
            assert decode_reply(encoder.encode(reply)) == reply


class TestRecords:
    def test_same_record_for_all(self) -> None:
        """Entry VMs that ask at the same time get the same record object.

        The encoder's cache needs this: it identifies records by ``id``.
        """
        cluster = Cluster()
        cluster.run(2.0)
        cluster.propose(cluster.leader(), make_config(5))
        cluster.run(0.5)
        cluster.send_heartbeats('e1')
        node = cluster.nodes[cluster.leader()]
        ask = SyncAsk(1, 'f1', 'z1', 0, 0, 0)
        first = node.on_ask(ask, cluster.now).targets[0]
        again = node.on_ask(ask._replace(vm='f2'), cluster.now).targets[0]
        assert first is again
        node.on_departure('e1', 1, cluster.now)
        assert node.on_ask(ask, cluster.now).targets == ()
