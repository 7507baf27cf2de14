"""Tests of what an event costs that comes in small chunks.

They count bytes; how long that takes depends on the machine.
"""

import tracemalloc
from typing import Final

import pytest
from lovagemast_core.entry import EventStreamBuffer, _eventstream

BODY_BYTES: Final = 200_000


class TestEventWithoutEnd:
    """An event that comes in small chunks costs no more a byte than others.

    Guards against entry VMs that stood still for seconds while a target sent
    an event without end (review/6): each chunk copied and searched all that
    had come before it.
    """

    @pytest.mark.parametrize('size', [1, 60, 1_024])
    def test_bytes_searched(
        self, monkeypatch: pytest.MonkeyPatch, size: int
    ) -> None:
        """Each byte is searched for the end of the event a few times."""
        searched: list[int] = []
        find = _eventstream._end_of_events

        def count(buffered: bytearray, *start: int) -> int:
            searched.append(len(buffered) - sum(start))
            return find(buffered, *start)

        monkeypatch.setattr(_eventstream, '_end_of_events', count)
        buffer = EventStreamBuffer()
        for _chunk in range(BODY_BYTES // size):
            buffer.feed(b'x' * size)
        assert buffer.partial_bytes == BODY_BYTES // size * size
        assert sum(searched) <= 4 * BODY_BYTES

    @pytest.mark.parametrize('size', [1, 60, 1_024])
    def test_bytes_copied(self, size: int) -> None:
        """The memory that all chunks together ask for is linear too."""
        chunks = BODY_BYTES // size
        allocated = 0
        buffer = EventStreamBuffer()
        chunk = b'x' * size
        tracemalloc.start()
        try:
            for _chunk in range(chunks):
                held = tracemalloc.get_traced_memory()[0]
                tracemalloc.reset_peak()
                buffer.feed(chunk)
                allocated += tracemalloc.get_traced_memory()[1] - held
        finally:
            tracemalloc.stop()
        # A call takes some hundred bytes whatever it copies.
        assert allocated <= 4 * BODY_BYTES + 1_000 * chunks
