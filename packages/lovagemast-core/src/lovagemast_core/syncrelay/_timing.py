"""Intervals and timeouts of sync streams.

They are the same in fleets of any size: an entry VM asks a relay of its zone,
and only relays ask the leader.
"""

from typing import Final, NamedTuple


class SyncTiming(NamedTuple):
    """Timing of one sync stream; all values are in seconds.

    A sync request follows the last one after ``interval_s``, or after
    ``min_interval_s`` while requests wait. A stream on which no reply has
    arrived for ``silence_timeout_s`` is broken.
    """

    interval_s: float
    min_interval_s: float
    silence_timeout_s: float


# Silence is detected sooner than a new leader can be elected.
ENTRY_SYNC: Final = SyncTiming(0.2, 0.01, 0.5)
# A relay speaks for tens of entry VMs, so some of them wait most of the time.
RELAY_SYNC: Final = SyncTiming(0.1, 0.02, 0.5)
