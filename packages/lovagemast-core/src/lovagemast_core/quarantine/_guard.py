"""Decides at an entry VM which requests may be sent, by their prompt parts."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from .._types import Subject, VmName
from ._answered import AnsweredSubjects
from ._local import MANY_CRASHES, MAX_CONTACT_AGE_S, LocalSuspicions
from ._records import KnownRecords
from ._reports import QuarantineReports
from ._state import QuarantineState, SubjectRecord, TargetCrash, TrialWish
from ._subjects import is_request
from ._timing import trial_delay_s


class SendStatus(Enum):
    """Whether requests with a subject may be sent."""

    FREE = 'free'
    HELD = 'held'  # until a trial of the subject has ended, or is granted
    QUARANTINED = 'quarantined'


class QuarantineVerdict(NamedTuple):
    """The status of a request, with the subject that it follows from."""

    status: SendStatus
    subject: Subject = ''
    crashes: int = 0
    age_s: float = 0.0  # since the last news of the subject


FREE = QuarantineVerdict(SendStatus.FREE)


class QuarantineGuard:
    """Holds back requests with suspected subjects; refuses quarantined ones.

    It must be asked again whenever a request is sent: when it has waited, and
    when it is repeated.
    """

    def __init__(self, vm: VmName) -> None:
        self.reports = QuarantineReports()
        self._vm = vm
        self._known = KnownRecords()
        self._answered = AnsweredSubjects()
        self._local = LocalSuspicions()
        self._used: dict[Subject, int] = {}  # this VM's last trials
        self._waiting: Counter[Subject] = Counter()
        self._refused: set[Subject] = set()

    @property
    def version(self) -> int:
        """Return the version of the state."""
        return self._known.state.version

    def update(self, state: QuarantineState, now: float) -> None:
        """Apply the leader's state, and report subjects known as harmless."""
        self._known.update(state, now)
        self._used = {
            subject: trial
            for subject, trial in self._used.items()
            if self._known.get(subject)
        }
        for record in state.records:
            self._local.clear(record.subject)
            if self._answered.contains(record.subject, now):
                self.reports.add_answered((record.subject,))

    def check(
        self, subjects: Iterable[Subject], age_s: float, now: float
    ) -> QuarantineVerdict:
        """Return whether a request with these subjects may be sent now.

        ``age_s`` is the age of the state that came from the leader. Of several
        suspected parts, the most suspected one counts, or else the last one in
        the prompt: a trial of it tries the others too. The whole request, which
        comes last, counts if none of its parts is suspected.
        """
        prime = FREE
        for subject in subjects:
            verdict = self._check_subject(subject, age_s, now)
            if verdict.status is SendStatus.QUARANTINED:
                self._refused.add(subject)
                return verdict
            if _is_more_suspect(verdict, prime):
                prime = verdict
        return prime

    def begin(
        self, subjects: Iterable[Subject], now: float
    ) -> tuple[Subject, ...]:
        """Record that a request is sent; return the subjects that it tries."""
        trials = tuple(
            subject for subject in subjects if self._holds_trial(subject)
        )
        for subject in trials:
            record = self._known.get(subject)
            self._used[subject] = record.trials if record else 0
        for subject in subjects:
            self._local.record_trial(subject, now)
        return trials

    def cancel(self, trials: Iterable[Subject]) -> None:
        """Take back ``begin``: the target did not run the request."""
        for subject in trials:
            self._used.pop(subject, None)

    def record_answer(self, subjects: Iterable[Subject], now: float) -> None:
        """Record that a target has answered a request, to the end."""
        self._answered.record(subjects, now)
        self._clear_answered(subjects, now)

    def record_partial_answer(
        self, subjects: Iterable[Subject], now: float
    ) -> None:
        """Record that an answer has gone on for ``ANSWERING_S``."""
        self._answered.record_partial(subjects, now)
        self._clear_answered(subjects, now)

    def record_crash(
        self, crash: TargetCrash, now: float, *, answering: bool = False
    ) -> TargetCrash | None:
        """Record a crash; return what it implicates, if anything.

        ``crash.subjects`` are those of a request that ran there. ``answering``
        tells that its answer had gone on for ``ANSWERING_S``.
        """
        name = f'{crash.target}#{crash.incarnation}'
        self._answered.record_crash(crash.subjects, name, answering=answering)
        suspected = tuple(
            subject
            for subject in crash.subjects
            if not self._answered.contains(subject, now)
        )
        if not suspected:
            return None
        for subject in suspected:
            self._local.record_crash(subject, name, now)
        trials = tuple(
            subject
            for subject in crash.trials
            if not self._is_explained(subject)
        )
        implicated = crash._replace(subjects=suspected, trials=trials)
        self.reports.add_crashes((implicated,))
        return implicated

    def add_waiting(self, subject: Subject, change: int) -> None:
        """Change the number of requests that wait for a trial of a subject."""
        self._waiting[subject] += change

    def take_wishes(self) -> tuple[TrialWish, ...]:
        """Return the subjects whose requests wait, or were refused.

        Refused requests are counted since the last call.
        """
        self._waiting = +self._waiting
        subjects = sorted({*self._waiting, *self._refused})
        self._refused.clear()
        return tuple(
            TrialWish(subject, self._vm, subject in self._waiting)
            for subject in subjects
        )

    def _is_explained(self, subject: Subject) -> bool:
        """Return whether another suspect was at all its crashes and at more.

        That one may have crashed the target of a trial of ``subject``, too.
        """
        record = self._known.get(subject)
        crashes = set(record.crashes) if record else set()
        return any(
            crashes < set(other.crashes) for other in self._known.state.records
        )

    def _clear_answered(self, subjects: Iterable[Subject], now: float) -> None:
        for subject in subjects:
            if not self._answered.contains(subject, now):
                continue
            self._local.clear(subject)
            if self._known.get(subject):
                self.reports.add_answered((subject,))

    def _check_subject(
        self, subject: Subject, age_s: float, now: float
    ) -> QuarantineVerdict:
        if self._answered.contains(subject, now):
            return FREE
        record = self._known.get(subject)
        if record is None:
            return self._check_local(subject, age_s, now)
        if self._holds_trial(subject):
            return self._verdict(SendStatus.FREE, record, now)
        if record.is_quarantined:
            return self._check_quarantined(record, age_s, now)
        if age_s > MAX_CONTACT_AGE_S:
            self._local.adopt(subject, record.crashes, now)
            return self._check_local(subject, age_s, now)
        return self._verdict(SendStatus.HELD, record, now)

    def _check_quarantined(
        self, record: SubjectRecord, age_s: float, now: float
    ) -> QuarantineVerdict:
        """Hold a request for the next trial if it is due, or refuse it."""
        delay_s = trial_delay_s(record)
        if delay_s is None or age_s > MAX_CONTACT_AGE_S:
            return self._verdict(SendStatus.QUARANTINED, record, now)
        is_due = self._known.age_s(record.subject, now) >= delay_s
        status = SendStatus.HELD if is_due else SendStatus.QUARANTINED
        return self._verdict(status, record, now)

    def _verdict(
        self, status: SendStatus, record: SubjectRecord, now: float
    ) -> QuarantineVerdict:
        age_s = self._known.age_s(record.subject, now)
        return QuarantineVerdict(
            status, record.subject, len(record.crashes), age_s
        )

    def _check_local(
        self, subject: Subject, age_s: float, now: float
    ) -> QuarantineVerdict:
        if not self._local.is_held(subject, age_s, now):
            return FREE
        crashes = self._local.crashes(subject)
        status = SendStatus.HELD
        if crashes >= MANY_CRASHES:
            status = SendStatus.QUARANTINED
        return QuarantineVerdict(status, subject, crashes)

    def _holds_trial(self, subject: Subject) -> bool:
        """Return whether this VM may send one request with a subject."""
        record = self._known.get(subject)
        if record is None or record.holder != self._vm:
            return False
        return self._used.get(subject) != record.trials


def _is_more_suspect(
    verdict: QuarantineVerdict, prime: QuarantineVerdict
) -> bool:
    """Return whether a subject is to be tried rather than one before it."""
    if not verdict.crashes:
        return False
    if is_request(verdict.subject) and prime.crashes:
        return False
    return verdict.crashes >= prime.crashes
