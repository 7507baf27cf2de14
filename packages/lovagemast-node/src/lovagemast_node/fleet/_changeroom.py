"""Bounds the bytes of operators' calls that are handled at the same time.

A document takes many times its size while it is parsed and committed.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

from ..http import FREE_BYTES

MAX_CHANGES_BYTES: Final = 8_388_608


class ChangeRoom:
    """The bodies of the calls that are being handled."""

    def __init__(self, limit_bytes: int = MAX_CHANGES_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def has_room(self, size: int) -> bool:
        """Return whether a call may begin: a small one, or the only one."""
        if size <= FREE_BYTES or not self.held_bytes:
            return True
        return self.held_bytes + size <= self._limit_bytes

    @contextlib.contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Count a call until it ends, unless it is small."""
        if size <= FREE_BYTES:
            size = 0
        self.held_bytes += size
        try:
            yield
        finally:
            self.held_bytes -= size
