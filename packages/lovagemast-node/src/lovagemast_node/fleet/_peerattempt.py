"""Sends a request over a peer, an entry VM that reaches the targets."""

import asyncio
import contextlib
from typing import Final

from grpclib.client import Stream as ClientStream
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    ForwardEvent,
    ForwardHead,
    ForwardRefusal,
    ForwardRequest,
    HeaderField,
)
from lovagemast_core.targets import EntryPeer
from lovagemast_wire import (
    ForwardsStub,
    WireError,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from ..http import (
    MAX_BODY_BYTES,
    BodyShare,
    Headers,
    ResponseHead,
    TurnShare,
)
from ._admitted import AdmittedRequest
from ._attemptresult import AttemptOutcome, AttemptResult
from ._entrystate import EntryState
from ._peers import PEER_CONNECT_TIMEOUT_S, STREAM_ERRORS
from ._refusal import HttpRefusal
from ._relay import ResponseRelay
from ._streamcontinuity import StreamContinuity

FORWARD_ERRORS: Final = (*STREAM_ERRORS, WireError)
STATUS_REDIRECT: Final = 300
STATUS_SERVER_ERROR: Final = 500

ForwardStream = ClientStream[
    lovagemast_pb2.ForwardRequest, lovagemast_pb2.ForwardEvent
]


class PeerAttempt:
    """One attempt to have a request served over one peer.

    The peer lets at most one target run it.
    """

    def __init__(
        self,
        state: EntryState,
        admitted: AdmittedRequest,
        peer: EntryPeer,
        relay: ResponseRelay,
        continuity: StreamContinuity,
    ) -> None:
        self._state = state
        self._admitted = admitted
        self._peer = peer
        self._relay = relay
        self._continuity = continuity
        self._head = ForwardHead(0, ())
        self._body = bytearray()
        self._share = BodyShare(state.pool.bodies)
        self._is_last_attempt = True
        self.may_have_run = False

    async def run(self, *, is_last_attempt: bool) -> AttemptResult:
        """Send the request and relay the response to the caller.

        A 5xx response of the target is relayed if ``is_last_attempt`` is
        set; otherwise the attempt counts as failed.
        """
        self._is_last_attempt = is_last_attempt
        state = self._state
        if self._admitted.account and not state.are_keys_confirmed(now_s()):
            return AttemptResult(
                AttemptOutcome.NOT_RUN, 'keys could not be confirmed'
            )
        state.peers.directory.add_running(self._peer.vm, 1)
        try:
            return await self._exchange()
        except FORWARD_ERRORS as exc:
            state.peers.directory.avoid(self._peer.vm, now_s())
            return self._fail(f'peer {self._peer.vm}: {exc!r}')
        finally:
            self._share.release()
            state.peers.directory.add_running(self._peer.vm, -1)

    async def _exchange(self) -> AttemptResult:
        channel = self._state.peers.get(self._peer)
        async with ForwardsStub(channel).Forward.open() as stream:
            async with asyncio.timeout(PEER_CONNECT_TIMEOUT_S):
                await stream.send_request()
            self.may_have_run = True
            request = to_wire(self._encode())
            try:
                await stream.send_message(request, end=True)
                return await self._relay_events(stream)
            except asyncio.CancelledError:
                with contextlib.suppress(*STREAM_ERRORS):
                    await stream.cancel()  # the peer cancels the request
                raise

    async def _relay_events(self, stream: ForwardStream) -> AttemptResult:
        self._relay.begin_stream()
        turn = TurnShare()
        async for message in stream:
            await turn.take()
            event: ForwardEvent = from_wire(ForwardEvent, message)
            if event.refusal:
                return self._on_refusal(event.refusal)
            problem = await self._relay_event(event)
            if problem:
                return self._fail(problem)
            if event.is_end:
                return await self._finish()
        return self._fail('the peer ended the response early')

    async def _relay_event(self, event: ForwardEvent) -> str:
        """Relay a part of the response; return why it is not proper."""
        if event.head:
            self._head = event.head
            problem = self._check_head(event.head.status)
            if problem:
                return problem
        if not event.chunk:
            return ''
        if self._is_stream:
            if await self._relay.relay_events(self._response_head, event.chunk):
                self._continuity.record_event(self._head.software)
            return ''
        self._body += event.chunk
        if not self._share.try_grow(len(self._body)):
            return 'no memory for the body'
        return 'the body is too long' if self._is_too_long else ''

    def _check_head(self, status: int) -> str:
        """Return why a response is not relayed, empty if it may be."""
        if self._relay.started and status >= STATUS_REDIRECT:
            return f'{status}, as the stream goes on'
        if status >= STATUS_SERVER_ERROR and not self._is_last_attempt:
            return str(status)
        return ''

    async def _finish(self) -> AttemptResult:
        if not self._is_stream:
            await self._relay.relay_body(self._response_head, bytes(self._body))
        elif self._relay.is_inside_event:
            return self._fail('the stream ended inside an event')
        else:
            await self._relay.end_stream(self._response_head)
        return AttemptResult(AttemptOutcome.DONE, str(self._head.status))

    def _on_refusal(self, refusal: ForwardRefusal) -> AttemptResult:
        self.may_have_run = refusal.may_have_run
        if refusal.is_of_peer:
            self._state.peers.directory.avoid(self._peer.vm, now_s())
        if refusal.is_of_peer or refusal.may_have_run:
            return self._fail(refusal.reason)
        final = HttpRefusal(
            refusal.status, refusal.reason, refusal.retry_after_s
        )
        return AttemptResult(AttemptOutcome.NOT_RUN, refusal.reason, final)

    def _fail(self, detail: str) -> AttemptResult:
        if not self.may_have_run:
            return AttemptResult(AttemptOutcome.NOT_SENT, detail)
        if self._relay.started:
            return AttemptResult(AttemptOutcome.BROKEN, detail)
        return AttemptResult(AttemptOutcome.FAILED, detail)

    @property
    def _is_stream(self) -> bool:
        is_stream = self._admitted.route.kind is CallKind.STREAM
        return is_stream and self._head.status < STATUS_REDIRECT

    @property
    def _is_too_long(self) -> bool:
        return len(self._body) > MAX_BODY_BYTES

    @property
    def _response_head(self) -> ResponseHead:
        headers: Headers = tuple(
            (one.name, one.value) for one in self._head.headers
        )
        return ResponseHead(self._head.status, headers, None)

    def _encode(self) -> ForwardRequest:
        admitted = self._admitted
        metadata = admitted.metadata
        headers = self._state.codec.peer_request_headers(admitted.req.headers)
        return ForwardRequest(
            self._state.cfg.vm,
            metadata.request_id,
            admitted.req.method,
            admitted.req.request_target,
            tuple(HeaderField(name, value) for name, value in headers),
            admitted.req.body,
            admitted.pool.name,
            admitted.account_name or '',
            max(0.001, admitted.deadline - now_s()),
            self._relay.last_event_id or metadata.last_event_id,
            self._continuity.software,
        )
