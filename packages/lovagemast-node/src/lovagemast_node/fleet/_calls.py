"""One request's way: checks, target, answer, and what if it fails."""

import asyncio
from enum import Enum
from typing import Final, NamedTuple

from lovagemast_core.deployment import (
    AccountSpec,
    CallKind,
    DeploymentIndex,
    PoolSpec,
    RouteSpec,
)
from lovagemast_core.entry import (
    Candidate,
    Choice,
    EventCutter,
    KnownTarget,
    NoChoice,
    choose_target,
    find_candidates,
)

from ..http import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    ConnectFailed,
    HttpRequest,
    Responder,
    TargetConnection,
    encode_head,
    header_value,
)
from ._clock import now_s
from ._dialect import CallFacts, Outgoing, TargetHead
from ._entrystate import EntryState

BEHIND_S: Final = 1.5  # silence of the leader after which a denial is unsure
TOKEN_WAIT_S: Final = 0.15  # one round trip to the leader and its push
CONNECT_TIMEOUT_S: Final = 0.4
POLL_S: Final = 0.05
FULL_PAUSE_S: Final = 0.03
EXTRA_SENDS: Final = 3  # to targets that prove not to have run the request
OBJECTIVES_TO_WAIT: Final = 2.0  # for a target, in latency objectives
PART_TO_WAIT: Final = 0.3  # of the time that the caller waits
SERVER_FAILURE: Final = 500


class End(Enum):
    """How one send to a target ended."""

    DONE = 'done'
    NOT_RUN = 'not run'
    FAILED = 'failed'  # it may have run; nothing was passed on
    BROKEN = 'broken'  # a part of the answer was passed on


class Refused(NamedTuple):
    """An answer of the system's own."""

    status: int
    reason: str
    retry_after_s: float | None = None


class Call:
    """A request from its arrival to the end of its answer."""

    def __init__(
        self,
        state: EntryState,
        req: HttpRequest,
        responder: Responder,
    ) -> None:
        self._state = state
        self._req = req
        self._responder = responder
        self._arrived = now_s()
        self._facts: CallFacts | None = None
        self._route: RouteSpec | None = None
        self._pool: PoolSpec | None = None
        self._account: AccountSpec | None = None
        self._deadline = self._arrived
        self._tried: set[str] = set()
        self._sends = 0
        self._may_have_run = 0
        self._cutter = EventCutter()

    async def run(self) -> None:
        """Answer the request."""
        refused = await self._admit()
        if refused is None:
            left_s = self._deadline - now_s()
            try:
                async with asyncio.timeout(left_s):
                    refused = await self._serve()
            except TimeoutError:
                refused = Refused(504, 'deadline passed')
                if not self._may_have_run:
                    refused = Refused(503, 'no target in time', 0.2)
        if refused:
            await self._refuse(refused)

    # Checks before a target is looked for.

    async def _admit(self) -> Refused | None:
        state = self._state
        index = state.view.index
        if index is None:
            return Refused(503, 'no configuration yet', 0.3)
        facts = state.dialect.read_call(self._req.headers)
        if facts is None:
            return Refused(400, 'headers are not proper')
        self._facts = facts
        host = header_value(self._req.headers, b'host') or ''
        route = index.route(host, self._req.path)
        if route is None:
            return self._denied(404, 'no route')
        self._route = route
        timeout_s = route.timeout_s
        if facts.deadline_s is not None:
            timeout_s = min(timeout_s, facts.deadline_s)
        self._deadline = self._arrived + timeout_s
        refused = self._check_key(index, route, facts)
        if refused:
            return refused
        self._pool = index.pools.get(state.pick_pool(route))
        if self._pool is None:
            return Refused(503, 'the route has no pool', 0.3)
        return await self._charge(facts)

    def _check_key(
        self,
        index: DeploymentIndex,
        route: RouteSpec,
        facts: CallFacts,
    ) -> Refused | None:
        if route.open or not index.accounts:
            return None
        if not self._is_confirmed():
            return Refused(503, 'keys could not be confirmed', 0.3)
        account = index.account_of_key(facts.key) if facts.key else None
        if account is None:
            return self._denied(401, 'unknown key')
        self._account = account
        return None

    def _denied(self, status: int, reason: str) -> Refused:
        """Deny a request, unless a newer configuration may allow it."""
        if self._state.view.age(now_s()) > BEHIND_S:
            return Refused(503, f'{reason}, but may be behind', 0.3)
        return Refused(status, reason)

    def _is_confirmed(self) -> bool:
        limit_s = self._state.cfg.key_age_s
        return limit_s is None or self._state.view.age(now_s()) < limit_s

    async def _charge(self, facts: CallFacts) -> Refused | None:
        account = self._account
        if account is None or account.rate <= 0:
            return None
        cost = 1.0
        if account.by_tokens:
            cost = facts.tokens or account.default_tokens
        holder = self._state.tokens
        holder.note_demand(account, cost, now_s())
        give_up_at = now_s() + TOKEN_WAIT_S
        while not holder.spend(account, cost, now_s()):
            self._state.ask_leader()
            if now_s() >= give_up_at:
                entries = self._state.view.entries
                wait_s = holder.wait_s(account, cost, entries)
                return Refused(429, 'over the quota', wait_s)
            await self._state.wait_for_news(POLL_S)
        return None

    # The way to a target and back.

    async def _serve(self) -> Refused | None:
        assert self._route
        assert self._facts
        assert self._pool
        state = self._state
        state.retries.note_request(now_s())
        name = (self._pool.name, self._facts.model, self._facts.adapter)
        if self._facts.adapter:
            state.work.wanted(*name)
        while True:
            candidate = await self._find_target(name)
            if isinstance(candidate, Refused):
                return candidate
            end = await self._send(candidate)
            if end is End.DONE:
                return None
            refused = self._may_go_on(end)
            if refused:
                return refused

    def _may_go_on(self, end: End) -> Refused | None:
        """Return why a request that failed is not sent again."""
        assert self._route
        route = self._route
        unsure = Refused(502, f'the target {end.value}')
        if end is not End.NOT_RUN:
            if not route.idempotent:
                return unsure
            if self._may_have_run >= route.max_attempts:
                return unsure
        elif self._sends >= route.max_attempts + EXTRA_SENDS:
            return self._not_run('targets are full')
        if not self._state.retries.take(self._state.view.entries, now_s()):
            if self._may_have_run:
                return unsure
            return self._not_run('no retries left')
        return None

    def _not_run(self, reason: str) -> Refused:
        if self._may_have_run:
            return Refused(502, reason)
        return Refused(503, reason, 0.2)

    async def _find_target(
        self,
        name: tuple[str, str, str],
    ) -> Candidate | Refused:
        assert self._route
        limit_s = OBJECTIVES_TO_WAIT * self._route.objective_s
        limit_s = min(limit_s, PART_TO_WAIT * (self._deadline - self._arrived))
        give_up_at = self._arrived + limit_s
        if self._responder.started:
            give_up_at = self._deadline
        waiting = False
        try:
            while True:
                now = now_s()
                choice = self._choose(name, now)
                if isinstance(choice, Choice):
                    return choice.candidate
                if now >= give_up_at:
                    return self._not_run('no target is free')
                wants_adapter = bool(name[2]) and not choice.holders
                if wants_adapter and not waiting:
                    waiting = True
                    self._state.work.waits(*name, 1)
                    self._state.ask_leader()
                pause_s = POLL_S
                if choice.ready_at is not None:
                    pause_s = max(0.001, choice.ready_at - now)
                await self._state.wait_for_news(min(pause_s, POLL_S))
        finally:
            if waiting:
                self._state.work.waits(*name, -1)

    def _choose(
        self,
        name: tuple[str, str, str],
        now: float,
    ) -> Choice | NoChoice:
        state = self._state
        candidates = find_candidates(state.view, *name, now)
        return choose_target(
            candidates,
            health=state.health,
            load_of=lambda known: state.work.load_of(
                known,
                state.view.entries,
                now,
            ),
            may_send=lambda known: self._may_send(known, now),
            avoid=frozenset(self._tried),
            own_zone=state.cfg.zone,
            now=now,
        )

    def _may_send(self, known: KnownTarget, now: float) -> bool:
        assert self._pool
        state = self._state
        entries = state.view.entries
        target = known.record.target
        most = max(2, int(self._pool.max_connections * 0.9 / entries))
        if state.work.running_at(target) >= most:
            return False
        if not known.is_cold(now):
            return True
        per_s = self._pool.cold_per_s
        return state.cold.may_send(target, per_s, entries, now)

    async def _send(self, candidate: Candidate) -> End:
        state = self._state
        record = candidate.known.record
        label = candidate.label
        fresh = self._may_have_run > 0
        if not self._is_confirmed() and self._account:
            return End.NOT_RUN
        state.work.started(record.target, label)
        self._sends += 1
        conn: TargetConnection | ConnectFailed | None = None
        try:
            conn = await state.pool.acquire(
                record.address,
                fresh=fresh,
                timeout_s=CONNECT_TIMEOUT_S,
                now=now_s(),
            )
            if isinstance(conn, ConnectFailed):
                self._tried.add(record.target)
                state.health.unreachable(record.target, now_s())
                self._log_send(candidate, 'connect failed', conn.detail)
                return End.NOT_RUN
            return await self._exchange(candidate, conn)
        finally:
            state.work.ended(record.target, label)
            if isinstance(conn, TargetConnection):
                state.pool.release(conn, now_s())

    async def _exchange(
        self,
        candidate: Candidate,
        conn: TargetConnection,
    ) -> End:
        state = self._state
        facts = self._facts
        assert facts
        target = candidate.known.record.target
        try:
            now = now_s()
            state.cold.note_sent(target, now)
            self._may_have_run += 1
            conn.send(
                self._encode(candidate, now),
                facts.request_id.encode('latin-1'),
                state.dialect.id_header,
            )
            event = await conn.event()
            if not isinstance(event, AnswerHead):
                return self._no_head(candidate, event)
            head = state.dialect.read_head(event)
            if head.running is not None:
                requests = head.running + (head.waiting or 0)
                state.work.told(target, requests, now_s())
            if head.not_executed or head.other_target:
                return await self._was_not_run(candidate, conn, head)
            if head.status >= SERVER_FAILURE:
                state.health.failed(target, now_s())
                if self._could_retry():
                    conn.close()
                    self._tried.add(target)
                    self._log_send(candidate, 'failed', str(head.status))
                    return End.FAILED
            elif head.status < 300 and (head.encoded or not head.stamped):
                return self._broke(candidate, conn, "not the target's answer")
            return await self._pass_on(candidate, conn, event)
        except BaseException:
            conn.close()
            raise

    def _encode(self, candidate: Candidate, now: float) -> bytes:
        facts = self._facts
        assert facts
        assert self._route
        label = candidate.label
        version = 0
        if label and label.adapter:
            newest = self._state.view.newest_version(label.model, label.adapter)
            version = label.version if newest else 0
        priority = self._route.priority
        if self._account and self._account.priority is not None:
            priority = self._account.priority
        outgoing = Outgoing(
            facts.request_id,
            candidate.known.record.target,
            self._account.name if self._account else None,
            max(0.001, self._deadline - now),
            version,
            self._cutter.last_id or facts.last_event_id,
            priority,
        )
        headers = self._state.dialect.call_headers(self._req.headers, outgoing)
        body = self._req.body
        if body or self._req.method in {'POST', 'PUT', 'PATCH'}:
            length = str(len(body)).encode()
            headers.append((b'Content-Length', length))
        line = f'{self._req.method} {self._req.target} HTTP/1.1'
        return encode_head(line, headers) + body

    def _could_retry(self) -> bool:
        assert self._route
        return (
            self._route.idempotent
            and self._may_have_run < self._route.max_attempts
        )

    def _no_head(self, candidate: Candidate, event: object) -> End:
        target = candidate.known.record.target
        detail = event.detail if isinstance(event, AnswerBroken) else 'ended'
        self._state.health.unreachable(target, now_s())
        self._tried.add(target)
        self._log_send(candidate, 'no answer', detail)
        return End.BROKEN if self._responder.started else End.FAILED

    async def _was_not_run(
        self,
        candidate: Candidate,
        conn: TargetConnection,
        head: TargetHead,
    ) -> End:
        state = self._state
        record = candidate.known.record
        self._may_have_run -= 1
        conn.close()
        if head.other_target:
            if candidate.label and candidate.label.adapter:
                state.work.missing(record.target, candidate.label)
                candidate.known.adapters.pop(candidate.label, None)
            else:
                state.health.full(record.target, 0.5, now_s())
            state.ask_leader()
        else:
            state.health.full(record.target, FULL_PAUSE_S, now_s())
        self._log_send(candidate, 'not run', str(head.status))
        return End.NOT_RUN

    def _broke(
        self,
        candidate: Candidate,
        conn: TargetConnection,
        detail: str,
    ) -> End:
        target = candidate.known.record.target
        self._state.health.failed(target, now_s())
        self._tried.add(target)
        conn.close()
        self._log_send(candidate, 'broke', detail)
        return End.BROKEN if self._responder.started else End.FAILED

    async def _pass_on(
        self,
        candidate: Candidate,
        conn: TargetConnection,
        head: AnswerHead,
    ) -> End:
        assert self._route
        if self._route.kind is CallKind.STREAM and head.status < 300:
            return await self._pass_stream(candidate, conn, head)
        body = bytearray()
        while True:
            event = await conn.event()
            if isinstance(event, AnswerData):
                body += event.chunk
            elif isinstance(event, AnswerEnd):
                break
            else:
                return self._broke(candidate, conn, str(event))
        headers = self._state.dialect.answer_headers(head.headers)
        await self._responder.send(head.status, headers, bytes(body))
        if head.status < SERVER_FAILURE:
            self._state.health.succeeded(
                candidate.known.record.target,
                now_s(),
            )
        self._log_send(candidate, 'answered', str(head.status))
        return End.DONE

    async def _pass_stream(
        self,
        candidate: Candidate,
        conn: TargetConnection,
        head: AnswerHead,
    ) -> End:
        responder = self._responder
        self._cutter.restart()
        while True:
            event = await conn.event()
            if isinstance(event, AnswerBroken):
                self._state.health.unreachable(
                    candidate.known.record.target,
                    now_s(),
                )
                return self._broke(candidate, conn, event.detail)
            if isinstance(event, AnswerData):
                whole = self._cutter.feed(event.chunk)
                if whole:
                    self._start_stream(head)
                    await responder.write(whole)
            if isinstance(event, AnswerEnd):
                self._start_stream(head)
                await responder.write(self._cutter.finish())
                responder.end()
                break
        self._state.health.succeeded(candidate.known.record.target, now_s())
        self._log_send(candidate, 'answered', str(head.status))
        return End.DONE

    def _start_stream(self, head: AnswerHead) -> None:
        if not self._responder.started:
            headers = self._state.dialect.answer_headers(head.headers)
            self._responder.start(head.status, headers, None)

    # Answers of the system's own.

    async def _refuse(self, refused: Refused) -> None:
        facts = self._facts
        request_id = facts.request_id if facts else ''
        self._state.log.write(
            'request',
            'refused',
            id=request_id,
            status=refused.status,
            reason=refused.reason,
            sends=self._sends,
            started=self._responder.started,
            age_s=round(self._state.view.age(now_s()), 3),
            revision=self._state.view.published.revision,
            took_s=round(now_s() - self._arrived, 4),
            route=self._route.name if self._route else '',
        )
        if self._responder.started:
            self._responder.abort()
            return
        retry_s = refused.retry_after_s
        headers = self._state.dialect.refusal_headers(
            request_id,
            retry_s,
            refused.reason,
        )
        await self._responder.send(refused.status, headers)

    def _log_send(self, candidate: Candidate, what: str, detail: str) -> None:
        facts = self._facts
        self._state.log.write(
            'request',
            what,
            id=facts.request_id if facts else '',
            target=candidate.known.record.target,
            label=str(candidate.label) if candidate.label else '',
            detail=detail,
            sends=self._sends,
            revision=self._state.view.published.revision,
            took_s=round(now_s() - self._arrived, 4),
        )
