"""The replicated table of suspected and quarantined subjects."""

from typing import Final, NamedTuple

from .._types import Subject, TargetName, VmName

# A subject is quarantined after this many crashes, one of them in a trial;
# other crashes may have had another cause, such as a loss of power.
QUARANTINE_CRASHES: Final = 3
MAX_QUARANTINE_TRIALS: Final = 3
MAX_SUBJECTS: Final = 128  # the whole table is sent to every entry VM
MAX_STORED_CRASHES: Final = 16  # per subject; the newest are kept


class TargetCrash(NamedTuple):
    """A crash of a target, and the subjects of requests that it implicates.

    ``trials`` lists those of ``subjects`` whose request was a trial.
    """

    target: TargetName
    incarnation: int
    subjects: tuple[Subject, ...]
    trials: tuple[Subject, ...] = ()


class JudgeCrash(NamedTuple):
    """Confirms a reported crash of a target, or refutes it."""

    target: TargetName
    incarnation: int
    crashed: bool


class ClearSubjects(NamedTuple):
    """Removes subjects that were answered, or that an operator has cleared."""

    subjects: tuple[Subject, ...]


class TrialWish(NamedTuple):
    """An entry VM has, or had to refuse, a request with a suspected subject."""

    subject: Subject
    vm: VmName
    waits: bool = True  # for a trial; false if it was refused


class StartTrial(NamedTuple):
    """Lets a VM send one request with a subject.

    It takes effect only as the trial number ``trial``, so that no number is
    given to two VMs.
    """

    subject: Subject
    vm: VmName
    trial: int


class SubjectRecord(NamedTuple):
    """What is known of a suspected or quarantined subject.

    ``holder`` is the VM that may send one request with it, as the trial
    number ``trials``; it is empty once that trial has crashed a target.
    """

    subject: Subject
    crashes: tuple[str, ...] = ()  # TARGET#INCARNATION, oldest first
    trial_crashes: tuple[str, ...] = ()  # those in a trial of this subject
    trials: int = 0
    quarantine_trials: int = 0  # of ``trials``, those since the quarantine
    holder: VmName = ''
    unconfirmed: tuple[str, ...] = ()  # of ``crashes``, those not yet judged

    @property
    def is_quarantined(self) -> bool:
        """Return whether requests with the subject are refused."""
        return _suffices(
            self._confirmed(self.crashes), self._confirmed(self.trial_crashes)
        )

    @property
    def is_blamed(self) -> bool:
        """Return whether its crashes suffice, confirmed or not."""
        return _suffices(self.crashes, self.trial_crashes)

    @property
    def awaits_judgement(self) -> bool:
        """Return whether it is quarantined once its crashes are confirmed."""
        return self.is_blamed and not self.is_quarantined

    @property
    def may_be_tried(self) -> bool:
        """Return whether another trial is allowed."""
        if self.awaits_judgement:
            return False
        if not self.is_quarantined:
            return True
        return self.quarantine_trials < MAX_QUARANTINE_TRIALS

    def _confirmed(self, crashes: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(name for name in crashes if name not in self.unconfirmed)


class QuarantineState(NamedTuple):
    """All suspected and quarantined subjects, oldest news first."""

    version: int = 0  # increases with every change
    records: tuple[SubjectRecord, ...] = ()

    def find(self, subject: Subject) -> SubjectRecord | None:
        """Return the record of a subject, ``None`` if it is not suspected."""
        for record in self.records:
            if record.subject == subject:
                return record
        return None


_Records = dict[Subject, SubjectRecord]


def record_crash(state: QuarantineState, crash: TargetCrash) -> QuarantineState:
    """Return the state after a crash; one that is known changes nothing."""
    name = crash_name(crash.target, crash.incarnation)
    records = {record.subject: record for record in state.records}
    tried = _prime_suspect(crash.trials, records)
    for subject in _implicated(crash, name, tried, records):
        known = records.get(subject) or SubjectRecord(subject)
        if name not in known.crashes:
            records.pop(subject, None)
            records[subject] = _with_crash(
                known, name, is_trial=subject == tried
            )
    _resolve_trials(records, name)
    return _replace_records(state, _drop_excess(_without_explained(records)))


def judge_crash(state: QuarantineState, command: JudgeCrash) -> QuarantineState:
    """Return the state after a reported crash was confirmed or refuted."""
    name = crash_name(command.target, command.incarnation)
    records = {
        record.subject: _judged(record, name, crashed=command.crashed)
        for record in state.records
    }
    kept = _without_explained(records)
    return _replace_records(state, tuple(kept.values()))


def crash_name(target: TargetName, incarnation: int) -> str:
    """Return the name of a crash in records."""
    return f'{target}#{incarnation}'


def clear_subjects(
    state: QuarantineState, command: ClearSubjects
) -> QuarantineState:
    """Return the state without some subjects."""
    cleared = frozenset(command.subjects)
    kept = tuple(one for one in state.records if one.subject not in cleared)
    return _replace_records(state, kept)


def start_trial(state: QuarantineState, command: StartTrial) -> QuarantineState:
    """Return the state after a trial was given to a VM."""
    changed = tuple(_with_trial(record, command) for record in state.records)
    return _replace_records(state, changed)


def _implicated(
    crash: TargetCrash, name: str, tried: Subject | None, records: _Records
) -> tuple[Subject, ...]:
    """Return the subjects whose records a crash is added to.

    Where a blamed subject ran, others are not suspected, unless there is
    more evidence against one of them.
    """
    blamed = [one for one in records.values() if one.is_blamed]
    subjects = {one.subject for one in blamed}
    present = tuple(
        subject for subject in crash.subjects if subject in subjects
    )
    if present:
        return present
    explaining = [one for one in blamed if name in one.crashes]
    if not explaining:
        return crash.subjects
    most = max(_suspicion(one) for one in explaining)
    candidates = (
        _with_crash(records[subject], name, is_trial=subject == tried)
        for subject in crash.subjects
        if subject in records
    )
    return tuple(one.subject for one in candidates if _suspicion(one) > most)


def _prime_suspect(
    subjects: tuple[Subject, ...], records: _Records
) -> Subject | None:
    """Return the subject of a request that most likely crashed its target.

    It has the most crashes; of several, it is the last one in the prompt,
    which the fewest other requests hold.
    """
    prime = None
    most = 0
    for subject in subjects:
        record = records.get(subject)
        crashes = len(record.crashes) if record else 0
        if crashes >= most:
            prime = subject
            most = crashes
    return prime


def _resolve_trials(records: _Records, name: str) -> None:
    """Attribute a crash to the most suspected of the subjects tried there.

    Trials of several subjects may run at the same target.
    """
    tried = [one for one in records.values() if name in one.trial_crashes]
    most = max((_suspicion(one) for one in tried), default=(0, 0))
    for record in tried:
        if _suspicion(record) < most:
            others = _without(record.trial_crashes, name)
            records[record.subject] = record._replace(trial_crashes=others)


def _suspicion(record: SubjectRecord) -> tuple[int, int]:
    return len(record.crashes), len(record.trial_crashes)


def _without_explained(records: _Records) -> _Records:
    """Drop the crashes of blamed subjects from the records of others.

    Subjects with other evidence against them keep it: they may be the cause,
    or another one.
    """
    blamed = [record for record in records.values() if record.is_blamed]
    kept: _Records = {}
    for subject, record in records.items():
        explained = {
            name
            for other in blamed
            if _explains(other, record)
            for name in other.crashes
        }
        crashes = tuple(one for one in record.crashes if one not in explained)
        if crashes:
            kept[subject] = _with_crashes(record, crashes)
    return kept


def _explains(blamed: SubjectRecord, record: SubjectRecord) -> bool:
    """Return whether a blamed subject clears another of the same crashes."""
    if record.trial_crashes:
        return len(blamed.trial_crashes) > len(record.trial_crashes)
    has_others = not set(record.crashes) <= set(blamed.crashes)
    return not has_others or len(record.crashes) < QUARANTINE_CRASHES


def _with_crashes(
    record: SubjectRecord, crashes: tuple[str, ...]
) -> SubjectRecord:
    """Return a record without all other crashes."""
    return record._replace(
        crashes=crashes,
        trial_crashes=_among(record.trial_crashes, crashes),
        unconfirmed=_among(record.unconfirmed, crashes),
    )


def _among(names: tuple[str, ...], kept: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(name for name in names if name in kept)


def _suffices(crashes: tuple[str, ...], trial_crashes: tuple[str, ...]) -> bool:
    """Return whether crashes are enough for a quarantine."""
    return len(crashes) >= QUARANTINE_CRASHES and bool(trial_crashes)


def _judged(
    record: SubjectRecord, name: str, *, crashed: bool
) -> SubjectRecord:
    unconfirmed = _without(record.unconfirmed, name)
    if crashed:
        return record._replace(unconfirmed=unconfirmed)
    return record._replace(
        crashes=_without(record.crashes, name),
        trial_crashes=_without(record.trial_crashes, name),
        unconfirmed=unconfirmed,
    )


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(one for one in names if one != name)


def _with_crash(
    known: SubjectRecord, name: str, *, is_trial: bool
) -> SubjectRecord:
    return known._replace(
        crashes=(*known.crashes, name)[-MAX_STORED_CRASHES:],
        trial_crashes=(*known.trial_crashes, name)
        if is_trial
        else known.trial_crashes,
        holder='' if is_trial else known.holder,
        unconfirmed=(*known.unconfirmed, name),
    )


def _with_trial(record: SubjectRecord, command: StartTrial) -> SubjectRecord:
    if record.subject != command.subject or record.trials + 1 != command.trial:
        return record
    if not record.may_be_tried:
        return record
    return record._replace(
        trials=command.trial,
        quarantine_trials=record.quarantine_trials + record.is_quarantined,
        holder=command.vm,
    )


def _drop_excess(
    records: dict[Subject, SubjectRecord],
) -> tuple[SubjectRecord, ...]:
    """Return at most ``MAX_SUBJECTS`` records.

    Suspects are dropped first, and of these the ones with the fewest crashes.
    """
    excess = len(records) - MAX_SUBJECTS
    if excess > 0:
        by_rank = sorted(
            records.values(),
            key=lambda one: (one.is_quarantined, len(one.crashes)),
        )
        for record in by_rank[:excess]:
            records.pop(record.subject)
    return tuple(records.values())


def _replace_records(
    state: QuarantineState, records: tuple[SubjectRecord, ...]
) -> QuarantineState:
    if records == state.records:
        return state
    return QuarantineState(state.version + 1, records)
