"""Tests that the reader bounds what a request has beside its body."""

from typing import Final

import pytest
from lovagemast_node.http import BodyBudget, RefusalStatus
from lovagemast_node.http._reader import (
    HEAD_OVERHEAD_BYTES,
    MAX_FRAMING_BYTES,
    CompletedRequest,
    ReaderLimits,
    RequestReader,
)

LIMITS: Final = ReaderLimits(header_bytes=16_384, body_bytes=4_194_304)
HEAD_LIMIT: Final = LIMITS.header_bytes + HEAD_OVERHEAD_BYTES
READ: Final = 65_536
CHUNKED: Final = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
)
GET: Final = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
TOO_LARGE: Final = RefusalStatus.HEADERS_TOO_LARGE


def read(
    data: bytes, step: int = READ
) -> list[CompletedRequest] | RefusalStatus:
    """Read requests from data that arrives in steps of some bytes."""
    reader = RequestReader(LIMITS, BodyBudget())
    found: list[CompletedRequest] = []
    for start in range(0, len(data), step):
        done = reader.feed(data[start : start + step])
        if isinstance(done, RefusalStatus):
            return done
        found.extend(done)
    return found


@pytest.mark.parametrize('step', [1, 1_000, READ])
@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (CHUNKED + b'0\r\n' + b'X: t\r\n' * 8_000, TOO_LARGE),
        (CHUNKED + b'0\r\nX-T: ' + b't' * 30_000, TOO_LARGE),
        (CHUNKED + b'2\r\nok\r\n0\r\n' + b'X: t\r\n' * 8_000, TOO_LARGE),
        (CHUNKED + b'1;' + b'x' * 30_000, TOO_LARGE),
        (b'\r\n' * 15_000, TOO_LARGE),
        (GET + b'\r\n' * 60_000, TOO_LARGE),
        (b'GET /' + b'a' * 30_000, TOO_LARGE),
        (b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 8_000, TOO_LARGE),
        (
            CHUNKED + (b'1;' + b'x' * 100 + b'\r\ny\r\n') * 1_000,
            RefusalStatus.BAD_REQUEST,
        ),
    ],
)
def test_refused(data: bytes, status: RefusalStatus, step: int) -> None:
    """Parts without end are refused, whatever comes before them."""
    assert read(data, step) == status


@pytest.mark.parametrize(
    ('data', 'bodies'),
    [
        (CHUNKED + b'0\r\nX-Sum: 1\r\nX-Two: 2\r\n\r\n', [b'']),
        (
            CHUNKED + b'2\r\nok\r\n0\r\nX-Sum: ' + b't' * 8_000 + b'\r\n\r\n',
            [b'ok'],
        ),
        (CHUNKED + b'1\r\nx\r\n' * 100_000 + b'0\r\n\r\n', [b'x' * 100_000]),
        (
            CHUNKED + b'1;name=value\r\nx\r\n' * 4_000 + b'0\r\n\r\n',
            [b'x' * 4_000],
        ),
        (b'\r\n' + GET + b'\r\n' + GET, [b'', b'']),
        (GET[:-2] + b'X-A: ' + b'a' * 16_000 + b'\r\n\r\n', [b'']),
    ],
)
def test_served(data: bytes, bodies: list[bytes]) -> None:
    """Requests within the limits pass, and trailers become no headers.

    A trailer that became a header could stand for one that was checked.
    """
    done = read(data)
    assert not isinstance(done, RefusalStatus)
    assert [one.req.body for one in done] == bodies
    names = {name for one in done for name, _value in one.req.headers}
    assert not names & {b'X-Sum', b'X-Two'}


def test_framing_of_short_chunks_is_allowed_for_all() -> None:
    """Chunks of one byte are legal at every size of a body."""
    framing = len(b'1\r\nx\r\n') - 1
    assert framing * 9_000 < MAX_FRAMING_BYTES
    done = read(CHUNKED + b'1\r\nx\r\n' * 9_000 + b'0\r\n\r\n', 1)
    assert not isinstance(done, RefusalStatus)
