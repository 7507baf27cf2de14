"""Runs a control VM: its disk, its links, its HTTP interface."""

import asyncio
import random
import secrets
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final

from lovagemast_core import (
    Applied,
    Conflict,
    LogSynced,
    NameVersion,
    Outcome,
    PeerReceived,
    PersistLog,
    PublishedState,
    PutConfig,
    SendPeer,
    SetZoneOut,
)
from lovagemast_core.adapters import Order, OrderOutcome, OrderResult
from lovagemast_core.control import (
    AskReport,
    CommandDone,
    ControlConfig,
    ControlNode,
    LeaderNoticed,
    PushNews,
    ReadDone,
    SendOrder,
)
from lovagemast_core.deployment import DeploymentIndex
from lovagemast_core.targets import SyncAsk, SyncReply

from .._storage import LogStore
from ..http import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    ConnectFailed,
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
    TargetPool,
)
from ._clock import now_s
from ._dialect import (
    ControlDialect,
    DepartureCall,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    PutConfigCall,
    ReadConfigCall,
    ZoneCall,
)
from ._lines import LineLog
from ._peers import (
    STREAM_ERRORS,
    EntryService,
    PeerLinks,
    PeerService,
    serve_peers,
)
from ._settings import ControlSettings

OK: Final = 200
REDIRECT: Final = 307
BAD_REQUEST: Final = 400
CONFLICT: Final = 409
UNAVAILABLE: Final = 503
JSON: Final = ((b'Content-Type', b'application/json'),)
ORDER_TIMEOUT_S: Final = 1.5
CONNECT_TIMEOUT_S: Final = 0.5
PUSH_PAUSE_S: Final = 0.005  # for each entry VM, between pushes
MAX_CONTROL_BODY: Final = 8_388_608
READ_LIMITS: Final = ServerLimits(
    max_body_bytes=MAX_CONTROL_BODY,
    header_timeout_s=5.0,
    idle_timeout_s=30.0,
)


class ControlHost:
    """Owns the sockets and the disk of a control VM."""

    def __init__(self, cfg: ControlSettings, dialect: ControlDialect) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._log = LineLog(cfg.name)
        self._store = LogStore.open(Path(cfg.data_dir), cfg.vm)
        self._node = ControlNode(
            ControlConfig(
                cfg.vm,
                self._store.stored,
                cfg.seeds,
                cfg.bootstrap,
                cfg.voters_wanted,
                cfg.takeover_s,
                cfg.quota_slack,
                now_s(),
            ),
            self._read_index,
            random.Random(secrets.randbits(64)),
        )
        self._links = PeerLinks(cfg.vm, cfg.peer_port, self._log)
        self._peers = PeerService(self._on_message, self._log)
        self._entries = EntryService(self._on_ask, self._log)
        self._http = HttpServer(self._serve, READ_LIMITS, self._on_broken)
        self._pool = TargetPool()
        self._batches: asyncio.Queue[PersistLog] = asyncio.Queue()
        self._calls: dict[int, asyncio.Future[object]] = {}
        self._next_call = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._push_wanted = asyncio.Event()
        self._stopped = asyncio.Event()
        self._peer_failures = 0

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_term)
        loop.add_signal_handler(signal.SIGHUP, self._on_hup)
        self._log.write(
            'control',
            'start',
            zone=self._cfg.zone,
            identity=self._store.stored.identity,
            seeds=self._cfg.seeds,
            bootstrap=self._cfg.bootstrap,
        )
        server = await serve_peers(
            (self._peers, self._entries),
            self._cfg.vm,
            self._cfg.peer_port,
        )
        host, _, port = self._cfg.control.rpartition(':')
        await self._http.listen(host, int(port))
        self._spawn(self._write_log())
        self._spawn(self._push_news())
        self._tick()
        await self._stopped.wait()
        server.close()
        self._links.close()
        self._log.write('control', 'stop')

    def _on_term(self) -> None:
        self._http.drain()
        loop = asyncio.get_running_loop()
        loop.call_later(
            min(1.0, self._cfg.drain_grace_s / 4), self._stopped.set
        )

    def _on_hup(self) -> None:
        self._log.write('control', 'reload: no setting changes while running')

    def _on_broken(self) -> None:
        self._log.write('control', 'a handler failed')

    def _read_index(self, document: str) -> DeploymentIndex | None:
        read = self._dialect.read_deployment(document)
        if isinstance(read, str):
            self._log.write('config', 'cannot be read', cause=read)
            return None
        return DeploymentIndex(read)

    # The node's effects and timers.

    def _perform(self) -> None:
        for effect in self._node.drain():
            match effect:
                case SendPeer():
                    self._links.send(effect.vm, effect.message)
                case PersistLog():
                    self._batches.put_nowait(effect)
                case CommandDone():
                    self._resolve(effect.call, effect.outcome)
                case ReadDone():
                    self._resolve(effect.call, effect.published)
                case SendOrder():
                    self._spawn(self._send_order(effect.order))
                case AskReport():
                    self._spawn(self._ask_report(effect))
                case PushNews():
                    self._push_wanted.set()
                case LeaderNoticed():
                    self._log.write(
                        'agree',
                        'leader',
                        leader=effect.leader,
                        term=effect.term,
                        voters=self._node.replica.voter_vms,
                    )
        self._plan_tick()

    def _plan_tick(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        deadline = self._node.next_deadline()
        if deadline is None:
            return
        wait = max(0.001, deadline - now_s())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._node.tick(now_s())
        self._perform()

    def _on_message(self, received: PeerReceived) -> None:
        self._node.receive(received.sender, received.message, now_s())
        self._perform()

    def _on_ask(self, ask: SyncAsk) -> SyncReply:
        reply = self._node.on_ask(ask, now_s())
        self._perform()
        return reply

    async def _write_log(self) -> None:
        while True:
            batches = [await self._batches.get()]
            while not self._batches.empty():
                batches.append(self._batches.get_nowait())
            await asyncio.to_thread(self._store.write, batches)
            synced = LogSynced(batches[-1].batch)
            self._node.synced(synced.batch, now_s())
            self._perform()

    async def _push_news(self) -> None:
        while True:
            await self._push_wanted.wait()
            self._push_wanted.clear()
            sessions = list(self._entries.sessions)
            for session in sessions:
                ask = session.last_ask
                if ask is None or not self._node.serves():
                    continue
                now = now_s()
                reply = self._node.fleet.news_for(
                    ask,
                    self._node.quorum_age(now),
                    now,
                )
                try:
                    await session.send(reply)
                except STREAM_ERRORS as exc:
                    self._log.write('sync', 'push failed', cause=repr(exc))
            await asyncio.sleep(PUSH_PAUSE_S * len(sessions))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._log.write('control', 'task failed', cause=repr(task.exception()))
        self._stopped.set()

    # Calls of operators and targets.

    def _resolve(self, call: int, answer: object) -> None:
        fut = self._calls.pop(call, None)
        if fut and not fut.done():
            fut.set_result(answer)

    def _new_call(self) -> tuple[int, 'asyncio.Future[object]']:
        self._next_call += 1
        fut: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._calls[self._next_call] = fut
        return self._next_call, fut

    async def _serve(self, req: HttpRequest, responder: Responder) -> None:
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
        if not self._node.serves():
            await self._redirect(req, responder)
            return
        match call:
            case HeartbeatCall():
                await self._take_heartbeat(call, responder)
            case DepartureCall():
                self._log.write('target', 'departed', target=call.target)
                self._node.on_departure(call.target, now_s())
                self._perform()
                await responder.send(OK, JSON, b'{}')
            case ReadConfigCall():
                await self._read_config(responder)
            case PutConfigCall():
                await self._commit(
                    PutConfig(call.revision, call.document),
                    responder,
                )
            case ZoneCall():
                await self._commit(SetZoneOut(call.zone, call.out), responder)
            case NameVersionCall():
                await self._commit(NameVersion(*call), responder)

    async def _redirect(self, req: HttpRequest, responder: Responder) -> None:
        leader = self._node.leader
        if not leader or leader == self._cfg.vm:
            await responder.send(UNAVAILABLE, ((b'Retry-After', b'0.3'),))
            return
        port = self._cfg.control.rpartition(':')[2]
        where = f'http://{leader}:{port}{req.target}'
        await responder.send(REDIRECT, ((b'Location', where.encode()),))

    async def _take_heartbeat(
        self,
        call: HeartbeatCall,
        responder: Responder,
    ) -> None:
        now = now_s()
        if not self._node.has_lease(now):
            await responder.send(UNAVAILABLE, ((b'Retry-After', b'0.3'),))
            return
        if call.beat:
            known = self._node.fleet.registry.get(call.beat.target)
            if known is None or known.beat.leaving != call.beat.leaving:
                self._log.write('target', 'heartbeat', **call.beat._asdict())
            self._node.on_heartbeat(call.beat, now)
            self._perform()
        body = self._dialect.heartbeat_answer(self._cfg.control)
        await responder.send(OK, JSON, body)

    async def _read_config(self, responder: Responder) -> None:
        call, fut = self._new_call()
        self._node.read(call, now_s())
        self._perform()
        published = await fut
        if not isinstance(published, PublishedState) or not published.revision:
            await responder.send(UNAVAILABLE, ((b'Retry-After', b'0.3'),))
            return
        await responder.send(OK, JSON, published.document.encode())

    async def _commit(
        self,
        command: PutConfig | SetZoneOut | NameVersion,
        responder: Responder,
    ) -> None:
        call, fut = self._new_call()
        started = now_s()
        self._node.propose(call, command, started)
        self._perform()
        outcome = await fut
        status = _status_of(outcome)
        fields = command._asdict()
        fields.pop('document', None)
        self._log.write(
            'admin',
            type(command).__name__,
            status=status,
            outcome=repr(outcome),
            took_s=round(now_s() - started, 4),
            **fields,
        )
        await responder.send(status, JSON, b'{}')

    # Orders and questions to engines.

    async def _send_order(self, order: Order) -> None:
        request_id = secrets.token_hex(8)
        data = self._dialect.order_request(order, self._cfg.vm, request_id)
        answer = await self._call_engine(order.address, data)
        result = OrderResult.UNKNOWN
        detail = ''
        if isinstance(answer, ConnectFailed):
            result = OrderResult.REFUSED
            detail = answer.detail
        elif isinstance(answer, AnswerBroken):
            detail = answer.detail
        else:
            result = self._dialect.read_order_answer(answer[0])
            detail = str(answer[0])
        self._log.write(
            'order',
            'load' if order.load else 'unload',
            target=order.target,
            label=str(order.label),
            precondition=order.precondition,
            term=order.term,
            result=result.value,
            detail=detail,
        )
        self._node.on_order_answered(
            OrderOutcome(order, result, detail),
            now_s(),
        )
        self._perform()

    async def _ask_report(self, effect: AskReport) -> None:
        data = self._dialect.report_request(effect.target, effect.address)
        answer = await self._call_engine(effect.address, data)
        if not isinstance(answer, tuple) or isinstance(
            answer,
            (ConnectFailed, AnswerBroken),
        ):
            return
        status, body = answer
        report = None
        if status == OK:
            report = self._dialect.read_report(effect.target, body)
        if report:
            self._node.on_report(report, now_s())
            self._perform()

    async def _call_engine(
        self,
        address: str,
        data: bytes,
    ) -> tuple[int, bytes] | AnswerBroken | ConnectFailed:
        conn = await self._pool.acquire(
            address,
            fresh=False,
            timeout_s=CONNECT_TIMEOUT_S,
            now=now_s(),
        )
        if isinstance(conn, ConnectFailed):
            return conn
        conn.send(data, b'', b'')
        status = 0
        body = b''
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                while True:
                    match await conn.event():
                        case AnswerHead() as head:
                            status = head.status
                        case AnswerData() as part:
                            body += part.chunk
                        case AnswerBroken() as broken:
                            conn.close()
                            return broken
                        case AnswerEnd():
                            break
        except TimeoutError:
            conn.close()
            return AnswerBroken('no answer in time', was_read=False)
        self._pool.release(conn, now_s())
        return status, body


def _status_of(outcome: object) -> int:
    """Return the status by which an operator learns of an outcome."""
    known: Outcome | object = outcome
    if isinstance(known, Applied):
        return OK
    if isinstance(known, Conflict):
        return CONFLICT
    return UNAVAILABLE
