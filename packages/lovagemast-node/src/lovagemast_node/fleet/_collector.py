"""Settings of Python's garbage collector for a server process."""

import gc
from typing import Final

# Objects that are allocated and not freed, until the youngest are examined.
# With the default of 700, the records of one sync reply start an examination,
# and in the sync's load (bench/syncload.py) these took a fifth of an entry
# VM's time. Few objects here are part of cycles, which only the collector
# frees; 10,000 of them take a few MB at the most.
YOUNG_OBJECTS: Final = 10_000
YOUNG_RUNS: Final = 20  # until older objects are examined too
MIDDLE_RUNS: Final = 10


def tune_collector() -> None:
    """Examine objects less often, and those of the start not at all.

    To be called once the modules are loaded and the server is set up.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_RUNS, MIDDLE_RUNS)
