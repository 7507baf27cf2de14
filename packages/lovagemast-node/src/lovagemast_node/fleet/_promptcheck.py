"""Keeps requests with suspected or quarantined prompt parts from targets."""

from typing import Final

from lovagemast_core.quarantine import (
    QuarantineVerdict,
    SendStatus,
    TargetCrash,
)

from .._clock import now_s
from ..http import ConnectFailed
from ._codec import RequestMetadata
from ._entrystate import EntryState
from ._refusal import HttpRefusal

# First words of the refusal's reason, which callers may rely on.
QUARANTINED_CODE: Final = 'prompt-part-quarantined'
SUSPECTED_CODE: Final = 'prompt-part-suspected'
QUARANTINED_RETRY_AFTER_S: Final = 30.0
SUSPECTED_RETRY_AFTER_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.2


class PromptCheck:
    """Checks one request's prompt parts, and reports how its sends ended."""

    def __init__(self, state: EntryState, metadata: RequestMetadata) -> None:
        self._state = state
        self._parts = metadata.parts
        self._request_id = metadata.request_id
        self._trials: tuple[str, ...] = ()
        self._waiting_for = ''

    def verdict(self) -> QuarantineVerdict:
        """Return whether the request may be sent now."""
        now = now_s()
        state = self._state
        return state.guard.check(self._parts, state.view.age(now), now)

    def quarantine_refusal(self) -> HttpRefusal | None:
        """Return the refusal if a part is quarantined."""
        verdict = self.verdict()
        if verdict.status is not SendStatus.QUARANTINED:
            return None
        self._state.metrics.record_quarantined()
        return _refusal(verdict)

    def held_refusal(self) -> HttpRefusal:
        """Return the refusal of a request that has waited for a trial."""
        return _refusal(self.verdict())

    def wait_for(self, part: str) -> None:
        """Request a trial of a part; an empty one ends the wait."""
        if part == self._waiting_for:
            return
        guard = self._state.guard
        if self._waiting_for:
            guard.add_waiting(self._waiting_for, -1)
        self._waiting_for = part
        if part:
            guard.add_waiting(part, 1)
            self._state.request_sync()

    def begin(self) -> None:
        """Record that the request is sent to a target."""
        self._trials = self._state.guard.begin(self._parts, now_s())
        if self._trials:
            self._state.log.write(
                'quarantine', 'trial', id=self._request_id, parts=self._trials
            )

    def record_not_run(self) -> None:
        """Record that the target did not run the request."""
        self._state.guard.cancel(self._trials)
        self._trials = ()

    def record_answer(self) -> None:
        """Record that the target has begun to answer."""
        guard = self._state.guard
        guard.record_answer(self._parts, now_s())
        if guard.reports:
            self._state.request_sync()

    async def record_lost(
        self, target: str, incarnation: int, address: str
    ) -> None:
        """Record that the connection was lost before an answer began.

        A target that takes no further connection has crashed; otherwise only
        this connection is lost.
        """
        if not self._parts or not await self._has_crashed(address):
            return
        now = now_s()
        self._state.health.record_unreachable(target, now)
        crash = TargetCrash(target, incarnation, self._parts, self._trials)
        implicated = self._state.guard.record_crash(crash, now)
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

    async def _has_crashed(self, address: str) -> bool:
        pool = self._state.pool
        conn = await pool.acquire(
            address, fresh=True, timeout_s=PROBE_TIMEOUT_S, now=now_s()
        )
        if isinstance(conn, ConnectFailed):
            return True
        pool.release(conn, now_s())
        return False


def _refusal(verdict: QuarantineVerdict) -> HttpRefusal:
    """Return the refusal for a part that holds a request back."""
    code = SUSPECTED_CODE
    retry_after_s = SUSPECTED_RETRY_AFTER_S
    if verdict.status is SendStatus.QUARANTINED:
        code = QUARANTINED_CODE
        retry_after_s = QUARANTINED_RETRY_AFTER_S
    reason = (
        f'{code}: part {verdict.subject}, {verdict.crashes} crashes, '
        f'{verdict.age_s:.1f} s ago'
    )
    return HttpRefusal(503, reason, retry_after_s)
