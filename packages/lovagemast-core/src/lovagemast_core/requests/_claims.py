"""Runs non-idempotent calls at most once across all VMs.

The control VMs commit a claim before the call is sent. If the caller
repeats the request, at whichever VM, it gets the stored response or is told
that the outcome is not known.
"""

from collections.abc import Callable
from typing import Final

from .._commands import (
    AlreadyClaimed,
    ClaimCall,
    Claimed,
    FinishCall,
    Outcome,
)
from .._effects import SendStoredResponse
from .._types import ExecutionStatus, Reason, Refusal
from ..agreement._proposals import ProposalController
from ._context import RequestContext
from ._filters import FilterChain, FilterDecision

CLAIM_TIMEOUT_S: Final = 3.0
FINISH_TIMEOUT_S: Final = 60.0
MAX_STORED_BODY_BYTES: Final = 4_096  # kept in memory and snapshots
RETRY_AFTER_S: Final = 2.0


class ClaimFilter:
    """Claims the only execution of a call with an idempotency key."""

    def __init__(
        self,
        proposals: ProposalController,
        holder_prefix: str,
        on_stored: Callable[[RequestContext, SendStoredResponse, float], None],
    ) -> None:
        self.chain: FilterChain | None = None
        self._proposals = proposals
        self._holder_prefix = holder_prefix
        self._on_stored = on_stored

    def apply(
        self,
        ctx: RequestContext,
        now: float,
    ) -> FilterDecision | Refusal:
        """Hold a non-idempotent call until its claim is decided."""
        if ctx.idempotent or not ctx.req.idempotency_key:
            return FilterDecision.PASS
        claim = f'{ctx.account_name}/{ctx.req.idempotency_key}'
        command = ClaimCall(
            claim,
            ctx.req.fingerprint,
            self._holder(ctx),
            now,
        )
        self._proposals.propose(
            command,
            lambda outcome, when: self._on_claim_outcome(
                ctx,
                command,
                outcome,
                when,
            ),
            timeout_s=CLAIM_TIMEOUT_S,
            now=now,
        )
        return FilterDecision.WAIT

    def finish(
        self,
        ctx: RequestContext,
        status: int,
        media_type: str,
        now: float,
    ) -> None:
        """Record how a claimed call ended; status 0 releases the claim."""
        if not ctx.claim:
            return
        body = bytes(ctx.stored_body) if status else b''
        self._propose_finish(
            FinishCall(
                ctx.claim,
                self._holder(ctx),
                status,
                media_type,
                body,
            ),
            now,
        )
        ctx.claim = ''

    def _holder(self, ctx: RequestContext) -> str:
        return f'{self._holder_prefix}/{ctx.req.request}'

    def _propose_finish(self, command: FinishCall, now: float) -> None:
        self._proposals.propose(
            command,
            lambda _outcome, _when: None,
            timeout_s=FINISH_TIMEOUT_S,
            now=now,
        )

    def _on_claim_outcome(
        self,
        ctx: RequestContext,
        command: ClaimCall,
        outcome: Outcome,
        now: float,
    ) -> None:
        if isinstance(outcome, AlreadyClaimed):
            self._answer_duplicate(ctx, outcome, now)
            return
        may_run = isinstance(outcome, Claimed) and not ctx.closed
        if may_run and self.chain:
            ctx.claim = command.claim
            self.chain.run(ctx, now)
            return
        release = FinishCall(command.claim, command.holder, 0)
        self._propose_finish(release, now)
        if self.chain and not ctx.closed:
            refusal = Refusal(
                Reason.CONTROL_UNREACHABLE,
                'the call could not be claimed, so it was not sent',
                retry_after_s=RETRY_AFTER_S,
            )
            self.chain.refuse(ctx, refusal, now)

    def _answer_duplicate(
        self,
        ctx: RequestContext,
        known: AlreadyClaimed,
        now: float,
    ) -> None:
        if ctx.closed or self.chain is None:
            return
        if not known.same_request:
            detail = 'the idempotency key came with another request before'
            refusal = Refusal(Reason.DUPLICATE_MISMATCH, detail)
            self.chain.refuse(ctx, refusal, now)
        elif known.status:
            stored = SendStoredResponse(
                ctx.req.request,
                known.status,
                known.media_type,
                known.body,
            )
            self._on_stored(ctx, stored, now)
        else:
            refusal = Refusal(
                Reason.DUPLICATE_IN_PROGRESS,
                'the first call has not ended, or its outcome is not known',
                ExecutionStatus.UNKNOWN,
                RETRY_AFTER_S,
            )
            self.chain.refuse(ctx, refusal, now)
