"""The HTTP API of a control VM, for operators and targets."""

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

from lovagemast_core import (
    Applied,
    Conflict,
    NameVersion,
    PublishedState,
    PutConfig,
    SetZoneOut,
)
from lovagemast_core.control import ControlNode, RecordDeparture
from lovagemast_core.quarantine import ClearSubjects

from .._clock import now_s, wall_ms
from ..http import Headers, HttpRequest, Responder
from ._changeroom import ChangeRoom
from ._codec import (
    ControlCall,
    ControlCodec,
    DepartureCall,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    PutConfigCall,
    ZoneCall,
)
from ._jsonlog import JsonLog
from ._metrics import ControlMetrics
from ._quarantineapi import PATH as QUARANTINE_PATH
from ._quarantineapi import QuarantineApi
from ._settings import ControlSettings
from ._stalls import StallDetector

OK: Final = 200
REDIRECT: Final = 307
CONFLICT: Final = 409
UNAVAILABLE: Final = 503
JSON_HEADERS: Final[Headers] = ((b'Content-Type', b'application/json'),)
RETRY_HEADERS: Final[Headers] = ((b'Retry-After', b'0.3'),)
EMPTY_JSON: Final = b'{}'
# Until it is noticed that the caller closed its connection before the read.
CALLER_CHECK_S: Final = 0.005
MAX_CAUSE: Final = 200  # characters of a log field

Page = Callable[[], dict[str, Any]]  # what operators read of this VM
Command = PutConfig | SetZoneOut | NameVersion


class ControlApi:
    """Serves the calls of operators and targets.

    Calls that need a quorum are passed to the control node and answered when
    it resolves them. ``run_effects`` is called after each event that was
    passed to the node and executes the effects that it returned.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        codec: ControlCodec,
        node: ControlNode,
        run_effects: Callable[[], None],
        log: JsonLog,
        metrics: ControlMetrics,
        pages: Mapping[str, Page],
        stalls: StallDetector,
    ) -> None:
        self._metrics = metrics
        self._stalls = stalls
        self._pages = pages
        self.room = ChangeRoom()
        self._cfg = cfg
        self._codec = codec
        self._node = node
        self._run_effects = run_effects
        self._log = log
        self._pending_calls: dict[int, asyncio.Future[object]] = {}
        self._next_call = 0
        self._quarantine = QuarantineApi(
            lambda: node.replica.quarantine, self._propose, log
        )

    def resolve(self, call: int, answer: object) -> None:
        """Complete a pending call with the node's answer."""
        fut = self._pending_calls.pop(call, None)
        if fut and not fut.done():
            fut.set_result(answer)

    async def serve(self, req: HttpRequest, responder: Responder) -> None:
        """Serve one call; redirect it if only the leader can answer it."""
        page = self._pages.get(req.path)
        if not self.room.has_room(len(req.body)):
            self._log.write(
                'admin',
                'call refused, others hold the memory',
                path=req.path,
                status=UNAVAILABLE,
                body_bytes=len(req.body),
                held_bytes=self.room.held_bytes,
            )
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        with self.room.hold(len(req.body)):
            await self._serve_in_room(req, page, responder)

    async def _serve_in_room(
        self, req: HttpRequest, page: Page | None, responder: Responder
    ) -> None:
        if page:
            await self._send_json(OK, page(), responder)
        elif req.path == QUARANTINE_PATH:
            await self._serve_quarantine(req, responder)
        else:
            await self._serve_call(req, responder)

    async def _serve_quarantine(
        self, req: HttpRequest, responder: Responder
    ) -> None:
        if req.method == 'POST' and await self._may_be_given_up(req):
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        reply = await self._quarantine.serve(req)
        await self._send_json(reply.status, reply.document, responder)

    async def _serve_call(self, req: HttpRequest, responder: Responder) -> None:
        call = self._codec.decode_call(req)
        if isinstance(call, InvalidCall):
            self._log.write(
                'admin',
                'call rejected',
                path=req.path,
                status=call.status,
                cause=call.detail,
            )
            await responder.send(call.status)
            return
        command = _command_of(call)
        if isinstance(call, ZoneCall) and await self._may_be_given_up(req):
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
        elif command:
            await self._commit(command, responder)
        elif self._node.is_ready_leader():
            await self._serve_leader_call(call, responder)
        else:
            await self._redirect(req, responder)

    async def _may_be_given_up(self, req: HttpRequest) -> bool:
        """Return whether an order's caller may have gone on without it.

        It would be carried out after the caller's newer orders. The task is
        cancelled if the caller turns out to have closed the connection.
        """
        await asyncio.sleep(CALLER_CHECK_S)
        if not self._stalls.is_stalled(now_s()):
            return False
        self._log.write(
            'admin',
            'order refused, it may have waited for long',
            method=req.method,
            path=req.path,
            status=UNAVAILABLE,
        )
        return True

    async def _send_json(
        self, status: int, document: dict[str, Any], responder: Responder
    ) -> None:
        body = json.dumps(document).encode()
        await responder.send(status, JSON_HEADERS, body)

    async def _serve_leader_call(
        self, call: ControlCall, responder: Responder
    ) -> None:
        if not isinstance(call, HeartbeatCall | DepartureCall):
            await self._read_config(responder)
            return
        now = now_s()
        if not self._node.has_lease(now):
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        body = EMPTY_JSON
        if isinstance(call, HeartbeatCall):
            body = self._codec.heartbeat_response(self._cfg.control)
            departure = self._handle_heartbeat(call, now)
        else:
            departure = self._handle_departure(call, now)
        self._run_effects()
        if departure and not isinstance(
            await self._propose(departure), Applied
        ):
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        await responder.send(OK, JSON_HEADERS, body)

    async def _redirect(self, req: HttpRequest, responder: Responder) -> None:
        leader = self._node.leader
        if not leader or leader == self._cfg.vm:
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        port = self._cfg.control.rpartition(':')[2]
        location = f'http://{leader}:{port}{req.request_target}'
        await responder.send(REDIRECT, ((b'Location', location.encode()),))

    def _handle_heartbeat(
        self, call: HeartbeatCall, now: float
    ) -> RecordDeparture | None:
        heartbeat = call.heartbeat
        if heartbeat is None:
            self._log.write(
                'target', 'heartbeat ignored', cause=call.detail[:MAX_CAUSE]
            )
            return None
        known = self._node.fleet.registry.get(heartbeat.target)
        if known is None or known.heartbeat.leaving != heartbeat.leaving:
            self._log.write('target', 'heartbeat', **heartbeat._asdict())
        return self._node.on_heartbeat(heartbeat, now)

    def _handle_departure(
        self, call: DepartureCall, now: float
    ) -> RecordDeparture | None:
        departure = self._node.on_departure(call.target, wall_ms(), now)
        self._log.write(
            'target',
            'departed',
            target=call.target,
            incarnation=departure.incarnation if departure else None,
        )
        return departure

    async def _read_config(self, responder: Responder) -> None:
        call, fut = self._new_call()
        self._node.read(call, now_s())
        self._run_effects()
        published = await fut
        if not isinstance(published, PublishedState) or not published.revision:
            await responder.send(UNAVAILABLE, RETRY_HEADERS)
            return
        await responder.send(OK, JSON_HEADERS, published.document.encode())

    async def _commit(self, command: Command, responder: Responder) -> None:
        started_at = now_s()
        outcome = await self._propose(command)
        status = _status_of(outcome)
        self._metrics.record_change(now_s() - started_at)
        fields = command._asdict()
        fields.pop('document', None)
        self._log.write(
            'admin',
            type(command).__name__,
            status=status,
            outcome=repr(outcome),
            took_s=round(now_s() - started_at, 4),
            **fields,
        )
        retry = RETRY_HEADERS if status == UNAVAILABLE else ()
        await responder.send(status, (*JSON_HEADERS, *retry), EMPTY_JSON)

    async def _propose(
        self, command: Command | RecordDeparture | ClearSubjects
    ) -> object:
        """Propose a command and return its outcome."""
        call, fut = self._new_call()
        self._node.propose(call, command, now_s())
        self._run_effects()
        return await fut

    def _new_call(self) -> tuple[int, 'asyncio.Future[object]']:
        self._next_call += 1
        fut: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._pending_calls[self._next_call] = fut
        return self._next_call, fut


def _command_of(call: ControlCall) -> Command | None:
    """Return the command to commit for a call, ``None`` for other calls."""
    if isinstance(call, PutConfigCall):
        return PutConfig(call.revision, call.document)
    if isinstance(call, ZoneCall):
        return SetZoneOut(call.zone, call.out)
    if isinstance(call, NameVersionCall):
        return NameVersion(call.model, call.adapter, call.version)
    return None


def _status_of(outcome: object) -> int:
    """Return the HTTP status for the outcome of a command."""
    if isinstance(outcome, Applied):
        return OK
    return CONFLICT if isinstance(outcome, Conflict) else UNAVAILABLE
