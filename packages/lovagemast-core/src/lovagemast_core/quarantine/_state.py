"""The replicated table of suspected and quarantined prompt parts."""

from typing import Final, NamedTuple

from .._types import PromptPart, TargetName, VmName

# A part is quarantined after this many crashes, one of them in a trial: other
# crashes may have had another cause, such as a loss of power.
QUARANTINE_CRASHES: Final = 3
MAX_QUARANTINE_TRIALS: Final = 3
MAX_PARTS: Final = 128  # the whole table is sent to every entry VM
MAX_STORED_CRASHES: Final = 16  # per part; the newest are kept


class PartCrash(NamedTuple):
    """A crash of a target, and the parts of requests that it implicates.

    ``trials`` lists those of ``parts`` whose request was a trial.
    """

    target: TargetName
    incarnation: int
    parts: tuple[PromptPart, ...]
    trials: tuple[PromptPart, ...] = ()


class ClearParts(NamedTuple):
    """Removes parts that were answered, or that an operator has cleared."""

    parts: tuple[PromptPart, ...]


class TrialWish(NamedTuple):
    """An entry VM has, or had to refuse, a request with a suspected part."""

    part: PromptPart
    vm: VmName
    waits: bool = True  # for a trial; false if it was refused


class StartTrial(NamedTuple):
    """Lets a VM send one request with a part.

    It takes effect only as the trial number ``trial``, so that no number is
    given to two VMs.
    """

    part: PromptPart
    vm: VmName
    trial: int


class PartRecord(NamedTuple):
    """What is known of a suspected or quarantined part.

    ``holder`` is the VM that may send one request with it, as the trial
    number ``trials``; it is empty once that trial has crashed a target.
    """

    part: PromptPart
    crashes: tuple[str, ...] = ()  # TARGET#INCARNATION, oldest first
    trial_crashes: tuple[str, ...] = ()  # those in a trial of this part
    trials: int = 0
    quarantine_trials: int = 0  # of ``trials``, those since the quarantine
    holder: VmName = ''

    @property
    def is_quarantined(self) -> bool:
        """Return whether requests with the part are refused."""
        has_crashes = len(self.crashes) >= QUARANTINE_CRASHES
        return has_crashes and bool(self.trial_crashes)

    @property
    def may_be_tried(self) -> bool:
        """Return whether the number of trials allows another one."""
        if not self.is_quarantined:
            return True
        return self.quarantine_trials < MAX_QUARANTINE_TRIALS


class QuarantineState(NamedTuple):
    """All suspected and quarantined parts, those with the oldest news first."""

    version: int = 0  # increases with every change
    parts: tuple[PartRecord, ...] = ()

    def find(self, part: PromptPart) -> PartRecord | None:
        """Return the record of a part, ``None`` if it is not suspected."""
        for record in self.parts:
            if record.part == part:
                return record
        return None


_Records = dict[PromptPart, PartRecord]


def record_crash(state: QuarantineState, crash: PartCrash) -> QuarantineState:
    """Return the state after a crash; one that is known changes nothing."""
    name = f'{crash.target}#{crash.incarnation}'
    records = {record.part: record for record in state.parts}
    tried = _prime_suspect(crash.trials, records)
    for part in _implicated(crash, name, tried, records):
        known = records.get(part) or PartRecord(part)
        if name not in known.crashes:
            records.pop(part, None)
            records[part] = _with_crash(known, name, is_trial=part == tried)
    _resolve_trials(records, name)
    return _replace_parts(state, _drop_excess(_without_explained(records)))


def clear_parts(state: QuarantineState, command: ClearParts) -> QuarantineState:
    """Return the state without some parts."""
    cleared = frozenset(command.parts)
    kept = tuple(one for one in state.parts if one.part not in cleared)
    return _replace_parts(state, kept)


def start_trial(state: QuarantineState, command: StartTrial) -> QuarantineState:
    """Return the state after a trial was given to a VM."""
    changed = tuple(_with_trial(record, command) for record in state.parts)
    return _replace_parts(state, changed)


def _implicated(
    crash: PartCrash, name: str, tried: PromptPart | None, records: _Records
) -> tuple[PromptPart, ...]:
    """Return the parts whose records a crash is added to.

    Where a quarantined part ran, others are not suspected, unless there is
    more evidence against one of them.
    """
    quarantined = [one for one in records.values() if one.is_quarantined]
    parts = {one.part for one in quarantined}
    present = tuple(part for part in crash.parts if part in parts)
    if present:
        return present
    explaining = [one for one in quarantined if name in one.crashes]
    if not explaining:
        return crash.parts
    most = max(_suspicion(one) for one in explaining)
    candidates = (
        _with_crash(records[part], name, is_trial=part == tried)
        for part in crash.parts
        if part in records
    )
    return tuple(one.part for one in candidates if _suspicion(one) > most)


def _prime_suspect(
    parts: tuple[PromptPart, ...], records: _Records
) -> PromptPart | None:
    """Return the part of a request that most likely crashed its target.

    It has the most crashes; of several, it is the last one in the prompt,
    which the fewest other requests hold.
    """
    prime = None
    most = 0
    for part in parts:
        record = records.get(part)
        crashes = len(record.crashes) if record else 0
        if crashes >= most:
            prime = part
            most = crashes
    return prime


def _resolve_trials(records: _Records, name: str) -> None:
    """Attribute a crash to the most suspected of the parts tried there.

    Trials of several parts may run at the same target.
    """
    tried = [one for one in records.values() if name in one.trial_crashes]
    most = max((_suspicion(one) for one in tried), default=(0, 0))
    for record in tried:
        if _suspicion(record) < most:
            others = tuple(one for one in record.trial_crashes if one != name)
            records[record.part] = record._replace(trial_crashes=others)


def _suspicion(record: PartRecord) -> tuple[int, int]:
    return len(record.crashes), len(record.trial_crashes)


def _without_explained(records: _Records) -> _Records:
    """Drop the crashes of quarantined parts from the records of others.

    Parts with as much evidence against them keep it: they may be the cause,
    or another one.
    """
    explained = {
        name
        for record in records.values()
        if record.is_quarantined
        for name in record.crashes
    }
    kept: _Records = {}
    for part, record in records.items():
        crashes = record.crashes
        if not record.trial_crashes and len(crashes) < QUARANTINE_CRASHES:
            crashes = tuple(name for name in crashes if name not in explained)
        if crashes:
            kept[part] = record._replace(crashes=crashes)
    return kept


def _with_crash(known: PartRecord, name: str, *, is_trial: bool) -> PartRecord:
    return known._replace(
        crashes=(*known.crashes, name)[-MAX_STORED_CRASHES:],
        trial_crashes=(*known.trial_crashes, name)
        if is_trial
        else known.trial_crashes,
        holder='' if is_trial else known.holder,
    )


def _with_trial(record: PartRecord, command: StartTrial) -> PartRecord:
    if record.part != command.part or record.trials + 1 != command.trial:
        return record
    if not record.may_be_tried:
        return record
    return record._replace(
        trials=command.trial,
        quarantine_trials=record.quarantine_trials + record.is_quarantined,
        holder=command.vm,
    )


def _drop_excess(
    records: dict[PromptPart, PartRecord],
) -> tuple[PartRecord, ...]:
    """Return at most ``MAX_PARTS`` records; suspects are dropped first."""
    excess = len(records) - MAX_PARTS
    if excess > 0:
        by_rank = sorted(records.values(), key=lambda one: one.is_quarantined)
        for record in by_rank[:excess]:
            records.pop(record.part)
    return tuple(records.values())


def _replace_parts(
    state: QuarantineState, parts: tuple[PartRecord, ...]
) -> QuarantineState:
    if parts == state.parts:
        return state
    return QuarantineState(state.version + 1, parts)
