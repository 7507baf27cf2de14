"""Tests of the codec for the headers of callers and targets."""

import math

import pytest
from lovagemast_node.fleet import (
    TargetRequestMetadata,
)
from lovagemast_node.http import ResponseHead
from lovagemast_platform._entry import PlatformEntryCodec


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('X-Token-Count', '-5,1'),
        ('X-Token-Count', 'nan,1'),
        ('X-Token-Count', '1,inf'),
        ('X-Deadline-Ms', 'nan'),
        ('X-Deadline-Ms', 'inf'),
        ('X-Deadline-Ms', '-1'),
    ],
)
def test_invalid_numbers_count_as_absent(name: str, text: str) -> None:
    """Such a number would refill a quota, or end no wait."""
    headers = ((b'X-Request-Id', b'r'), (name.encode(), text.encode()))
    metadata = PlatformEntryCodec().decode_request(headers)
    assert metadata
    assert metadata.tokens is None
    assert metadata.deadline_s is None


@pytest.mark.parametrize(
    ('text', 'is_refused'),
    [
        ('1e308,1e308', True),
        ('1e13,1', True),
        ('1,1e300', True),
        ('100,20', False),
        ('1e12,1e12', False),
        ('0,0', False),
    ],
)
def test_token_counts_without_end(text: str, *, is_refused: bool) -> None:
    """Counts whose sums are not exact are refused with the request.

    Guards against an account that got 429 until the VM restarted: its waiting
    tokens had become infinite, and stayed so once the request was gone.
    """
    headers = ((b'X-Request-Id', b'r'), (b'X-Token-Count', text.encode()))
    metadata = PlatformEntryCodec().decode_request(headers)
    assert (metadata is None) == is_refused


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('', ()),
        ('a1:5', ()),
        ('A1:5,b2:7, c3:9', ('a1', 'b2')),
        ('a1:5,,a1:6,b2', ('a1',)),
    ],
)
def test_shared_parts_of_a_prompt(text: str, parts: tuple[str, ...]) -> None:
    """The last part is the request's own, and is left out."""
    headers = ((b'X-Request-Id', b'r'), (b'X-Prompt-Prefix', text.encode()))
    metadata = PlatformEntryCodec().decode_request(headers)
    assert metadata
    assert metadata.parts == parts


HEADERS = (
    (b'Host', b'shop.example'),
    (b'X-Request-Id', b'r1'),
    (b'Authorization', b'Bearer k1'),
    (b'X-Model', b'm/a3'),
    (b'X-Token-Count', b'100,20'),
    (b'X-Deadline-Ms', b'1500'),
    (b'X-Tenant', b'forged'),
    (b'X-Hold', b'forged'),
    (b'Kv-From', b'forged'),
    (b'Connection', b'X-Secret'),
    (b'X-Secret', b'hop'),
    (b'X-Kept', b'kept'),
)


class TestEdge:
    def test_reads_a_call(self) -> None:
        """Key, model, adapter, token count and deadline come from headers."""
        metadata = PlatformEntryCodec().decode_request(HEADERS)
        assert metadata
        assert (metadata.key, metadata.model, metadata.adapter) == (
            'k1',
            'm',
            'a3',
        )
        assert (metadata.tokens, metadata.deadline_s) == (120.0, 1.5)

    @pytest.mark.parametrize(
        'extra',
        [b'X-Request-Id', b'Authorization', b'X-Model', b'X-Token-Count'],
    )
    def test_doubled_headers(self, extra: bytes) -> None:
        """A repeated header is rejected: targets might use another value."""
        headers = (*HEADERS, (extra, b'2'))
        assert PlatformEntryCodec().decode_request(headers) is None

    def test_no_id(self) -> None:
        """A request without an id is rejected."""
        assert PlatformEntryCodec().decode_request(((b'Host', b'h'),)) is None

    def test_headers_for_a_target(self) -> None:
        """Keys, forged and hop-by-hop headers are not sent to targets."""
        target_metadata = TargetRequestMetadata(
            'r1', 'i-1', 't1', 1.25, 2, '12', 3
        )
        sent = PlatformEntryCodec().target_request_headers(
            HEADERS, target_metadata
        )
        found = {name.lower(): value for name, value in sent}
        assert len(found) == len(sent)
        assert b'authorization' not in found
        assert b'x-secret' not in found
        assert b'x-hold' not in found
        assert found[b'x-tenant'] == b't1'
        assert found[b'x-kept'] == b'kept'
        assert found[b'x-deadline-ms'] == b'1250'
        assert found[b'x-expect-instance'] == b'i-1'
        assert found[b'x-expect-version'] == b'2'
        assert found[b'last-event-id'] == b'12'

    @pytest.mark.parametrize(
        ('status', 'name', 'field'),
        [
            (503, b'X-Not-Executed', 'not_executed'),
            (421, b'X-Instance-Id', 'other_target'),
            (200, b'X-Server-Stamp', 'stamped'),
            (200, b'Content-Encoding', 'encoded'),
        ],
    )
    def test_heads(self, status: int, name: bytes, field: str) -> None:
        """Status and headers of a target's response set the metadata flags."""
        head = ResponseHead(status, ((name, b'1'),), 0)
        assert (
            getattr(PlatformEntryCodec().decode_response_head(head), field)
            is True
        )

    @pytest.mark.parametrize(
        ('text', 'running'),
        [(b'3,1,8', 3), (b'3,1', None), (b'x,y,z', None)],
    )
    def test_load(self, text: bytes, running: int | None) -> None:
        """A malformed load header gives no load."""
        head = ResponseHead(200, ((b'X-Server-Load', text),), 0)
        assert (
            PlatformEntryCodec().decode_response_head(head).running == running
        )

    @pytest.mark.parametrize(
        ('text', 'pace'),
        [
            (b'3,1,8', None),
            (b'3,1,8,100', 1.0),
            (b' 3 , 1 , 8 , 250 ', 2.5),
            (b'3,1,8,58.8', 0.588),
            (b'3,1,8,10000', 100.0),
        ],
    )
    def test_pace(self, text: bytes, pace: float | None) -> None:
        """The fourth figure, if there is one, does not hide the others."""
        head = ResponseHead(200, ((b'X-Server-Load', text),), 0)
        decoded = PlatformEntryCodec().decode_response_head(head)
        assert (decoded.running, decoded.waiting) == (3, 1)
        assert decoded.pace == pace

    @pytest.mark.parametrize(
        'extra',
        [
            b'',
            b' ',
            b'0',
            b'0.0',
            b'-100',
            b'+100',
            b'100,',
            b'100,100',
            b'10001',
            b'9' * 5_000,
            b'1e2',
            b'1_0',
            b'nan',
            b'inf',
            b'fast',
            b'0x10',
            b'.5',
            '²'.encode(),
            '१००'.encode(),
        ],
    )
    def test_odd_pace_is_unknown(self, extra: bytes) -> None:
        """An odd fourth figure is none, and the other figures are used.

        Taken as a low number, it would draw all requests to the target.
        """
        head = ResponseHead(200, ((b'X-Server-Load', b'3,1,8,' + extra),), 0)
        decoded = PlatformEntryCodec().decode_response_head(head)
        assert (decoded.running, decoded.waiting) == (3, 1)
        assert decoded.pace is not None
        assert math.isnan(decoded.pace)

    @pytest.mark.parametrize(
        'text',
        [b'x,1,8,50', b',1,8,50', b'3,-1,8,50', b'3,1,,50', b'9' * 12],
    )
    def test_pace_beside_odd_counts(self, text: bytes) -> None:
        """With unreadable counts, the whole header tells nothing."""
        head = ResponseHead(200, ((b'X-Server-Load', text),), 0)
        decoded = PlatformEntryCodec().decode_response_head(head)
        assert (decoded.running, decoded.waiting) == (None, None)
        assert decoded.pace is None or math.isnan(decoded.pace)
