"""Keeps suspected and quarantined requests from targets."""

from typing import Final

from lovagemast_core.entry import KnownTarget
from lovagemast_core.quarantine import (
    ANSWERING_S,
    QuarantineVerdict,
    SendStatus,
    Subject,
    TargetCrash,
    is_request,
)

from .._clock import now_s
from ._entrystate import EntryState
from ._refusal import HttpRefusal

# First words of the refusal's reason, which callers may rely on.
PART_QUARANTINED_CODE: Final = 'prompt-part-quarantined'
PART_SUSPECTED_CODE: Final = 'prompt-part-suspected'
REQUEST_QUARANTINED_CODE: Final = 'request-quarantined'
REQUEST_SUSPECTED_CODE: Final = 'request-suspected'
QUARANTINED_RETRY_AFTER_S: Final = 30.0
SUSPECTED_RETRY_AFTER_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.2


class QuarantineCheck:
    """Checks one request's subjects, and reports how its sends ended.

    These are the parts of its prompt and, last, the request itself.
    """

    def __init__(
        self,
        state: EntryState,
        subjects: tuple[Subject, ...],
        request_id: str,
    ) -> None:
        self._state = state
        self._subjects = subjects
        self._request_id = request_id
        self._trials: tuple[str, ...] = ()
        self._waiting_for = ''
        self._first_event_at: float | None = None  # s, of the present attempt
        self._is_answering = False  # has sent events for long enough

    def verdict(self) -> QuarantineVerdict:
        """Return whether the request may be sent now."""
        now = now_s()
        state = self._state
        return state.guard.check(self._subjects, state.view.age(now), now)

    def quarantine_refusal(self) -> HttpRefusal | None:
        """Return the refusal if a subject is quarantined."""
        verdict = self.verdict()
        if verdict.status is not SendStatus.QUARANTINED:
            return None
        self._state.metrics.record_quarantined()
        return _refusal(verdict)

    def held_refusal(self) -> HttpRefusal:
        """Return the refusal of a request that has waited for a trial."""
        return _refusal(self.verdict())

    def wait_for(self, subject: Subject) -> None:
        """Request a trial of a subject; an empty one ends the wait."""
        if subject == self._waiting_for:
            return
        guard = self._state.guard
        if self._waiting_for:
            guard.add_waiting(self._waiting_for, -1)
        self._waiting_for = subject
        if subject:
            guard.add_waiting(subject, 1)
            self._state.request_sync()

    def begin(self) -> None:
        """Record that the request is sent to a target."""
        self._first_event_at = None
        self._is_answering = False
        self._trials = self._state.guard.begin(self._subjects, now_s())
        if self._trials:
            self._state.log.write(
                'quarantine', 'trial', id=self._request_id, parts=self._trials
            )

    def record_inconclusive(self) -> None:
        """Record that the target rejected the request, or answered an error.

        Neither tells whether its subjects crash targets, so that a trial of
        them may be repeated.
        """
        self._state.guard.cancel(self._trials)
        self._trials = ()

    def record_answer(self) -> None:
        """Record that the target has answered, to the end."""
        self._state.guard.record_answer(self._subjects, now_s())
        self._send_reports()

    def record_event(self) -> None:
        """Record that the target has sent an event of a stream.

        The first one proves nothing: the target may crash a moment later.
        """
        now = now_s()
        if self._first_event_at is None:
            self._first_event_at = now
        if self._is_answering or now - self._first_event_at < ANSWERING_S:
            return
        self._is_answering = True
        self._state.guard.record_partial_answer(self._subjects, now)
        self._send_reports()

    async def record_lost(self, known: KnownTarget) -> None:
        """Record that the connection was lost before the answer was complete.

        A target that takes no further connection has crashed; otherwise only
        this connection is lost. One that is leaving ends whatever it runs,
        and a suspicion would hold back the retries of all of it.
        """
        target, incarnation = known.record.target, known.record.incarnation
        if self._is_leaving(known):
            self.record_inconclusive()
            return
        if not await self._has_crashed(known.record.address):
            return
        now = now_s()
        self._state.health.record_unreachable(target, now)
        crash = TargetCrash(target, incarnation, self._subjects, self._trials)
        implicated = self._state.guard.record_crash(
            crash, now, answering=self._is_answering
        )
        if implicated is None:
            return
        self._state.metrics.record_crash()
        self._state.log.write(
            'quarantine',
            'target crashed',
            id=self._request_id,
            target=target,
            incarnation=incarnation,
            parts=implicated.subjects,
            trials=implicated.trials,
        )
        self._state.request_sync()

    def _is_leaving(self, known: KnownTarget) -> bool:
        view = self._state.view
        record = view.targets.get(known.record.target, known).record
        is_same = record.incarnation == known.record.incarnation
        return is_same and view.is_leaving(record)

    def _send_reports(self) -> None:
        if self._state.guard.reports:
            self._state.request_sync()

    async def _has_crashed(self, address: str) -> bool:
        pool = self._state.pool
        return not await pool.probe(address, PROBE_TIMEOUT_S, now_s())


def _refusal(verdict: QuarantineVerdict) -> HttpRefusal:
    """Return the refusal for a subject that holds a request back."""
    is_quarantined = verdict.status is SendStatus.QUARANTINED
    retry_after_s = (
        QUARANTINED_RETRY_AFTER_S if is_quarantined else SUSPECTED_RETRY_AFTER_S
    )
    reason = (
        f'{_subject_text(verdict.subject, is_quarantined=is_quarantined)}, '
        f'{verdict.crashes} crashes, {verdict.age_s:.1f} s ago'
    )
    return HttpRefusal(503, reason, retry_after_s)


def _subject_text(subject: Subject, *, is_quarantined: bool) -> str:
    if is_request(subject):
        code = (
            REQUEST_QUARANTINED_CODE
            if is_quarantined
            else REQUEST_SUSPECTED_CODE
        )
        return f'{code}: {subject}'
    code = PART_QUARANTINED_CODE if is_quarantined else PART_SUSPECTED_CODE
    return f'{code}: part {subject}'
