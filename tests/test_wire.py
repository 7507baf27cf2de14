"""Tests of the encoding of peer messages and log records."""

import types
import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lovagemast_core import (
    Applied,
    ApplyConfig,
    ClaimCall,
    CrashNoted,
    Entry,
    HardState,
    PeerMessage,
    SavedSnapshot,
    SetVoters,
)
from lovagemast_core import _messages as messages
from lovagemast_core.duties import (
    AccountCount,
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    SetDesired,
    SetDutyHolder,
    UsageReport,
)
from lovagemast_wire import (
    Envelope,
    WireError,
    decode_envelope,
    decode_record,
    encode_envelope,
    encode_record,
)

KINDS = typing.get_args(PeerMessage)


def strategy_for(hint: typing.Any) -> st.SearchStrategy[typing.Any]:
    """Return a strategy for values of a field's annotated type."""
    if typing.get_origin(hint) is tuple:
        member = strategy_for(typing.get_args(hint)[0])
        return st.lists(member, max_size=2).map(tuple)
    if hint == messages.Command:
        return st.sampled_from(
            (
                ApplyConfig('o', 1, '{}'),
                ClaimCall('c', 'f', 'h', 1.5),
                SetVoters(('a', 'b')),
                CommitUsage(UsageReport(7, (AccountCount('a', 3),))),
                ConfirmUsage(7),
                SetDutyHolder(2, 'c1', 1.5),
                SetDesired('p', 'z', 4),
                ConfirmDesired('p', 'z', 9),
            ),
        )
    if hint == messages.Outcome:
        return st.sampled_from((Applied(3), CrashNoted(('f',))))
    if hasattr(hint, '_fields'):
        return record_strategy(hint)
    if typing.get_origin(hint) is types.UnionType:
        return st.none() | strategy_for(typing.get_args(hint)[0])
    if hint is int:
        return st.integers(-(2**62), 2**62)
    return st.from_type(hint)


def record_strategy(record: type) -> st.SearchStrategy[typing.Any]:
    """Return a strategy for instances of a named tuple."""
    hints = typing.get_type_hints(record)
    return st.builds(
        record,
        **{name: strategy_for(hint) for name, hint in hints.items()},
    )


class TestEnvelope:
    """Encoding of peer messages."""

    @pytest.mark.parametrize('kind', KINDS, ids=lambda kind: kind.__name__)
    def test_every_kind(self, kind: type) -> None:
        """Every kind of message is decoded to an equal one."""

        @given(record_strategy(kind))
        def check(message: typing.Any) -> None:
            sent = encode_envelope('vm1', message).SerializeToString()
            received = decode_envelope(Envelope.FromString(sent))
            assert received.sender == 'vm1'
            assert repr(received.message) == repr(message)

        check()

    def test_unknown_kind(self) -> None:
        """An envelope without a message raises an error."""
        with pytest.raises(WireError):
            decode_envelope(Envelope(sender='vm1'))


class TestLogRecord:
    """Encoding of log records."""

    @pytest.mark.parametrize(
        'record',
        [
            'vm1#abc',
            7,
            HardState(4, 'vm2#d'),
            Entry(3, 2, SetVoters(('a',))),
            SavedSnapshot(5, 2, ('a', 'b')),
        ],
    )
    def test_every_kind(self, record: typing.Any) -> None:
        """Every kind of record is decoded to an equal one."""
        assert decode_record(encode_record(record)) == record

    @pytest.mark.parametrize('encoded', [b'', b'\xff\xff\xff'])
    def test_bad_bytes(self, encoded: bytes) -> None:
        """Bytes that are not a record raise an error."""
        with pytest.raises(WireError):
            decode_record(encoded)
