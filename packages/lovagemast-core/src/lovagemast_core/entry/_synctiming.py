"""Intervals and timeouts of an entry VM's sync with the leader."""

from typing import Final, NamedTuple

ASK_INTERVAL_S: Final = 0.2
MIN_ASK_INTERVAL_S: Final = 0.01  # while requests wait for an update
# The leader answers all entry VMs, so the intervals grow with their number.
ASK_INTERVAL_PER_ENTRY_S: Final = 0.005
MIN_ASK_INTERVAL_PER_ENTRY_S: Final = 0.0008
REPLY_ALLOWANCE_S: Final = 0.29  # for a reply, beyond the time between requests


class SyncTiming(NamedTuple):
    """Timing of one sync stream; all values are in seconds.

    A sync request follows the last one after ``interval_s``, or after
    ``min_interval_s`` while requests wait. A stream on which no reply has
    arrived for ``silence_timeout_s`` is broken.
    """

    interval_s: float
    min_interval_s: float
    silence_timeout_s: float

    @classmethod
    def for_entries(cls, entries: int) -> 'SyncTiming':
        """Return the timing in a fleet of so many entry VMs.

        Replies come at the interval of the requests, so a timeout that does
        not follow the interval would break working streams.
        """
        interval_s = max(ASK_INTERVAL_S, ASK_INTERVAL_PER_ENTRY_S * entries)
        min_interval_s = max(
            MIN_ASK_INTERVAL_S, MIN_ASK_INTERVAL_PER_ENTRY_S * entries
        )
        silence_timeout_s = REPLY_ALLOWANCE_S + interval_s + min_interval_s
        return cls(interval_s, min_interval_s, silence_timeout_s)
