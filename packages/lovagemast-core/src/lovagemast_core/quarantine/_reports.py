"""Reports about prompt parts on their way to the leader.

Entry VMs and relays repeat a report with each sync request until a reply
shows that it has arrived; while a zone is cut off, reports are kept.
"""

from collections.abc import Iterable
from typing import Final

from .._types import Subject, TargetName
from ._state import TargetCrash

MAX_REPORTS: Final = 256  # of each kind; further ones are dropped

_Incarnation = tuple[TargetName, int]


class QuarantineReports:
    """Crashes and answers that are to be reported."""

    def __init__(self) -> None:
        self._crashes: dict[_Incarnation, TargetCrash] = {}
        self._answered: dict[Subject, None] = {}
        self._sent_with: dict[TargetCrash | Subject, int] = {}

    def __bool__(self) -> bool:
        """Return whether anything is to be reported."""
        return bool(self._crashes or self._answered)

    def add_crashes(self, crashes: Iterable[TargetCrash]) -> None:
        """Add crashes; those of the same target's incarnation are merged."""
        for crash in crashes:
            name = (crash.target, crash.incarnation)
            known = self._crashes.get(name)
            if known is None and len(self._crashes) >= MAX_REPORTS:
                continue
            self._crashes[name] = _merge(known, crash) if known else crash

    def add_answered(self, subjects: Iterable[Subject]) -> None:
        """Add subjects that were answered though they are suspected."""
        for subject in subjects:
            if len(self._answered) < MAX_REPORTS:
                self._answered[subject] = None

    def crashes(self, ask: int) -> tuple[TargetCrash, ...]:
        """Return the crashes to send with the request of this number."""
        crashes = tuple(self._crashes.values())
        self._record_sent(crashes, ask)
        return crashes

    def answered(self, ask: int) -> tuple[Subject, ...]:
        """Return the answered subjects to send with the request."""
        subjects = tuple(self._answered)
        self._record_sent(subjects, ask)
        return subjects

    def pending_subjects(self) -> frozenset[Subject]:
        """Return the subjects of crashes that have not arrived yet."""
        return frozenset(
            subject
            for crash in self._crashes.values()
            for subject in crash.subjects
        )

    def on_reply(self, ask: int) -> None:
        """Drop what was sent with the request that was answered."""
        arrived = [one for one, sent in self._sent_with.items() if sent <= ask]
        for one in arrived:
            self._sent_with.pop(one)
        self._crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if crash not in arrived
        }
        self._answered = {
            subject: None
            for subject in self._answered
            if subject not in arrived
        }

    def _record_sent(
        self, reports: Iterable[TargetCrash] | Iterable[Subject], ask: int
    ) -> None:
        for report in reports:
            self._sent_with.setdefault(report, ask)


def _merge(known: TargetCrash, added: TargetCrash) -> TargetCrash:
    return known._replace(
        subjects=tuple(dict.fromkeys((*known.subjects, *added.subjects))),
        trials=tuple(dict.fromkeys((*known.trials, *added.trials))),
    )
