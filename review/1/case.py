"""Errors of engines count as answers and clear a prompt part that crashes.

A prompt part crashes each engine that begins to answer a request with it.
For some seconds all engines answer a part of their requests with 500. Each
such answer to a request with the part makes its entry machine take the part
for harmless, and clears the suspicion of it for the whole fleet.
"""

import asyncio
import sys
from pathlib import Path
from typing import Final

from harness.deadly import ENTRY_VMS, Fleet, Requests, play, seeded
from harness.runner import Stage, main

GREY_S: Final = 4.0
GREY_SHARE: Final = 0.45  # of the requests of each engine
OBSERVED_S: Final = 30.0


async def run(stage: Stage) -> int:
    """Run the case; return the exit status."""
    rng = seeded(stage)

    async def disrupt(fleet: Fleet) -> float:
        if stage.trouble:
            stage.record.write(f'all engines fail {GREY_SHARE:.0%}')
            fleet.error_share = GREY_SHARE
        await asyncio.sleep(GREY_S)
        fleet.error_share = 0.0
        stage.record.write('the engines fail no more')
        return OBSERVED_S

    return await play(stage, Fleet(stage, rng), Requests(stage, rng), disrupt)


if __name__ == '__main__':
    sys.exit(main(Path(__file__), run, ENTRY_VMS))
