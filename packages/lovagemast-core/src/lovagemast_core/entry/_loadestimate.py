"""Estimates how many requests are in progress at a target.

With hundreds of entry VMs, each sends a target a request every minute or so
and rarely sees one of its load reports. The sum over all entry VMs comes with
the sync, some tenths of a second late.
"""

from typing import Final

# For this long a target's own report is more recent than the fleet's sum.
FLEET_LAG_S: Final = 0.3
MAX_REPORT_AGE_S: Final = 2.0  # older reports of a target are not used
MAX_SYNC_AGE_S: Final = 2.0  # older sums are not used


class LoadEstimate:
    """The requests at one target: those of this VM, and what others said.

    Each figure is corrected by this VM's requests that have started and ended
    since it was received.
    """

    def __init__(self) -> None:
        self.running = 0  # of this VM
        self._reported = 0
        self._running_at_report = 0
        self._reported_at = float('-inf')
        self._fleet: int | None = None
        self._running_at_fleet = 0

    def record_report(self, requests: int, now: float) -> None:
        """Store the number of requests that the target itself reports."""
        self._reported = requests
        self._running_at_report = self.running
        self._reported_at = now

    def record_fleet(self, requests: int) -> None:
        """Store the number of requests that all entry VMs have there."""
        self._fleet = requests
        self._running_at_fleet = self.running

    def requests(self, entries: int, sync_age_s: float, now: float) -> int:
        """Return the estimated number of requests at the target.

        ``sync_age_s`` is the age of what the sync has brought. Without recent
        figures, all of ``entries`` VMs are assumed to send as many requests
        as this one.
        """
        report_age_s = now - self._reported_at
        fleet = self._fleet if sync_age_s <= MAX_SYNC_AGE_S else None
        if fleet is not None and report_age_s > FLEET_LAG_S:
            since = self.running - self._running_at_fleet
            return max(self.running, fleet + since)
        if report_age_s <= MAX_REPORT_AGE_S:
            since = self.running - self._running_at_report
            return max(self.running, self._reported + since)
        return self.running * entries
