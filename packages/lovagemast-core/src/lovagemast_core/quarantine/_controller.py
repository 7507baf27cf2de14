"""The leader's part: turns reports into commands, and grants trials."""

from collections.abc import Callable, Iterable
from typing import Final

from .._types import Subject, TargetName
from ._failuredetector import LastHeartbeat, ReportedCrash, has_crashed
from ._records import KnownRecords
from ._state import (
    ClearSubjects,
    JudgeCrash,
    QuarantineState,
    StartTrial,
    SubjectRecord,
    TargetCrash,
    TrialWish,
    record_crash,
)
from ._timing import retention_s, trial_delay_s

PROPOSAL_TIMEOUT_S: Final = 0.5  # after which a command is proposed again

QuarantineCommand = TargetCrash | ClearSubjects | StartTrial
FindHeartbeat = Callable[[TargetName], LastHeartbeat | None]


class QuarantineController:
    """Decides which commands change the replicated quarantine state."""

    def __init__(self) -> None:
        self._known = KnownRecords()
        self._wished_at: dict[Subject, float] = {}
        self._proposed: dict[Subject, tuple[int, float]] = {}
        self._led_since = 0.0  # s
        self._unjudged: dict[str, float] = {}  # when each was learned of, in s
        self._judged_at: dict[str, float] = {}  # when that was proposed, in s

    @property
    def state(self) -> QuarantineState:
        """Return the newest committed state."""
        return self._known.state

    def update(self, state: QuarantineState, now: float) -> None:
        """Apply a newer committed state."""
        self._known.update(state, now)
        present = {record.subject for record in state.records}
        for subject in set(self._wished_at) - present:
            self._wished_at.pop(subject)
        for subject in set(self._proposed) - present:
            self._proposed.pop(subject)
        self._unjudged = {
            name: self._unjudged.get(name, now)
            for record in state.records
            for name in record.unconfirmed
        }
        self._judged_at = {
            name: at
            for name, at in self._judged_at.items()
            if name in self._unjudged
        }

    def newer_than(self, version: int) -> QuarantineState | None:
        """Return the state, ``None`` if a receiver has this version."""
        return self.state if self.state.version > version else None

    def start_term(self, now: float) -> None:
        """Wait anew for trials: a former leader may have granted some."""
        self._known.restart_times(now)
        self._led_since = now
        self._unjudged = dict.fromkeys(self._unjudged, now)
        self._judged_at.clear()
        self._proposed.clear()
        self._wished_at = dict.fromkeys(
            (record.subject for record in self.state.records), now
        )

    def on_reports(
        self,
        crashes: Iterable[TargetCrash],
        answered: Iterable[Subject],
        wishes: Iterable[TrialWish],
        now: float,
    ) -> list[QuarantineCommand]:
        """Return the commands that follow from a relay's reports."""
        commands: list[QuarantineCommand] = [
            crash
            for crash in crashes
            if record_crash(self.state, crash) != self.state
        ]
        cleared = tuple(
            subject for subject in answered if self._known.get(subject)
        )
        if cleared:
            commands.append(ClearSubjects(cleared))
        for wish in wishes:
            trial = self._grant_trial(wish, now)
            if trial:
                commands.append(trial)
        return commands

    def judge_crashes(
        self, find_heartbeat: FindHeartbeat, now: float
    ) -> list[JudgeCrash]:
        """Return the commands that confirm or refute reported crashes."""
        commands: list[JudgeCrash] = []
        for name, learned_at in self._unjudged.items():
            proposed_at = self._judged_at.get(name, float('-inf'))
            if now - proposed_at < PROPOSAL_TIMEOUT_S:
                continue
            target, _, incarnation = name.rpartition('#')
            crash = ReportedCrash(int(incarnation), learned_at)
            heartbeat = find_heartbeat(target)
            crashed = has_crashed(crash, heartbeat, self._led_since, now)
            if crashed is not None:
                self._judged_at[name] = now
                commands.append(JudgeCrash(target, crash.incarnation, crashed))
        return commands

    def expire(self, now: float) -> ClearSubjects | None:
        """Return the command that drops subjects without recent requests."""
        expired = tuple(
            record.subject
            for record in self.state.records
            if self._idle_s(record.subject, now) > retention_s(record)
        )
        return ClearSubjects(expired) if expired else None

    def _grant_trial(self, wish: TrialWish, now: float) -> StartTrial | None:
        record = self._known.get(wish.subject)
        if record is None:
            return None
        self._wished_at[wish.subject] = now
        if not wish.waits or not self._is_due(record, now):
            return None
        trial = record.trials + 1
        proposed, proposed_at = self._proposed.get(wish.subject, (0, 0.0))
        if proposed == trial and now - proposed_at < PROPOSAL_TIMEOUT_S:
            return None
        self._proposed[wish.subject] = (trial, now)
        return StartTrial(wish.subject, wish.vm, trial)

    def _is_due(self, record: SubjectRecord, now: float) -> bool:
        delay_s = trial_delay_s(record)
        if delay_s is None:
            return False
        return self._known.age_s(record.subject, now) >= delay_s

    def _idle_s(self, subject: Subject, now: float) -> float:
        wished_at = self._wished_at.get(subject, float('-inf'))
        return min(now - wished_at, self._known.age_s(subject, now))
