"""Decides at an entry VM which requests may be sent, by their prompt parts."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from .._types import PromptPart, VmName
from ._answered import AnsweredParts
from ._local import MANY_CRASHES, MAX_CONTACT_AGE_S, LocalSuspicions
from ._records import KnownRecords
from ._reports import PartReports
from ._state import PartCrash, PartRecord, QuarantineState, TrialWish
from ._timing import trial_delay_s


class PartStatus(Enum):
    """Whether requests with a part may be sent."""

    FREE = 'free'
    HELD = 'held'  # until a trial of the part has ended, or is granted
    QUARANTINED = 'quarantined'


class PartVerdict(NamedTuple):
    """The status of a request, with the part that it follows from."""

    status: PartStatus
    part: PromptPart = ''
    crashes: int = 0
    age_s: float = 0.0  # since the last news of the part


FREE = PartVerdict(PartStatus.FREE)


class PartGuard:
    """Holds back requests with suspected parts, and refuses quarantined ones.

    It must be asked again whenever a request is sent: when it has waited, and
    when it is repeated.
    """

    def __init__(self, vm: VmName) -> None:
        self.reports = PartReports()
        self._vm = vm
        self._known = KnownRecords()
        self._answered = AnsweredParts()
        self._local = LocalSuspicions()
        self._used: dict[PromptPart, int] = {}  # this VM's last trials
        self._waiting: Counter[PromptPart] = Counter()
        self._refused: set[PromptPart] = set()

    @property
    def version(self) -> int:
        """Return the version of the state."""
        return self._known.state.version

    def update(self, state: QuarantineState, now: float) -> None:
        """Apply the leader's state, and report parts known to be harmless."""
        self._known.update(state, now)
        self._used = {
            part: trial
            for part, trial in self._used.items()
            if self._known.get(part)
        }
        for record in state.parts:
            self._local.clear(record.part)
            if self._answered.contains(record.part, now):
                self.reports.add_answered((record.part,))

    def check(
        self, parts: Iterable[PromptPart], age_s: float, now: float
    ) -> PartVerdict:
        """Return whether a request with these parts may be sent now.

        ``age_s`` is the age of the state that came from the leader. Of several
        suspects, the most suspected one counts, or else the last one in the
        prompt: a trial of it tries the others too.
        """
        prime = FREE
        for part in parts:
            verdict = self._check_part(part, age_s, now)
            if verdict.status is PartStatus.QUARANTINED:
                self._refused.add(part)
                return verdict
            if verdict.crashes and verdict.crashes >= prime.crashes:
                prime = verdict
        return prime

    def begin(
        self, parts: Iterable[PromptPart], now: float
    ) -> tuple[PromptPart, ...]:
        """Record that a request is sent; return the parts that it tries."""
        trials = tuple(part for part in parts if self._holds_trial(part))
        for part in trials:
            record = self._known.get(part)
            self._used[part] = record.trials if record else 0
        for part in parts:
            self._local.record_trial(part, now)
        return trials

    def cancel(self, trials: Iterable[PromptPart]) -> None:
        """Take back ``begin``: the target did not run the request."""
        for part in trials:
            self._used.pop(part, None)

    def record_answer(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record that a target has begun to answer a request."""
        self._answered.record(parts, now)
        for part in parts:
            self._local.clear(part)
            if self._known.get(part):
                self.reports.add_answered((part,))

    def record_crash(self, crash: PartCrash, now: float) -> PartCrash | None:
        """Record a crash; return what it implicates, if anything.

        ``crash.parts`` are those of a request that ran and had no answer.
        """
        name = f'{crash.target}#{crash.incarnation}'
        self._answered.record_crash(crash.parts, name)
        suspected = tuple(
            part
            for part in crash.parts
            if not self._answered.contains(part, now)
        )
        if not suspected:
            return None
        for part in suspected:
            self._local.record_crash(part, name, now)
        implicated = crash._replace(parts=suspected)
        self.reports.add_crashes((implicated,))
        return implicated

    def add_waiting(self, part: PromptPart, change: int) -> None:
        """Change the number of requests that wait for a trial of a part."""
        self._waiting[part] += change

    def take_wishes(self) -> tuple[TrialWish, ...]:
        """Return the parts whose requests wait, or were refused.

        Refused requests are counted since the last call.
        """
        self._waiting = +self._waiting
        parts = sorted({*self._waiting, *self._refused})
        self._refused.clear()
        return tuple(
            TrialWish(part, self._vm, part in self._waiting) for part in parts
        )

    def _check_part(
        self, part: PromptPart, age_s: float, now: float
    ) -> PartVerdict:
        if self._answered.contains(part, now):
            return FREE
        record = self._known.get(part)
        if record is None:
            return self._check_local(part, age_s, now)
        if self._holds_trial(part):
            return self._verdict(PartStatus.FREE, record, now)
        if record.is_quarantined:
            return self._check_quarantined(record, age_s, now)
        if age_s > MAX_CONTACT_AGE_S:
            self._local.adopt(part, record.crashes, now)
            return self._check_local(part, age_s, now)
        return self._verdict(PartStatus.HELD, record, now)

    def _check_quarantined(
        self, record: PartRecord, age_s: float, now: float
    ) -> PartVerdict:
        """Hold a request for the next trial if it is due, or refuse it."""
        delay_s = trial_delay_s(record)
        if delay_s is None or age_s > MAX_CONTACT_AGE_S:
            return self._verdict(PartStatus.QUARANTINED, record, now)
        is_due = self._known.age_s(record.part, now) >= delay_s
        status = PartStatus.HELD if is_due else PartStatus.QUARANTINED
        return self._verdict(status, record, now)

    def _verdict(
        self, status: PartStatus, record: PartRecord, now: float
    ) -> PartVerdict:
        age_s = self._known.age_s(record.part, now)
        return PartVerdict(status, record.part, len(record.crashes), age_s)

    def _check_local(
        self, part: PromptPart, age_s: float, now: float
    ) -> PartVerdict:
        if not self._local.is_held(part, age_s, now):
            return FREE
        crashes = self._local.crashes(part)
        status = PartStatus.HELD
        if crashes >= MANY_CRASHES:
            status = PartStatus.QUARANTINED
        return PartVerdict(status, part, crashes)

    def _holds_trial(self, part: PromptPart) -> bool:
        """Return whether this VM may send one request with a part."""
        record = self._known.get(part)
        if record is None or record.holder != self._vm:
            return False
        return self._used.get(part) != record.trials
