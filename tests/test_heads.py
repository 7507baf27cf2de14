"""Tests that what a head asks for grows no faster than its size."""

from collections import UserString
from typing import Any, SupportsIndex

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_node.http import BodyBudget, RefusalStatus
from lovagemast_node.http._reader import ReaderLimits, RequestReader

from tests.test_calls import make_index


class MeasuredPath(UserString):
    """A path that counts the characters that are copied out of it."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.copied = 0

    def __getitem__(self, index: SupportsIndex | slice) -> Any:
        """Return a part, and count it."""
        part = self.data[index]
        self.copied += len(part)
        return part


class TestHeads:
    """What a head asks for grows no faster than its size.

    Guards against entry VMs that stood still while callers sent paths of
    slashes (review/9): each slash had the path up to it copied and looked up,
    and a path was not counted as a part of the head.
    """

    @pytest.mark.parametrize(
        'path', ['/' * 24_000, '/x' * 12_000, '/x/' + '/' * 24_000]
    )
    def test_route_lookup(self, path: str) -> None:
        """A lookup copies no more than the configured prefixes have."""
        index = make_index(CallKind.SAFE)
        measured: Any = MeasuredPath(path)
        found = index.route('h', measured)
        assert (found is not None) == path.startswith('/x/')
        prefixes = [route.prefix for route in index.deployment.routes]
        assert measured.copied <= sum(map(len, prefixes))

    @pytest.mark.parametrize('step', [1, 1_000, 16_384])
    @pytest.mark.parametrize(
        ('size', 'is_refused'), [(16_000, False), (16_500, True)]
    )
    @pytest.mark.parametrize(
        'head',
        [
            b'GET /%b HTTP/1.1\r\nHost: h\r\n\r\n',
            b'GET /?%b HTTP/1.1\r\nHost: h\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: h\r\nX: %b\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: h\r\n%b: x\r\n\r\n',
        ],
        ids=['path', 'query', 'value', 'name'],
    )
    def test_limit_of_a_head(
        self, head: bytes, size: int, step: int, *, is_refused: bool
    ) -> None:
        """The limit holds for all of a head, whichever part is long."""
        limits = ReaderLimits(header_bytes=16_384, body_bytes=0)
        reader = RequestReader(limits, BodyBudget())
        data = head % (b'a' * size)
        outcomes = [
            reader.feed(data[start : start + step])
            for start in range(0, len(data), step)
        ]
        refused = RefusalStatus.HEADERS_TOO_LARGE in outcomes
        assert refused == is_refused

    def test_parts_together(self) -> None:
        """A path and headers that are within it each are over it together."""
        limits = ReaderLimits(header_bytes=16_384, body_bytes=0)
        reader = RequestReader(limits, BodyBudget())
        part = b'a' * 9_000
        outcome = reader.feed(
            b'GET /%b HTTP/1.1\r\nHost: h\r\nX: %b\r\n\r\n' % (part, part)
        )
        assert outcome is RefusalStatus.HEADERS_TOO_LARGE
