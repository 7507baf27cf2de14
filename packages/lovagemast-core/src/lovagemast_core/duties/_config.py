"""Settings of the duties at the infrastructure."""

from typing import NamedTuple


class UsageWindows(NamedTuple):
    """The windows by which usage is counted, in s."""

    length_s: float = 5.0
    due_s: float = 10.0  # after a window's end

    def window_at(self, utc_s: float) -> int:
        """Return the number of the window that holds a time."""
        return int(utc_s // self.length_s)

    def end_of(self, window: int) -> float:
        """Return a window's end, in s since the epoch."""
        return (window + 1) * self.length_s


class DutyConfig(NamedTuple):
    """Which duties a control VM takes part in, and their bounds."""

    has_metering: bool
    has_scaling: bool
    calls_per_s: float = 50.0  # accepted from all VMs together
    windows: UsageWindows = UsageWindows()
    lease_s: float = 3.0  # no calls of a new holder for this time
