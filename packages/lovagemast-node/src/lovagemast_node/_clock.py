"""The clocks: a monotonic one that counts suspension, and the wall clock."""

import time


def now_s() -> float:
    """Return the seconds since boot, including time in suspension.

    Lease expiry needs this clock: ``CLOCK_MONOTONIC`` stops while the VM is
    suspended, and the wall clock may be set.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return the seconds since the epoch; the clock may be set."""
    return time.time()


def wall_ms() -> int:
    """Return the milliseconds since the epoch; the clock may be set."""
    return round(time.time() * 1000)
