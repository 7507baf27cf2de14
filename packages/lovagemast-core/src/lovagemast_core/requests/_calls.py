"""Handles the events of calls to targets and retries failed attempts."""

from collections.abc import Callable
from typing import Final

from .._effects import CancelCall
from .._events import CallFailure
from .._messages import Ending, TicketClosed
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import AttemptId, ExecutionStatus, Reason, Refusal
from ._attempts import AttemptRegistry
from ._context import Attempt, AttemptState, RequestContext
from ._responses import ResponseWriter
from ._retry import MAX_ATTEMPTS, RetryBudget

CRASH_VERDICT_TIMEOUT_S: Final = 2.5  # for the owner to detect a crash
FIRST_RETRYABLE_STATUS: Final = 500

PlaceRequest = Callable[[RequestContext, float], None]


class CallController:
    """Passes responses on and decides whether to retry failed attempts."""

    def __init__(
        self,
        outbox: Outbox,
        attempts: AttemptRegistry,
        responses: ResponseWriter,
        budget: RetryBudget,
        place: PlaceRequest,
    ) -> None:
        self._outbox = outbox
        self._attempts = attempts
        self._responses = responses
        self._budget = budget
        self._place = place

    def on_started(
        self,
        attempt_id: AttemptId,
        status: int,
        media_type: str,
        now: float,
    ) -> None:
        """Record the response head; retry if it is a server error."""
        found = self._attempts.find_running(attempt_id)
        if found is None:
            return
        ctx, attempt = found
        attempt.last_activity_at = now
        attempt.status = status
        attempt.media_type = media_type
        failed = status >= FIRST_RETRYABLE_STATUS
        if failed and self._may_retry(ctx):
            self._outbox.emit(CancelCall(attempt_id))
            self._record_failure(ctx, attempt, f'status {status}', now)
            self._retry(ctx, attempt, now)

    def on_chunk(
        self,
        attempt_id: AttemptId,
        chunk: bytes,
        tokens: int,
        now: float,
    ) -> None:
        """Pass a part of a response on to the caller."""
        found = self._attempts.find_running(attempt_id)
        if found is None:
            return
        ctx, attempt = found
        attempt.last_activity_at = now
        if not attempt.first_chunk_s:
            attempt.first_chunk_s = now - attempt.opened_at
        ctx.output_tokens += tokens
        self._responses.send_chunk(ctx, attempt, chunk)

    def on_ended(self, attempt_id: AttemptId, now: float) -> None:
        """Finish a request whose response is complete."""
        found = self._attempts.find_running(attempt_id)
        if found is None:
            return
        ctx, attempt = found
        self._attempts.end(ctx, Ending.WHOLE)
        self._responses.end(ctx, attempt, now)

    def on_failed(
        self,
        attempt_id: AttemptId,
        failure: CallFailure,
        detail: str,
        now: float,
    ) -> None:
        """Retry or fail a request after a failed attempt."""
        found = self._attempts.find_running(attempt_id)
        if found is None:
            return
        ctx, attempt = found
        self._record_failure(ctx, attempt, f'{failure}: {detail}', now)
        if failure is CallFailure.BROKEN:
            self._await_crash_verdict(ctx, attempt, now)
            return
        ctx.may_have_run = attempt.earlier_may_have_run
        ending = Ending.ABANDONED
        if failure is CallFailure.NOT_LOADED:
            ending = Ending.NOT_LOADED
        else:
            ctx.tried_targets.append(attempt.target)
        self._attempts.end(ctx, ending)
        if ctx.attempt_count < MAX_ATTEMPTS and not ctx.head_sent:
            self._place(ctx, now)
        else:
            refusal = Refusal(Reason.TARGET_FAILED, detail)
            self._responses.fail(ctx, refusal, now)

    def on_closed(self, closed: TicketClosed, now: float) -> None:
        """Handle the owner's verdict whether a crash broke off a call."""
        ctx = self._attempts.find(closed.attempt)
        if ctx is None or ctx.current_attempt is None:
            return
        ctx.current_attempt.crash_verdict = closed
        if ctx.current_attempt.state is AttemptState.AWAITING_CRASH_VERDICT:
            self._retry_or_fail(ctx, ctx.current_attempt, now)

    def check_timeout(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        """Cancel a call that has timed out, else check again when it is due."""
        if ctx.current_attempt is not attempt or ctx.route is None:
            return
        if attempt.state is not AttemptState.RUNNING:
            return
        deadline = attempt.timeout_at(ctx.route)
        if now >= deadline:
            self._time_out(ctx, attempt, now)
        else:
            attempt.timer = self._outbox.call_at(
                deadline,
                lambda when: self.check_timeout(ctx, attempt, when),
            )

    def _time_out(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        self._outbox.emit(CancelCall(attempt.attempt))
        self._record_failure(ctx, attempt, 'silent', now)
        if self._may_retry(ctx):
            self._retry(ctx, attempt, now)
            return
        self._attempts.end(ctx, Ending.SILENT)
        refusal = Refusal(
            Reason.TARGET_SILENT,
            'the target fell silent',
            ExecutionStatus.UNKNOWN,
        )
        self._responses.fail(ctx, refusal, now)

    def _await_crash_verdict(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        attempt.state = AttemptState.AWAITING_CRASH_VERDICT
        self._attempts.send_return(attempt, Ending.BROKEN)
        if attempt.crash_verdict or not self._may_retry(ctx):
            self._retry_or_fail(ctx, attempt, now)
            return
        if attempt.timer:
            attempt.timer.cancel()
        attempt.timer = self._outbox.call_at(
            now + CRASH_VERDICT_TIMEOUT_S,
            lambda when: self._retry_or_fail(ctx, attempt, when),
        )

    def _retry_or_fail(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        if ctx.current_attempt is not attempt:
            return
        verdict = attempt.crash_verdict
        may_retry = self._may_retry(ctx)
        ctx.tried_targets.append(attempt.target)
        self._attempts.discard(ctx)
        if verdict and verdict.crashed:
            ctx.suspect = True
        if verdict and verdict.quarantined:
            refusal = Refusal(
                Reason.QUARANTINED,
                'targets crashed while they ran this request',
                ExecutionStatus.UNKNOWN,
            )
            self._responses.fail(ctx, refusal, now)
        elif may_retry and self._budget.try_acquire():
            self._place(ctx, now)
        else:
            refusal = Refusal(
                Reason.TARGET_FAILED,
                'the connection to the target broke off',
                ExecutionStatus.UNKNOWN,
            )
            self._responses.fail(ctx, refusal, now)

    def _may_retry(self, ctx: RequestContext) -> bool:
        if ctx.head_sent or not ctx.idempotent or ctx.detached:
            return False
        return ctx.attempt_count < MAX_ATTEMPTS

    def _retry(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        self._attempts.end(ctx, Ending.SILENT)
        ctx.tried_targets.append(attempt.target)
        if self._budget.try_acquire():
            self._place(ctx, now)
            return
        refusal = Refusal(
            Reason.TARGET_FAILED,
            'the target failed and the retry budget is spent',
            ExecutionStatus.UNKNOWN,
        )
        self._responses.fail(ctx, refusal, now)

    def _record_failure(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        detail: str,
        now: float,
    ) -> None:
        self._outbox.record(
            now,
            EventKind.ATTEMPT_FAILED,
            detail,
            request=ctx.req.request,
            account=ctx.account_name,
            target=attempt.target,
        )
