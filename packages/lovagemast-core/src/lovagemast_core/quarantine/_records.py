"""The quarantine state as one VM knows it, with the times of changes."""

from .._types import PromptPart
from ._state import PartRecord, QuarantineState


class KnownRecords:
    """The records of the newest state, and when each was seen to change."""

    def __init__(self) -> None:
        self.state = QuarantineState()
        self._records: dict[PromptPart, PartRecord] = {}
        self._changed_at: dict[PromptPart, float] = {}

    def update(self, state: QuarantineState, now: float) -> None:
        """Replace the state, if this one is newer."""
        if state.version <= self.state.version:
            return
        before = self._records
        self.state = state
        self._records = {record.part: record for record in state.parts}
        self._changed_at = {
            part: self._changed_at[part] if before.get(part) == record else now
            for part, record in self._records.items()
        }

    def restart_times(self, now: float) -> None:
        """Let all times count from now, as after an election."""
        self._changed_at = dict.fromkeys(self._records, now)

    def get(self, part: PromptPart) -> PartRecord | None:
        """Return a part's record, ``None`` if it is not suspected."""
        return self._records.get(part)

    def age_s(self, part: PromptPart, now: float) -> float:
        """Return the time since a part's record last changed, in s."""
        return now - self._changed_at.get(part, now)
