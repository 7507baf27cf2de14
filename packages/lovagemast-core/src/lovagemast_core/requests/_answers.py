"""Relays the answers of running attempts and retries those that fail."""

from collections.abc import Callable
from typing import Final

from .._effects import CancelCall
from .._events import CallFailure
from .._messages import Ending, TicketClosed
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import AttemptId, ExecutionStatus, Reason, Refusal
from ._attempts import AttemptBook
from ._context import Attempt, AttemptState, RequestContext
from ._relay import Relay
from ._retry import MAX_ATTEMPTS, RetryBudget

VERDICT_S: Final = 2.5  # wait for the owner's word on a broken call
FIRST_RETRYABLE_STATUS: Final = 500

Place = Callable[[RequestContext, float], None]


class AnswerController:
    """Decides what becomes of a request from its call's events."""

    def __init__(
        self,
        outbox: Outbox,
        book: AttemptBook,
        relay: Relay,
        budget: RetryBudget,
        place: Place,
    ) -> None:
        self._outbox = outbox
        self._book = book
        self._relay = relay
        self._budget = budget
        self._place = place

    def on_started(
        self,
        name: AttemptId,
        status: int,
        media_type: str,
        now: float,
    ) -> None:
        """Take the head of a target's answer."""
        found = self._book.running(name)
        if found is None:
            return
        ctx, attempt = found
        attempt.active_at = now
        attempt.status = status
        attempt.media_type = media_type
        failed = status >= FIRST_RETRYABLE_STATUS
        if failed and self._may_retry(ctx):
            self._outbox.emit(CancelCall(name))
            self._note_failure(ctx, attempt, f'status {status}', now)
            self._retry(ctx, attempt, now)

    def on_chunk(
        self,
        name: AttemptId,
        chunk: bytes,
        tokens: int,
        now: float,
    ) -> None:
        """Pass a part of an answer on."""
        found = self._book.running(name)
        if found is None:
            return
        ctx, attempt = found
        attempt.active_at = now
        if not attempt.first_chunk_s:
            attempt.first_chunk_s = now - attempt.opened_at
        ctx.tokens += tokens
        self._relay.chunk(ctx, attempt, chunk)

    def on_ended(self, name: AttemptId, now: float) -> None:
        """Finish a request whose answer came whole."""
        found = self._book.running(name)
        if found is None:
            return
        ctx, attempt = found
        self._book.end(ctx, Ending.WHOLE)
        self._relay.end(ctx, attempt, now)

    def on_failed(
        self,
        name: AttemptId,
        failure: CallFailure,
        detail: str,
        now: float,
    ) -> None:
        """Retry or fail a request whose attempt has failed."""
        found = self._book.running(name)
        if found is None:
            return
        ctx, attempt = found
        self._note_failure(ctx, attempt, f'{failure}: {detail}', now)
        if failure is CallFailure.BROKEN:
            self._broke_off(ctx, attempt, now)
            return
        ctx.may_have_run = attempt.ran_before
        ending = Ending.ABANDONED
        if failure is CallFailure.NOT_LOADED:
            ending = Ending.NOT_LOADED
        else:
            ctx.tried_targets.append(attempt.target)
        self._book.end(ctx, ending)
        if ctx.attempts < MAX_ATTEMPTS and not ctx.head_sent:
            self._place(ctx, now)
        else:
            refusal = Refusal(Reason.TARGET_FAILED, detail)
            self._relay.fail(ctx, refusal, now)

    def on_closed(self, closed: TicketClosed, now: float) -> None:
        """Learn whether a call broke off because its target crashed."""
        ctx = self._book.flight_of(closed.attempt)
        if ctx is None or ctx.current is None:
            return
        ctx.current.verdict = closed
        if ctx.current.state is AttemptState.VERDICT:
            self._decide(ctx, ctx.current, now)

    def watch(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        """Cancel a call whose target falls silent."""
        if ctx.current is not attempt or ctx.route is None:
            return
        if attempt.state is not AttemptState.RUNNING:
            return
        due = attempt.silent_at(ctx.route)
        if now >= due:
            self._went_silent(ctx, attempt, now)
        else:
            attempt.timer = self._outbox.call_at(
                due,
                lambda when: self.watch(ctx, attempt, when),
            )

    def _went_silent(
        self,
        ctx: RequestContext,
        attempt: Attempt,
        now: float,
    ) -> None:
        self._outbox.emit(CancelCall(attempt.attempt))
        self._note_failure(ctx, attempt, 'silent', now)
        if self._may_retry(ctx):
            self._retry(ctx, attempt, now)
            return
        self._book.end(ctx, Ending.SILENT)
        refusal = Refusal(
            Reason.TARGET_SILENT,
            'the target fell silent',
            ExecutionStatus.UNKNOWN,
        )
        self._relay.fail(ctx, refusal, now)

    def _broke_off(
        self, ctx: RequestContext, attempt: Attempt, now: float
    ) -> None:
        attempt.state = AttemptState.VERDICT
        self._book.send_return(attempt, Ending.BROKEN)
        if attempt.verdict or not self._may_retry(ctx):
            self._decide(ctx, attempt, now)
            return
        if attempt.timer:
            attempt.timer.cancel()
        attempt.timer = self._outbox.call_at(
            now + VERDICT_S,
            lambda when: self._decide(ctx, attempt, when),
        )

    def _decide(
        self, ctx: RequestContext, attempt: Attempt, now: float
    ) -> None:
        if ctx.current is not attempt:
            return
        verdict = attempt.verdict
        may_retry = self._may_retry(ctx)
        ctx.tried_targets.append(attempt.target)
        self._book.forget(ctx)
        if verdict and verdict.crashed:
            ctx.suspect = True
        if verdict and verdict.quarantined:
            refusal = Refusal(
                Reason.QUARANTINED,
                'targets crashed while they ran this request',
                ExecutionStatus.UNKNOWN,
            )
            self._relay.fail(ctx, refusal, now)
        elif may_retry and self._budget.spend():
            self._place(ctx, now)
        else:
            refusal = Refusal(
                Reason.TARGET_FAILED,
                'the connection to the target broke off',
                ExecutionStatus.UNKNOWN,
            )
            self._relay.fail(ctx, refusal, now)

    def _may_retry(self, ctx: RequestContext) -> bool:
        if ctx.head_sent or not ctx.idempotent or ctx.detached:
            return False
        return ctx.attempts < MAX_ATTEMPTS

    def _retry(self, ctx: RequestContext, attempt: Attempt, now: float) -> None:
        self._book.end(ctx, Ending.SILENT)
        ctx.tried_targets.append(attempt.target)
        if self._budget.spend():
            self._place(ctx, now)
            return
        refusal = Refusal(
            Reason.TARGET_FAILED,
            'the target failed and the retry budget is spent',
            ExecutionStatus.UNKNOWN,
        )
        self._relay.fail(ctx, refusal, now)

    def _note_failure(
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
