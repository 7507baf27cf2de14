"""Tests of the bytes of operators' calls that are handled at a time."""

import pytest
from lovagemast_node.fleet._changeroom import ChangeRoom

LIMIT = 1_000_000


@pytest.mark.parametrize(
    ('held', 'size', 'has_room'),
    [
        (0, 2 * LIMIT, True),
        (100_000, 800_000, True),
        (300_000, 800_000, False),
        (2 * LIMIT, 70_000, False),
        (2 * LIMIT, 60_000, True),  # heartbeats never wait for changes
    ],
)
def test_room_is_counted_in_bytes(held: int, size: int, has_room: bool) -> None:
    """Large calls wait for one another; small ones don't."""
    room = ChangeRoom(LIMIT)
    with room.hold(held):
        assert room.has_room(size) is has_room
    with room.hold(60_000):
        assert room.held_bytes == 0
