"""A prompt part that crashes engines after their first event is never found.

An engine that begins to write an answer on the part sends the first event of
its stream, and crashes. The event counts as proof that the part is harmless,
and the lost connection not as a crash, so that the part is never suspected.
"""

import sys
from pathlib import Path
from typing import Final

from harness.deadly import ENTRY_VMS, Fleet, Requests, play, seeded
from harness.runner import Stage, main

OBSERVED_S: Final = 25.0
NO_PART: Final = 'none'  # that any prompt has


async def run(stage: Stage) -> int:
    """Run the case; return the exit status."""
    rng = seeded(stage)
    fleet = Fleet(stage, rng)
    fleet.crashes_after_event = True
    if not stage.trouble:
        fleet.deadly_part = NO_PART

    async def disrupt(_fleet: Fleet) -> float:
        return OBSERVED_S

    return await play(stage, fleet, Requests(stage, rng), disrupt)


if __name__ == '__main__':
    sys.exit(main(Path(__file__), run, ENTRY_VMS))
