"""The leader's part: turns reports into commands, and grants trials."""

from collections.abc import Iterable
from typing import Final

from .._types import PromptPart
from ._records import KnownRecords
from ._state import (
    ClearParts,
    PartCrash,
    PartRecord,
    QuarantineState,
    StartTrial,
    TrialWish,
    record_crash,
)
from ._timing import retention_s, trial_delay_s

PROPOSAL_TIMEOUT_S: Final = 0.5  # after which a trial is proposed again

QuarantineCommand = PartCrash | ClearParts | StartTrial


class QuarantineController:
    """Decides which commands change the replicated quarantine state."""

    def __init__(self) -> None:
        self._known = KnownRecords()
        self._wished_at: dict[PromptPart, float] = {}
        self._proposed: dict[PromptPart, tuple[int, float]] = {}

    @property
    def state(self) -> QuarantineState:
        """Return the newest committed state."""
        return self._known.state

    def update(self, state: QuarantineState, now: float) -> None:
        """Apply a newer committed state."""
        self._known.update(state, now)
        present = {record.part for record in state.parts}
        for part in set(self._wished_at) - present:
            self._wished_at.pop(part)
        for part in set(self._proposed) - present:
            self._proposed.pop(part)

    def newer_than(self, version: int) -> QuarantineState | None:
        """Return the state, ``None`` if a receiver has this version."""
        return self.state if self.state.version > version else None

    def start_term(self, now: float) -> None:
        """Wait anew for trials: a former leader may have granted some."""
        self._known.restart_times(now)
        self._proposed.clear()
        self._wished_at = dict.fromkeys(
            (record.part for record in self.state.parts), now
        )

    def on_reports(
        self,
        crashes: Iterable[PartCrash],
        answered: Iterable[PromptPart],
        wishes: Iterable[TrialWish],
        now: float,
    ) -> list[QuarantineCommand]:
        """Return the commands that follow from a relay's reports."""
        commands: list[QuarantineCommand] = [
            crash
            for crash in crashes
            if record_crash(self.state, crash) != self.state
        ]
        cleared = tuple(part for part in answered if self._known.get(part))
        if cleared:
            commands.append(ClearParts(cleared))
        for wish in wishes:
            trial = self._grant_trial(wish, now)
            if trial:
                commands.append(trial)
        return commands

    def expire(self, now: float) -> ClearParts | None:
        """Return the command that drops parts without recent requests."""
        expired = tuple(
            record.part
            for record in self.state.parts
            if self._idle_s(record.part, now) > retention_s(record)
        )
        return ClearParts(expired) if expired else None

    def _grant_trial(self, wish: TrialWish, now: float) -> StartTrial | None:
        record = self._known.get(wish.part)
        if record is None:
            return None
        self._wished_at[wish.part] = now
        if not wish.waits or not self._is_due(record, now):
            return None
        trial = record.trials + 1
        proposed, proposed_at = self._proposed.get(wish.part, (0, 0.0))
        if proposed == trial and now - proposed_at < PROPOSAL_TIMEOUT_S:
            return None
        self._proposed[wish.part] = (trial, now)
        return StartTrial(wish.part, wish.vm, trial)

    def _is_due(self, record: PartRecord, now: float) -> bool:
        delay_s = trial_delay_s(record)
        if delay_s is None:
            return False
        return self._known.age_s(record.part, now) >= delay_s

    def _idle_s(self, part: PromptPart, now: float) -> float:
        wished_at = self._wished_at.get(part, float('-inf'))
        return min(now - wished_at, self._known.age_s(part, now))
