"""Sends a request to one target and takes its answer."""

from enum import Enum
from typing import Final, NamedTuple

from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import Candidate

from .._clock import now_s
from ..http import (
    ConnectFailed,
    ResponseData,
    ResponseEnd,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    encode_head,
)
from ._admission import Admitted
from ._dialect import Outgoing, TargetHead
from ._entrystate import EntryState
from ._relay import Relay

CONNECT_TIMEOUT_S: Final = 0.2
FULL_PAUSE_S: Final = 0.03  # before a target that was full is tried again
MISPLACED_PAUSE_S: Final = 0.5  # another target has the address
SERVER_FAILURE: Final = 500
REDIRECTION: Final = 300
BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


class End(Enum):
    """How an attempt ended."""

    DONE = 'answered'
    NOT_RUN = 'did not run it'
    FAILED = 'failed'  # it may have run; nothing was passed on
    BROKEN = 'broke off'  # a part of the answer was passed on


class Ended(NamedTuple):
    """How an attempt ended, with a detail for the log."""

    end: End
    detail: str


class Attempt:
    """One send of a request."""

    def __init__(
        self,
        state: EntryState,
        job: Admitted,
        candidate: Candidate,
        relay: Relay,
    ) -> None:
        self._state = state
        self._job = job
        self._candidate = candidate
        self._relay = relay
        self._target = candidate.known.record.target
        self._unread = 0.0  # prompt tokens that the target has yet to read
        self.was_sent = False

    async def run(self, *, last_try: bool) -> Ended:
        """Send the request and pass the answer on.

        A failure of the target is passed on as its answer if this is the
        ``last_try``.
        """
        state = self._state
        state.work.started(self._target, self._candidate.label)
        try:
            conn = await state.pool.acquire(
                self._candidate.known.record.address,
                fresh=not self._job.route.idempotent,
                timeout_s=CONNECT_TIMEOUT_S,
                now=now_s(),
            )
            if isinstance(conn, ConnectFailed):
                state.health.record_unreachable(self._target, now_s())
                return Ended(End.NOT_RUN, conn.detail)
            return await self._use(conn, last_try=last_try)
        finally:
            state.work.ended(self._target, self._candidate.label)

    async def _use(self, conn: TargetConnection, *, last_try: bool) -> Ended:
        whole = False
        try:
            ended = await self._exchange(conn, last_try=last_try)
            whole = ended.end is End.DONE
        finally:
            self._note_read()
            if whole:
                self._state.pool.release(conn, now_s())
            else:
                conn.close()
        return ended

    async def _exchange(
        self,
        conn: TargetConnection,
        *,
        last_try: bool,
    ) -> Ended:
        state = self._state
        now = now_s()
        if self._job.account and not state.is_confirmed(now):
            return Ended(End.NOT_RUN, 'keys could not be confirmed')
        state.cold.record_request(self._target, now)
        self.was_sent = True
        self._note_unread()
        conn.send(
            self._encode(now),
            self._job.facts.request_id.encode('latin-1'),
            state.dialect.id_header,
        )
        event = await conn.next_event()
        if not isinstance(event, ResponseHead):
            return self._lost(event)
        head = state.dialect.read_head(event)
        if head.running is not None:
            requests = head.running + (head.waiting or 0)
            state.work.told(self._target, requests, now_s())
        if head.not_executed or head.other_target:
            return self._turned_away(head)
        if head.status >= SERVER_FAILURE:
            state.health.record_failure(self._target, now_s())
            if not last_try:
                return Ended(End.FAILED, str(head.status))
        elif head.status < REDIRECTION and not _is_genuine(head):
            return self._broke('not the answer of the target')
        return await self._pass_on(conn, event)

    def _note_unread(self) -> None:
        if self._job.pool.engine:
            self._unread = self._job.facts.prompt_tokens
            self._state.prefill.add_prompt(self._target, self._unread)

    def _note_read(self) -> None:
        """Make room for other prompts at the target."""
        if self._unread:
            self._state.prefill.remove_prompt(self._target, self._unread)
            self._unread = 0.0
            self._state.announce_news()

    def _encode(self, now: float) -> bytes:
        job = self._job
        label = self._candidate.label
        version = 0
        if label and label.adapter:
            view = self._state.view
            if view.newest_version(label.model, label.adapter):
                version = label.version
        outgoing = Outgoing(
            job.facts.request_id,
            self._target,
            job.account_name,
            max(0.001, job.deadline - now),
            version,
            self._relay.last_event_id or job.facts.last_event_id,
            job.priority,
        )
        headers = self._state.dialect.call_headers(job.req.headers, outgoing)
        if job.req.body or job.req.method in BODY_METHODS:
            length = str(len(job.req.body)).encode()
            headers.append((b'Content-Length', length))
        line = f'{job.req.method} {job.req.request_target} HTTP/1.1'
        return encode_head(line, headers) + job.req.body

    def _lost(self, event: object) -> Ended:
        self._state.health.record_failure(self._target, now_s())
        end = End.BROKEN if self._relay.started else End.FAILED
        detail = event.detail if isinstance(event, ResponseFailed) else 'ended'
        return Ended(end, detail)

    def _broke(self, detail: str) -> Ended:
        self._state.health.record_failure(self._target, now_s())
        end = End.BROKEN if self._relay.started else End.FAILED
        return Ended(end, detail)

    def _turned_away(self, head: TargetHead) -> Ended:
        """Take word that the target did not run the request."""
        state = self._state
        label = self._candidate.label
        self.was_sent = False
        if not head.other_target:
            state.health.record_rejection(self._target, FULL_PAUSE_S, now_s())
        elif label and label.adapter:
            state.work.missing(self._target, label)
            self._candidate.known.adapters.pop(label, None)
            state.ask_leader()
        else:
            state.health.record_rejection(
                self._target, MISPLACED_PAUSE_S, now_s()
            )
        return Ended(End.NOT_RUN, str(head.status))

    async def _pass_on(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> Ended:
        is_stream = self._job.route.kind is CallKind.STREAM
        if is_stream and head.status < REDIRECTION:
            broken = await self._pass_stream(conn, head)
        else:
            broken = await self._pass_whole(conn, head)
        if broken:
            return self._broke(broken.detail)
        if head.status < SERVER_FAILURE:
            self._state.health.record_success(self._target, now_s())
        if is_stream and self._job.route.gap_s:
            paused = self._relay.target_pause_s > self._job.route.gap_s
            self._state.batch.record_stream(self._target, paused=paused)
            self._state.prefill.record_stream(self._target, paused=paused)
        return Ended(End.DONE, str(head.status))

    async def _pass_whole(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> ResponseFailed | None:
        body = bytearray()
        while True:
            event = await conn.next_event()
            if isinstance(event, ResponseData):
                body += event.chunk
            elif isinstance(event, ResponseEnd):
                await self._relay.pass_whole(head, bytes(body))
                return None
            elif isinstance(event, ResponseFailed):
                return event

    async def _pass_stream(
        self,
        conn: TargetConnection,
        head: ResponseHead,
    ) -> ResponseFailed | None:
        self._relay.begin_stream()
        while True:
            event = await conn.next_event()
            if isinstance(event, ResponseData):
                self._note_read()
                await self._relay.pass_events(head, event.chunk)
            elif isinstance(event, ResponseEnd):
                await self._relay.end_stream(head)
                return None
            elif isinstance(event, ResponseFailed):
                return event


def _is_genuine(head: TargetHead) -> bool:
    return head.stamped and not head.encoded
