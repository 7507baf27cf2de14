"""Lets a task that always finds work give others a turn of the event loop."""

import asyncio
from typing import Final

# Taken in one turn. Each is what one read brought, or less.
PARTS_PER_TURN: Final = 8


class TurnShare:
    """Counts the parts that a task has taken in the current turn.

    Awaiting what is there already doesn't suspend a task, so one whose parts
    come as fast as it takes them would never let another run.
    """

    def __init__(self) -> None:
        self._taken = 0

    async def take(self) -> None:
        """Count a part; let others run first if the turn's share is used."""
        if self._taken >= PARTS_PER_TURN:
            self._taken = 0
            await asyncio.sleep(0)
        self._taken += 1

    def restart(self) -> None:
        """Start a share anew, as the task has just been suspended."""
        self._taken = 0
