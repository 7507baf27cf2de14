"""Tests that what a head asks for grows no faster than its size."""

from collections import UserString
from typing import Any, SupportsIndex

import pytest
from lovagemast_core.deployment import CallKind

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
