"""Handles a caller's request from its arrival to the end of the response."""

from .._clock import now_s
from ..http import HttpRequest, Responder
from ._admission import Admission
from ._admitted import AdmittedRequest
from ._codec import RequestMetadata
from ._delivery import SHUTDOWN_REASON, deliver
from ._entrystate import EntryState
from ._forwarder import RequestForwarder
from ._refusal import HttpRefusal
from ._relay import ResponseRelay
from ._streamcontinuity import StreamContinuity
from ._waitconditions import NOT_RUN_RETRY_AFTER_S


class RequestHandler:
    """Handles one request from its arrival to the end of the response."""

    def __init__(
        self,
        state: EntryState,
        req: HttpRequest,
        responder: Responder,
    ) -> None:
        self._state = state
        self._req = req
        self._responder = responder
        self._metadata: RequestMetadata | None = state.codec.decode_request(
            req.headers
        )
        self._arrived_at = now_s()
        self._forwarder: RequestForwarder | None = None

    async def run(self) -> None:
        """Admit the request, forward it and send the response."""
        admission = Admission(self._state)
        admitted = await admission.admit(
            self._req, self._metadata, self._arrived_at
        )
        if isinstance(admitted, HttpRefusal):
            await self._refuse(admitted)
            return
        try:
            refusal = await self._forward(admitted)
        finally:
            self._refund(admitted)
        if refusal:
            await self._refuse(refusal)

    async def _forward(self, admitted: AdmittedRequest) -> HttpRefusal | None:
        drain = self._state.drain
        if drain and not drain.accepts(admitted.deadline, now_s()):
            return HttpRefusal(503, SHUTDOWN_REASON, NOT_RUN_RETRY_AFTER_S)
        continuity = StreamContinuity(self._state, admitted)
        pool = await continuity.find_pool()
        if isinstance(pool, HttpRefusal):
            return pool
        admitted = admitted._replace(pool=pool)
        relay = ResponseRelay(self._responder, self._state.codec)
        self._forwarder = RequestForwarder(
            self._state, admitted, relay, continuity
        )
        return await deliver(self._state, self._forwarder, admitted)

    def _refund(self, admitted: AdmittedRequest) -> None:
        """Refund the cost of a request that no target has run."""
        may_have_run = self._forwarder and self._forwarder.may_have_run
        if admitted.account and not may_have_run:
            tokens = self._state.tokens
            tokens.refund(
                admitted.account, admitted.cost, admitted.arrived_at, now_s()
            )

    async def _refuse(self, refusal: HttpRefusal) -> None:
        state = self._state
        request_id = self._metadata.request_id if self._metadata else ''
        state.metrics.record_refusal(refusal.status)
        state.log.write(
            'request',
            'refused',
            id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            path=self._req.path,
            sends=self._forwarder.sends if self._forwarder else 0,
            target=self._forwarder.target if self._forwarder else '',
            started=self._responder.started,
            age_s=round(state.view.age(now_s()), 3),
            revision=state.view.documents.revision,
            received=state.view.published.revision,
            took_s=round(now_s() - self._arrived_at, 4),
        )
        if self._responder.started:
            self._responder.abort()
            return
        headers = state.codec.refusal_headers(
            request_id,
            refusal.retry_after_s,
            refusal.reason,
        )
        await self._responder.send(refusal.status, headers)
