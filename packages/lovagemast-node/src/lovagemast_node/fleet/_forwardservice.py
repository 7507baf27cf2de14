"""Serves the requests of entry VMs that reach no target themselves."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

from grpclib.server import Stream
from lovagemast_core.deployment import AccountSpec, PoolSpec, RouteSpec
from lovagemast_core.entry import (
    ForwardEvent,
    ForwardHead,
    ForwardRefusal,
    ForwardRequest,
    HeaderField,
)
from lovagemast_wire import (
    ForwardsBase,
    from_wire,
    lovagemast_pb2,
    to_wire,
)

from .._clock import now_s
from ..http import (
    AlreadyStartedError,
    EventQueue,
    Headers,
    HttpRequest,
    header_value,
)
from ._admitted import AdmittedRequest, subjects_of
from ._delivery import SHUTDOWN_REASON, deliver
from ._entrystate import EntryState
from ._forwarder import RequestForwarder
from ._refusal import HttpRefusal
from ._relay import ResponseRelay
from ._streamcontinuity import StreamContinuity

# In progress for all peers together; further ones are refused at once.
MAX_FORWARDED: Final = 128
MAX_QUEUED_EVENTS: Final = 64
UNAVAILABLE: Final = 503

EventStream = Stream[lovagemast_pb2.ForwardRequest, lovagemast_pb2.ForwardEvent]


class EventResponder:
    """Turns the response to a peer's request into events."""

    def __init__(self) -> None:
        self.started = False
        # Returns the software version of the target that responds.
        self.software_of: Callable[[], str] = str
        self._events: EventQueue[ForwardEvent | None] = EventQueue()
        self._has_room = asyncio.Event()
        self._has_room.set()

    async def send(
        self, status: int, headers: Headers = (), body: bytes = b''
    ) -> None:
        """Emit a complete response."""
        self.start(status, headers, len(body))
        await self.write(body)
        self.end()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Emit the head."""
        if self.started:
            raise AlreadyStartedError(f'a second head, with status {status}')
        self.started = True
        fields = tuple(HeaderField(name, value) for name, value in headers)
        head = ForwardHead(status, fields, self.software_of())
        self._events.put(ForwardEvent(head))

    async def write(self, chunk: bytes) -> None:
        """Emit a part of the body, with back-pressure from the peer."""
        if not chunk:
            return
        self._events.put(ForwardEvent(chunk=chunk))
        if len(self._events) >= MAX_QUEUED_EVENTS:
            self._has_room.clear()
        await self._has_room.wait()

    def end(self) -> None:
        """Emit the end of a complete response."""
        self._events.put(ForwardEvent(is_end=True))

    def refuse(self, refusal: ForwardRefusal) -> None:
        """Emit why there is no response."""
        self._events.put(ForwardEvent(refusal=refusal))

    def close(self) -> None:
        """End the events."""
        self._events.put(None)

    async def events(self) -> AsyncIterator[ForwardEvent]:
        """Yield the events until ``close``."""
        while True:
            event = await self._events.get()
            self._has_room.set()
            if event is None:
                return
            yield event


class _Admission(NamedTuple):
    admitted: AdmittedRequest
    software: str | None


class _Terms(NamedTuple):
    route: RouteSpec
    pool: PoolSpec
    account: AccountSpec | None


class ForwardService(ForwardsBase):
    """gRPC service for entry VMs that reach no target of some pool."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self.running = 0

    async def Forward(self, stream: EventStream) -> None:
        """Run a request and send the events of its response."""
        message = await stream.recv_message()
        if message is None:
            return
        request: ForwardRequest = from_wire(ForwardRequest, message)
        responder = EventResponder()
        self.running += 1
        task = asyncio.create_task(self._serve(request, responder))
        try:
            async for event in responder.events():
                await stream.send_message(to_wire(event))
        finally:
            self.running -= 1
            await _cancel(task)

    async def _serve(
        self, request: ForwardRequest, responder: EventResponder
    ) -> None:
        try:
            refusal = await self._run(request, responder)
            if refusal:
                self._log(request, refusal)
                responder.refuse(refusal)
        finally:
            responder.close()

    async def _run(
        self, request: ForwardRequest, responder: EventResponder
    ) -> ForwardRefusal | None:
        refused = self._check_room(request)
        if refused:
            return refused
        admission = self._admit(request)
        if isinstance(admission, ForwardRefusal):
            return admission
        continuity = StreamContinuity(self._state, admission.admitted)
        continuity.software = admission.software
        relay = ResponseRelay(responder, self._state.codec)
        responder.software_of = lambda: relay.software
        forwarder = RequestForwarder(
            self._state,
            admission.admitted,
            relay,
            continuity,
            is_for_peer=True,
        )
        refusal = await deliver(self._state, forwarder, admission.admitted)
        if refusal is None or responder.started:
            return None
        return _to_forward_refusal(refusal, forwarder)

    def _check_room(self, request: ForwardRequest) -> ForwardRefusal | None:
        if self.running > MAX_FORWARDED:
            return _refusal_of_peer('the peer serves too many others')
        if self._state.drain:
            return _refusal_of_peer(SHUTDOWN_REASON)
        if self._state.paths.is_lost(request.pool):
            return _refusal_of_peer('the peer reaches no target either')
        return None

    def _admit(self, request: ForwardRequest) -> _Admission | ForwardRefusal:
        """Return the request with this VM's route, pool and account."""
        headers = tuple((one.name, one.value) for one in request.headers)
        metadata = self._state.codec.decode_request(headers)
        req = HttpRequest(request.method, request.target, headers, request.body)
        host = header_value(headers, b'host') or ''
        terms = self._find_terms(request, host, req.path)
        if metadata is None or terms is None:
            return _refusal_of_peer('the peer has another configuration')
        arrived_at = now_s()
        admitted = AdmittedRequest(
            req,
            metadata._replace(last_event_id=request.last_event_id),
            terms.route._replace(max_attempts=1),
            terms.pool,
            terms.account,
            arrived_at,
            arrived_at + request.timeout_s,
            subjects=subjects_of(req, host, terms.account, metadata),
        )
        return _Admission(admitted, request.software)

    def _find_terms(
        self, request: ForwardRequest, host: str, path: str
    ) -> _Terms | None:
        """Return what applies to a request; ``None`` if this VM differs."""
        index = self._state.view.index
        route = index.route(host, path) if index else None
        if index is None or route is None:
            return None
        pool = index.pools.get(request.pool)
        account = index.accounts.get(request.account)
        allowed = {split.pool for split in route.splits}
        if pool is None or pool.name not in allowed:
            return None
        if request.account and account is None:
            return None
        return _Terms(route, pool, account)

    def _log(self, request: ForwardRequest, refusal: ForwardRefusal) -> None:
        self._state.log.write(
            'forward',
            'refused',
            id=request.request_id,
            peer=request.vm,
            reason=refusal.reason,
            status=refusal.status,
        )


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def _refusal_of_peer(reason: str) -> ForwardRefusal:
    return ForwardRefusal(
        UNAVAILABLE, reason, None, may_have_run=False, is_of_peer=True
    )


def _to_forward_refusal(
    refusal: HttpRefusal, forwarder: RequestForwarder
) -> ForwardRefusal:
    return ForwardRefusal(
        refusal.status,
        refusal.reason,
        refusal.retry_after_s,
        forwarder.may_have_run,
        is_of_peer=forwarder.has_lost_paths,
    )
