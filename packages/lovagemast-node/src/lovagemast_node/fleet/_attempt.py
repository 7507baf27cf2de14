"""Sends a request to one target and relays its response."""

from typing import Final

from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import Candidate, EntryShare
from lovagemast_core.quarantine import SendStatus

from .._clock import now_s
from ..http import (
    MAX_EVENT_BYTES,
    BodyShare,
    ConnectFailed,
    ResponseData,
    ResponseEnd,
    ResponseEvent,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    check_size,
)
from ._admitted import AdmittedRequest
from ._answertimes import AnswerTimes
from ._attemptresult import AttemptOutcome, AttemptResult
from ._codec import TargetResponseMetadata
from ._entrystate import EntryState
from ._quarantinecheck import QuarantineCheck
from ._relay import ResponseRelay
from ._streamcontinuity import StreamContinuity
from ._targetlimits import record_limit, record_tolerance, send_terms
from ._targetrequest import encode_request_head
from ._targetstate import record_state
from ._usage import RequestUsage

TARGET_CONNECT_TIMEOUT_S: Final = 0.2
# Without a byte for so long, the path to the target is probed.
SILENCE_S: Final = 0.5
PATH_LOST: Final = 'no target of the pool is in reach'
FULL_BACKOFF_S: Final = 0.03  # before a full target is tried again
# Before a target is tried again whose address another target has taken.
WRONG_TARGET_BACKOFF_S: Final = 0.5
STATUS_SERVER_ERROR: Final = 500
STATUS_REDIRECT: Final = 300


class Attempt:
    """One attempt to run a request at one target."""

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        candidate: Candidate,
        relay: ResponseRelay,
        quarantine: QuarantineCheck,
        continuity: StreamContinuity,
        usage: RequestUsage,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._candidate = candidate
        self._relay = relay
        self._quarantine = quarantine
        self._continuity = continuity
        self._usage = usage
        self._target = candidate.known.record.target
        self._pool = candidate.known.record.pool
        self._prefill_tokens = 0.0  # counted against the target's limit
        self._times = AnswerTimes(admitted, candidate.known.record)
        self.may_have_run = False

    async def run(self, *, is_last_attempt: bool) -> AttemptResult:
        """Send the request and relay the response to the caller.

        A 5xx response of the target is relayed if ``is_last_attempt`` is
        set; otherwise the attempt counts as failed.
        """
        state = self._state
        now = now_s()
        known = self._candidate.known
        # Nothing else can take the token between the choice and this.
        permit = state.sends.try_send(known, send_terms(state, now), now)
        if permit is None:
            return AttemptResult(
                AttemptOutcome.NOT_SENT,
                'the target takes no more within its limit',
            )
        state.load.request_started(self._target, self._candidate.label)
        try:
            result = await self._connect_and_run(
                is_last_attempt=is_last_attempt
            )
        finally:
            state.load.request_ended(self._target, self._candidate.label)
        if result.outcome is AttemptOutcome.NOT_SENT:
            state.sends.cancel(permit, now_s())
        elif permit.is_limited:
            state.metrics.record_limited_send()
        return result

    async def _connect_and_run(self, *, is_last_attempt: bool) -> AttemptResult:
        state = self._state
        conn = await state.pool.acquire(
            self._candidate.known.record.address,
            fresh=not self._admitted.route.idempotent,
            timeout_s=TARGET_CONNECT_TIMEOUT_S,
            now=now_s(),
        )
        if isinstance(conn, ConnectFailed):
            state.health.record_unreachable(self._target, now_s())
            state.prober.on_connect_failed(self._candidate.known)
            return AttemptResult(AttemptOutcome.NOT_SENT, conn.detail)
        return await self._run_over(conn, is_last_attempt=is_last_attempt)

    async def _run_over(
        self, conn: TargetConnection, *, is_last_attempt: bool
    ) -> AttemptResult:
        is_complete = False
        try:
            result = await self._exchange(conn, is_last_attempt=is_last_attempt)
            is_complete = result.outcome is AttemptOutcome.DONE
        finally:
            self._release_prefill()
            if is_complete:
                self._state.pool.release(conn, now_s())
            else:
                conn.close()
        return result

    async def _exchange(
        self,
        conn: TargetConnection,
        *,
        is_last_attempt: bool,
    ) -> AttemptResult:
        state = self._state
        now = now_s()
        obstacle = self._check_send(now)
        if obstacle:
            return obstacle
        state.cold.record_request(self._target, now)
        self.may_have_run = True
        self._reserve_prefill()
        self._quarantine.begin()
        self._times.begin(now)
        self._usage.record_sent()
        conn.send(
            encode_request_head(
                state, self._admitted, self._candidate, self._last_event_id, now
            ),
            self._admitted.metadata.request_id.encode('latin-1'),
            state.codec.id_header,
            self._admitted.req.body,
        )
        event = await self._next_event(conn)
        if not isinstance(event, ResponseHead):
            return await self._on_incomplete(event)
        response = state.codec.decode_response_head(event)
        self._usage.record_head(response)
        if not response.other_target:
            record_tolerance(state, self._candidate.known, response, now)
            state.load.paces.record_report(self._candidate.known, response.pace)
        record_limit(state, self._candidate.known, response, now)
        if event.echoes_id and not response.other_target:
            record_state(state, self._candidate.known, response)
        if response.running is not None:
            requests = response.running + (response.waiting or 0)
            state.load.target_reported(self._target, requests, now_s())
        self._times.on_head(response)
        is_refusal = response.not_executed or response.other_target
        if is_refusal and not event.echoes_id:
            return self._fail('a refusal without the id of the request')
        obstacle = self._check_response(
            response, is_last_attempt=is_last_attempt
        )
        if obstacle:
            return obstacle
        return await self._relay_response(conn, event)

    async def _next_event(self, conn: TargetConnection) -> ResponseEvent:
        """Wait for the next event, or until the path to it is known as lost."""
        while True:
            try:
                return await conn.next_event(SILENCE_S)
            except TimeoutError:
                if await self._state.prober.is_lost(self._candidate.known):
                    return ResponseFailed(PATH_LOST)

    def _check_response(
        self, response: TargetResponseMetadata, *, is_last_attempt: bool
    ) -> AttemptResult | None:
        """Return why a response is not relayed; ``None`` if it may be."""
        if response.not_executed or response.other_target:
            return self._on_not_executed(response)
        if self._relay.started and response.status >= STATUS_REDIRECT:
            return self._fail(f'{response.status}, as the stream goes on')
        if response.status >= STATUS_SERVER_ERROR:
            self._state.health.record_failure(self._target, now_s())
            # It may have failed before it came to what crashes targets.
            self._quarantine.record_inconclusive()
            if not is_last_attempt:
                return AttemptResult(
                    AttemptOutcome.FAILED, str(response.status)
                )
        elif response.status < STATUS_REDIRECT and not response.is_from_target:
            return self._fail('not the answer of the target')
        return None

    def _check_send(self, now: float) -> AttemptResult | None:
        """Return why the request is not sent; ``None`` if it may be."""
        if self._admitted.account and not self._state.are_keys_confirmed(now):
            return AttemptResult(
                AttemptOutcome.NOT_RUN, 'keys could not be confirmed'
            )
        detail = ''
        if not self._state.view.may_use(self._candidate.known):
            detail = 'the target has left meanwhile'
        elif self._state.health.paused_until(self._target, now) is not None:
            detail = 'the target wants a pause'
        elif self._quarantine.verdict().status is not SendStatus.FREE:
            detail = 'it is suspected to crash targets'
        if detail:
            return AttemptResult(AttemptOutcome.NOT_SENT, detail)
        return None

    @property
    def _last_event_id(self) -> str:
        sent = self._relay.last_event_id
        return sent or self._admitted.metadata.last_event_id

    def _reserve_prefill(self) -> None:
        if self._admitted.pool.engine:
            self._prefill_tokens = self._admitted.metadata.prompt_tokens
            self._state.prefill.add_prompt(self._target, self._prefill_tokens)

    def _release_prefill(self) -> None:
        """Release the prompt tokens, so that waiting requests can be sent."""
        if self._prefill_tokens:
            self._state.prefill.remove_prompt(
                self._target, self._prefill_tokens
            )
            self._prefill_tokens = 0.0
            self._state.notify_update()

    async def _on_incomplete(self, event: object) -> AttemptResult:
        detail = event.detail if isinstance(event, ResponseFailed) else 'ended'
        result = self._fail(detail)
        await self._report_lost()
        return result

    async def _report_lost(self) -> None:
        """Report a connection that ended before the answer was complete."""
        if self._state.paths.is_lost(self._pool):
            return
        await self._quarantine.record_lost(self._candidate.known)

    def _fail(self, detail: str) -> AttemptResult:
        self._state.health.record_failure(self._target, now_s())
        outcome = (
            AttemptOutcome.BROKEN
            if self._relay.started
            else AttemptOutcome.FAILED
        )
        return AttemptResult(outcome, detail)

    def _on_not_executed(
        self, response: TargetResponseMetadata
    ) -> AttemptResult:
        """Record that the target rejected the request without running it."""
        state = self._state
        label = self._candidate.label
        self.may_have_run = False
        self._quarantine.record_inconclusive()
        if not response.other_target:
            now = now_s()
            state.health.record_rejection(self._target, FULL_BACKOFF_S, now)
            share = EntryShare(state.view.rank, state.view.entries)
            state.rejections.record_rejection(self._candidate.known, share, now)
        elif label and label.adapter:
            state.load.adapter_missing(self._target, label)
            self._candidate.known.adapters.pop(label, None)
            state.request_sync()
        else:
            state.health.record_rejection(
                self._target, WRONG_TARGET_BACKOFF_S, now_s()
            )
        return AttemptResult(AttemptOutcome.NOT_RUN, str(response.status))

    async def _relay_response(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        is_stream = self._admitted.route.kind is CallKind.STREAM
        if is_stream and head.status < STATUS_REDIRECT:
            failure = await self._relay_stream(conn, head)
        else:
            self._usage.record_response(head.status)
            failure = await self._relay_body(conn, head)
        if failure:
            return await self._on_incomplete(failure)
        if head.status < STATUS_REDIRECT:
            self._times.record(self._state.load.paces, self._relay, now_s())
        if head.status < STATUS_SERVER_ERROR:
            self._state.health.record_success(self._target, now_s())
        if is_stream and self._admitted.route.gap_s:
            paused = self._relay.target_pause_s > self._admitted.route.gap_s
            self._state.batch.record_stream(self._target, paused=paused)
            self._state.prefill.record_stream(self._target, paused=paused)
        return AttemptResult(AttemptOutcome.DONE, str(head.status))

    async def _relay_body(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> ResponseFailed | None:
        share = BodyShare(self._state.pool.bodies)
        try:
            return await self._keep_body(conn, head, share)
        finally:
            share.release()

    async def _keep_body(
        self, conn: TargetConnection, head: ResponseHead, share: BodyShare
    ) -> ResponseFailed | None:
        """Keep a body until it is complete, and send it to the caller."""
        body = bytearray()
        while True:
            event = await self._next_event(conn)
            if isinstance(event, ResponseData):
                body += event.chunk
                problem = check_size(body, share)
                if problem:
                    return ResponseFailed(problem)
            elif isinstance(event, ResponseEnd):
                whole = bytes(body)
                body.clear()  # while the caller reads the other copy
                await self._end_body(head, whole)
                return None
            elif isinstance(event, ResponseFailed):
                return event

    async def _end_body(self, head: ResponseHead, body: bytes) -> None:
        if head.status < STATUS_REDIRECT:
            self._quarantine.record_answer()
        await self._relay.relay_body(head, body)

    async def _relay_stream(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> ResponseFailed | None:
        self._relay.begin_stream(self._candidate.known.record.software)
        while True:
            event = await self._next_event(conn)
            if isinstance(event, ResponseData):
                await self._relay_chunk(head, event.chunk)
                if self._relay.partial_bytes > MAX_EVENT_BYTES:
                    return ResponseFailed('an event is too long')
            elif isinstance(event, ResponseEnd):
                return await self._end_stream(head)
            elif isinstance(event, ResponseFailed):
                return event

    async def _end_stream(self, head: ResponseHead) -> ResponseFailed | None:
        if self._relay.is_inside_event:
            return ResponseFailed('the stream ended inside an event')
        self._quarantine.record_answer()
        await self._relay.end_stream(head)
        return None

    async def _relay_chunk(self, head: ResponseHead, chunk: bytes) -> None:
        self._release_prefill()
        if await self._relay.relay_events(head, chunk):
            self._continuity.record_event(self._candidate.known.record.software)
            self._quarantine.record_event()
            self._usage.record_event()
