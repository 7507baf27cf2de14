"""The HTTP interface of a control VM, for operators and targets."""

import asyncio
from collections.abc import Callable
from typing import Final

from lovagemast_core import (
    Applied,
    Conflict,
    NameVersion,
    PublishedState,
    PutConfig,
    SetZoneOut,
)
from lovagemast_core.control import ControlNode

from .._clock import now_s
from ..http import Headers, HttpRequest, Responder
from ._dialect import (
    ControlCall,
    ControlDialect,
    DepartureCall,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    PutConfigCall,
    ZoneCall,
)
from ._lines import LineLog
from ._metrics import ControlMetrics
from ._settings import ControlSettings

OK: Final = 200
REDIRECT: Final = 307
CONFLICT: Final = 409
UNAVAILABLE: Final = 503
JSON: Final[Headers] = ((b'Content-Type', b'application/json'),)
RETRY_SOON: Final[Headers] = ((b'Retry-After', b'0.3'),)
EMPTY: Final = b'{}'

Change = PutConfig | SetZoneOut | NameVersion


class OperatorApi:
    """Answers calls; what needs a quorum waits for the node's answer.

    ``perform`` carries out what the node wants after each event.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        dialect: ControlDialect,
        node: ControlNode,
        perform: Callable[[], None],
        log: LineLog,
        metrics: ControlMetrics,
    ) -> None:
        self._metrics = metrics
        self._cfg = cfg
        self._dialect = dialect
        self._node = node
        self._perform = perform
        self._log = log
        self._calls: dict[int, asyncio.Future[object]] = {}
        self._next_call = 0

    def resolve(self, call: int, answer: object) -> None:
        """Take the node's answer to a call."""
        fut = self._calls.pop(call, None)
        if fut and not fut.done():
            fut.set_result(answer)

    async def serve(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call; what only the leader knows is sent there."""
        call = self._dialect.read_call(req)
        if isinstance(call, InvalidCall):
            self._log.write(
                'admin',
                'refused',
                path=req.path,
                status=call.status,
                cause=call.detail,
            )
            await responder.send(call.status)
            return
        change = _change(call)
        if change:
            await self._commit(change, responder)
        elif self._node.is_ready_leader():
            await self._answer(call, responder)
        else:
            await self._redirect(req, responder)

    async def _answer(self, call: ControlCall, responder: Responder) -> None:
        if not isinstance(call, HeartbeatCall | DepartureCall):
            await self._read_config(responder)
            return
        now = now_s()
        if not self._node.has_lease(now):
            await responder.send(UNAVAILABLE, RETRY_SOON)
            return
        if isinstance(call, HeartbeatCall):
            body = self._take_heartbeat(call, now)
        else:
            body = self._take_departure(call, now)
        self._perform()
        await responder.send(OK, JSON, body)

    async def _redirect(self, req: HttpRequest, responder: Responder) -> None:
        leader = self._node.leader
        if not leader or leader == self._cfg.vm:
            await responder.send(UNAVAILABLE, RETRY_SOON)
            return
        port = self._cfg.control.rpartition(':')[2]
        where = f'http://{leader}:{port}{req.request_target}'
        await responder.send(REDIRECT, ((b'Location', where.encode()),))

    def _take_heartbeat(self, call: HeartbeatCall, now: float) -> bytes:
        if call.beat:
            known = self._node.fleet.registry.get(call.beat.target)
            if known is None or known.heartbeat.leaving != call.beat.leaving:
                self._log.write('target', 'heartbeat', **call.beat._asdict())
            self._node.on_heartbeat(call.beat, now)
        return self._dialect.heartbeat_answer(self._cfg.control)

    def _take_departure(self, call: DepartureCall, now: float) -> bytes:
        self._log.write('target', 'departed', target=call.target)
        self._node.on_departure(call.target, now)
        return EMPTY

    async def _read_config(self, responder: Responder) -> None:
        call, fut = self._new_call()
        self._node.read(call, now_s())
        self._perform()
        published = await fut
        if not isinstance(published, PublishedState) or not published.revision:
            await responder.send(UNAVAILABLE, RETRY_SOON)
            return
        await responder.send(OK, JSON, published.document.encode())

    async def _commit(self, change: Change, responder: Responder) -> None:
        call, fut = self._new_call()
        started = now_s()
        self._node.propose(call, change, started)
        self._perform()
        outcome = await fut
        status = _status_of(outcome)
        self._metrics.changed(now_s() - started)
        fields = change._asdict()
        fields.pop('document', None)
        self._log.write(
            'admin',
            type(change).__name__,
            status=status,
            outcome=repr(outcome),
            took_s=round(now_s() - started, 4),
            **fields,
        )
        await responder.send(status, JSON, EMPTY)

    def _new_call(self) -> tuple[int, 'asyncio.Future[object]']:
        self._next_call += 1
        fut: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._calls[self._next_call] = fut
        return self._next_call, fut


def _change(call: ControlCall) -> Change | None:
    """Return the command that a call wants committed."""
    if isinstance(call, PutConfigCall):
        return PutConfig(call.revision, call.document)
    if isinstance(call, ZoneCall):
        return SetZoneOut(call.zone, call.out)
    if isinstance(call, NameVersionCall):
        return NameVersion(call.model, call.adapter, call.version)
    return None


def _status_of(outcome: object) -> int:
    """Return the status by which an operator learns of an outcome."""
    if isinstance(outcome, Applied):
        return OK
    return CONFLICT if isinstance(outcome, Conflict) else UNAVAILABLE
