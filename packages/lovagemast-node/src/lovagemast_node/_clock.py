"""The clock of a VM that may be suspended."""

import time


def now_s() -> float:
    """Return seconds that go on while the VM is suspended.

    The monotonic clock stands still meanwhile, and the time of day may be
    set: neither can tell whether a lease has run out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
