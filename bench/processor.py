"""Measures the processor time of an entry VM, a relay and the leader.

Compare figures of two versions by runs that alternate
on the same machine: it is processor time, but caches and clocks are shared.
"""

import argparse
import asyncio
import json
import sys
from typing import Any, Final

from lovagemast_node.fleet._collector import tune_collector

from .entryload import EntryShape, run_entry
from .syncload import SyncLoad
from .syncparts import LoadShape
from .synctransport import TransportLoad

TRANSPORT_S: Final = 3.0


def measure(*, entry: bool, seed: int) -> dict[str, Any]:
    """Return the costs of each part by name."""
    tune_collector()
    if entry:
        return {'entry': asyncio.run(run_entry(EntryShape()))._asdict()}
    busy = SyncLoad(LoadShape(), seed).run()
    idle = SyncLoad(LoadShape(requests_per_s=0.0), seed).run()
    round_trip_us = asyncio.run(TransportLoad().run(TRANSPORT_S))
    return {
        'sync_busy': busy._asdict(),
        'sync_idle': idle._asdict(),
        'round_trip_us': round_trip_us,
    }


def main() -> int:
    """Run the measurements; the figures go to standard error.

    Standard output takes the log lines of the code that is measured.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entry', action='store_true')
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    figures = measure(entry=options.entry, seed=options.seed)
    sys.stderr.write(f'{json.dumps(figures, indent=2)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
