"""Generated odd requests against the real reader, with bounded memory.

By hand, with more of them and other ones each time:
``ODD_REQUESTS=100000 python -m pytest tests/test_oddrequests.py``.
"""

import os
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from lovagemast_node.http import BodyBudget, BodyShare, RefusalStatus
from lovagemast_node.http._reader import (
    CompletedRequest,
    ReaderLimits,
    RequestReader,
)

EXAMPLES: Final = int(os.environ.get('ODD_REQUESTS', '0'))
KIB: Final = 1_024
LIMITS: Final = ReaderLimits(header_bytes=4 * KIB, body_bytes=64 * KIB)
LARGE_BYTES: Final = 256 * KIB
SMALL_BYTES: Final = 256 * KIB
# What was read, parsed lines of a head, and a body with a copy, beside what
# the account allows.
MAX_MEMORY: Final = 4 * (LARGE_BYTES + SMALL_BYTES)
MAX_PENDING: Final = 16  # as the server allows on a connection

LINES: Final = (
    b'GET /a HTTP/1.1\r\n',
    b'POST /a HTTP/1.1\r\n',
    b'POST /a HTTP/1.0\r\n',
    b'GET ',
    b'HTTP/1.1 200 OK\r\n',
    b'Host: h\r\n',
    b'Host: other\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: 99999999999999999999\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b'Connection: close\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Expect: 100-continue\r\n',
    b'X-A: a\r\n',
    b' folded\r\n',
    b'X-A',
    b': ',
    b'\r\n',
    b'\r',
    b'\n',
    b'\x00',
    b'5\r\nhello\r\n',
    b'1;name="value"\r\nx\r\n',
    b'ffffffffffffffff\r\n',
    b'0\r\n',
    b'0\r\n\r\n',
    b'X-Trailer: t\r\n',
)
HEADS: Final = (
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n',
    b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n',
    b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'POST /a HTTP/1.1\r\nHost: h\r\nX-A: a\r\n',
)


class Part(NamedTuple):
    """Some bytes, a number of times."""

    data: bytes
    times: int


PARTS: Final = st.builds(
    Part,
    st.one_of(
        st.sampled_from(LINES), st.sampled_from(HEADS), st.binary(max_size=8)
    ),
    st.one_of(st.just(1), st.integers(1, 40), st.sampled_from((2_000, 20_000))),
)
STEPS: Final = st.lists(
    st.sampled_from((1, 7, 100, 5_000, 65_536, 262_144)),
    min_size=1,
    max_size=4,
)


class Read(NamedTuple):
    """What a reader made of some bytes."""

    status: RefusalStatus | None
    requests: list[CompletedRequest]


@contextmanager
def measured_memory() -> Iterator[list[int]]:
    """Yield a list, which then has the peak of the memory used."""
    peak: list[int] = []
    tracemalloc.start()
    try:
        yield peak
    finally:
        peak.append(tracemalloc.get_traced_memory()[1])
        tracemalloc.stop()


def read(reader: RequestReader, data: bytes, steps: list[int]) -> Read:
    """Feed bytes in steps, as a connection does, until they are refused."""
    found: list[CompletedRequest] = []
    view = memoryview(data)
    number = 0
    while view:
        step = steps[number % len(steps)]
        number += 1
        outcome = reader.feed(bytes(view[:step]))
        view = view[step:]
        if isinstance(outcome, RefusalStatus):
            return Read(outcome, found)
        found.extend(outcome)
        if len(found) > MAX_PENDING:
            return Read(RefusalStatus.BAD_REQUEST, found)
    return Read(None, found)


@settings(
    max_examples=EXAMPLES or 150,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(PARTS, max_size=8), STEPS)
def test_odd_requests(parts: list[Part], steps: list[int]) -> None:
    """Nothing that a caller sends makes the reader hold more, or fail."""
    data = b''.join(part.data * part.times for part in parts)[: 4 * 262_144]
    if min(steps) < 100:
        data = data[:20_000]  # one byte at a time takes long
    budget = BodyBudget(LARGE_BYTES, SMALL_BYTES)
    with measured_memory() as peak:
        reader = RequestReader(LIMITS, budget, lambda: None)
        outcome = read(reader, data, steps)
    assert peak[0] < MAX_MEMORY + len(data)
    assert budget.used_bytes <= LARGE_BYTES
    assert budget.small_bytes <= SMALL_BYTES
    for one in outcome.requests:
        check_request(one)
        one.share.release()
    reader.close()
    assert (budget.used_bytes, budget.small_bytes) == (0, 0)
    # Nothing is left that other requests would wait for.
    assert BodyShare(budget).try_grow(LARGE_BYTES)


def check_request(completed: CompletedRequest) -> None:
    """Check that a request that is passed on is within the limits."""
    req = completed.req
    assert len(req.body) <= LIMITS.body_bytes
    size = sum(len(name) + len(value) for name, value in req.headers)
    assert size + len(req.request_target) <= LIMITS.header_bytes
    names = [name.lower() for name, _value in req.headers]
    assert names.count(b'host') == 1
