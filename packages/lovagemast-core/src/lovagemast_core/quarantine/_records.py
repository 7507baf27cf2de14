"""The quarantine state as one VM knows it, with the times of changes."""

from .._types import Subject
from ._state import QuarantineState, SubjectRecord


class KnownRecords:
    """The records of the newest state, and when each was seen to change."""

    def __init__(self) -> None:
        self.state = QuarantineState()
        self._records: dict[Subject, SubjectRecord] = {}
        self._changed_at: dict[Subject, float] = {}

    def update(self, state: QuarantineState, now: float) -> None:
        """Replace the state, if this one is newer."""
        if state.version <= self.state.version:
            return
        before = self._records
        self.state = state
        self._records = {record.subject: record for record in state.records}
        self._changed_at = {
            subject: self._changed_at[subject]
            if before.get(subject) == record
            else now
            for subject, record in self._records.items()
        }

    def restart_times(self, now: float) -> None:
        """Let all times count from now, as after an election."""
        self._changed_at = dict.fromkeys(self._records, now)

    def get(self, subject: Subject) -> SubjectRecord | None:
        """Return a subject's record, ``None`` if it is not suspected."""
        return self._records.get(subject)

    def age_s(self, subject: Subject, now: float) -> float:
        """Return the time since a subject's record last changed, in s."""
        return now - self._changed_at.get(subject, now)
