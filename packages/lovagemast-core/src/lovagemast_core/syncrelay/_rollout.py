"""Tells operators how far a revision of the configuration has come."""

from typing import Final, NamedTuple

from .._types import VmName
from ..entry import FleetView
from ._entries import ConnectedEntries

LATE_AFTER_S: Final = 1.0  # then a revision that is not in force is reported
LATE_INTERVAL_S: Final = 2.0  # between reports of the same revision


class Rollout(NamedTuple):
    """At which entry VMs of a relay the newest revision is in force."""

    revision: int
    entries: int  # entry VMs that sync with the relay
    behind: tuple[VmName, ...]  # those at which an older one is in force
    took_s: float  # since the relay has known the revision

    @property
    def in_force(self) -> int:
        """Return the number of entry VMs that have the revision."""
        return self.entries - len(self.behind)


class RolloutTracker:
    """Decides when the rollout of a relay's revision is worth a report."""

    def __init__(self, view: FleetView, entries: ConnectedEntries) -> None:
        self._view = view
        self._entries = entries
        self._revision = 0
        self._known_at = 0.0  # s
        self._report_at: float | None = None  # s, None once it is complete

    def look(self, now: float) -> Rollout:
        """Return how far the newest revision has come."""
        revision = self._view.published.revision
        if revision != self._revision:
            self._revision = revision
            self._known_at = now
            self._report_at = now + LATE_AFTER_S
        return Rollout(
            revision,
            len(self._entries),
            self._entries.behind(revision),
            now - self._known_at,
        )

    def report(self, now: float) -> Rollout | None:
        """Return what to report: the end of a rollout, or that it is late."""
        rollout = self.look(now)
        if self._report_at is None or not rollout.entries:
            return None
        if rollout.behind and now < self._report_at:
            return None
        is_late = bool(rollout.behind)
        self._report_at = now + LATE_INTERVAL_S if is_late else None
        return rollout
