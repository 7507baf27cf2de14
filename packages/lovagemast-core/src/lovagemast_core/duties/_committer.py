"""Decides when the counts of a window are committed.

Counts that arrive later are lost, so a window stays open until all entry VMs
have closed it. A VM that was killed or is cut off must not delay a report
beyond its due time: some seconds are left for a change of the holder.
"""

from typing import Final

from ._config import DutyConfig
from ._ledger import UsageLedger
from ._records import UsageReport
from ._state import MAX_UNCONFIRMED

# A new leader hears of all counts within the interval of reports, twice: on
# the way to the relays and from there.
LEARNING_S: Final = 2.0
# It knows all entry VMs by then, so that it may commit before the deadline.
LEARNING_VMS_S: Final = 3.0
SEND_MARGIN_S: Final = 2.0  # to detect the loss of the holder, and to send
MIN_WAIT_S: Final = 1.0  # for reports after the end of a window


class WindowCommitter:
    """Names the next window to commit, in order."""

    def __init__(self, cfg: DutyConfig) -> None:
        self._windows = cfg.windows
        max_delay_s = cfg.windows.due_s - cfg.lease_s - SEND_MARGIN_S
        self._max_delay_s = max(MIN_WAIT_S, max_delay_s)

    def next_report(
        self, ledger: UsageLedger, last_window: int, utc_s: float, led_s: float
    ) -> UsageReport | None:
        """Return the counts to commit now, if any.

        ``led_s`` is how long this VM has led. Without a committed window, the
        first one is the oldest that has counts.
        """
        if led_s < LEARNING_S:
            return None
        window = last_window + 1
        if not last_window:
            oldest = ledger.oldest_window()
            if oldest is None:
                return None
            window = oldest
        newest = self._windows.window_at(utc_s)
        window = max(window, newest - MAX_UNCONFIRMED)
        late_s = utc_s - self._windows.end_of(window)
        if late_s < 0:
            return None
        may_close = led_s >= LEARNING_VMS_S and not ledger.unclosed_vms(window)
        if may_close or late_s >= self._max_delay_s:
            return ledger.report(window)
        return None
