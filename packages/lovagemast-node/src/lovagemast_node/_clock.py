"""A monotonic clock that includes the time a VM is suspended."""

import time


def now_s() -> float:
    """Return the seconds since boot, including time in suspension.

    Lease expiry needs this clock: ``CLOCK_MONOTONIC`` stops while the VM is
    suspended, and the wall clock may be set.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
