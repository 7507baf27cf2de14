"""Sends calls, adapter orders and probes to targets over HTTP."""

import asyncio
import json
from typing import Any, Final

import aiohttp
from lovagemast_core import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallFailure,
    CallStarted,
    CancelCall,
    OpenCall,
    OrderAnswered,
    OrderTarget,
    ProbeFailure,
    ProbeTarget,
    TargetProbed,
)

from ._callers import EVENT_STREAM, CallerServer
from ._logs import PartLogger
from ._nodetask import Handler, NodeTask
from ._request import ReceivedRequest, build_engine_body

_log = PartLogger.from_part('targets')
CONNECT_TIMEOUT_S: Final = 1.0
ORDER_TIMEOUT_S: Final = 5.0
PROBE_TIMEOUT_S: Final = 1.0
IDLE_TIMEOUT_S: Final = 10.0
NOT_FOUND: Final = 404
MAX_USAGE_BODY_BYTES: Final = 1_048_576
DONE_MARKER: Final = b'data: [DONE]'
EVENT_SEPARATOR: Final = b'\n\n'
FENCING_HEADER: Final = 'X-Fencing-Number'
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class ResponseReader:
    """Counts the tokens of a response and detects its terminator."""

    def __init__(self, *, engine: bool, media_type: str) -> None:
        self._is_event_stream = engine and media_type.startswith(EVENT_STREAM)
        self._is_document = engine and not self._is_event_stream
        self._tail = b''
        self._body = bytearray()

    def feed(self, chunk: bytes) -> int:
        """Take a chunk of the response and return its number of tokens."""
        if self._is_event_stream:
            with_overlap = self._tail[-1:] + chunk
            self._tail = (self._tail + chunk)[-len(DONE_MARKER) * 2 :]
            return with_overlap.count(EVENT_SEPARATOR)
        if self._is_document and len(self._body) < MAX_USAGE_BODY_BYTES:
            self._body += chunk
        return 0

    def usage_tokens(self) -> int:
        """Return the completion tokens that a JSON response reports."""
        if not self._is_document:
            return 0
        try:
            usage = json.loads(bytes(self._body)).get('usage') or {}
        except (ValueError, AttributeError):
            return 0
        tokens = usage.get('completion_tokens', 0)
        return tokens if isinstance(tokens, int) else 0

    def is_complete(self) -> bool:
        """Return whether an event stream ended with its terminator."""
        return not self._is_event_stream or DONE_MARKER in self._tail


class TargetClient:
    """Performs calls, orders and probes on connections to targets."""

    def __init__(self, node_task: NodeTask, callers: CallerServer) -> None:
        self._node_task = node_task
        self._callers = callers
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""
        return {
            OpenCall: self._open,
            CancelCall: self._cancel,
            OrderTarget: self._order,
            ProbeTarget: self._probe,
        }

    async def start(self) -> None:
        """Create the connection pools."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        self._pooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_TIMEOUT_S
            ),
            timeout=timeout,
            auto_decompress=False,
        )
        self._unpooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
        )

    async def stop(self) -> None:
        """Cancel all requests and close all connections."""
        for task in (*self._calls.values(), *self._background_tasks):
            task.cancel()
        for session in (self._pooled_session, self._unpooled_session):
            if session:
                await session.close()

    def _open(self, effect: OpenCall) -> None:
        task = asyncio.create_task(self._call(effect))
        self._calls[effect.attempt] = task
        task.add_done_callback(lambda _: self._calls.pop(effect.attempt, None))

    def _cancel(self, effect: CancelCall) -> None:
        task = self._calls.get(effect.attempt)
        if task:
            task.cancel()

    async def _call(self, effect: OpenCall) -> None:
        attempt = effect.attempt
        received = self._callers.find_request(effect.request)
        session = (
            self._unpooled_session
            if effect.fresh_connection
            else self._pooled_session
        )
        if received is None or session is None:
            self._report_failure(
                attempt, CallFailure.NOT_SENT, 'the caller left'
            )
            return
        try:
            await self._send_call(session, effect, received)
        except _CONNECT_ERRORS as exc:
            self._report_failure(attempt, CallFailure.NOT_SENT, str(exc))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._report_failure(attempt, CallFailure.BROKEN, repr(exc))

    async def _send_call(
        self,
        session: aiohttp.ClientSession,
        effect: OpenCall,
        received: ReceivedRequest,
    ) -> None:
        body = received.body
        if effect.label:
            body = build_engine_body(received, effect.label, effect.max_tokens)
        async with session.request(
            received.req.method,
            f'http://{effect.address}{received.path_and_query}',
            data=body,
            headers={**received.headers, 'X-Request-Id': effect.request},
            allow_redirects=False,
        ) as response:
            if effect.label and response.status == NOT_FOUND:
                detail = 'the engine does not have the adapter version'
                self._report_failure(
                    effect.attempt, CallFailure.NOT_LOADED, detail
                )
                return
            await self._relay(effect, response)

    async def _relay(
        self,
        effect: OpenCall,
        response: aiohttp.ClientResponse,
    ) -> None:
        attempt = effect.attempt
        post = self._node_task.post
        media_type = response.headers.get('Content-Type', '')
        reader = ResponseReader(
            engine=bool(effect.label), media_type=media_type
        )
        post(CallStarted(attempt, response.status, media_type))
        async for chunk in response.content.iter_any():
            post(CallChunk(attempt, chunk, reader.feed(chunk)))
            await self._callers.write_chunks(effect.request)
        if not _has_explicit_end(response) or not reader.is_complete():
            detail = 'the answer has no end mark'
            self._report_failure(attempt, CallFailure.BROKEN, detail)
            return
        tokens = reader.usage_tokens()
        if tokens:
            post(CallChunk(attempt, b'', tokens))
        post(CallEnded(attempt))

    def _report_failure(
        self, attempt: str, failure: CallFailure, detail: str
    ) -> None:
        self._node_task.post(CallFailed(attempt, failure, detail))

    def _order(self, effect: OrderTarget) -> None:
        self._spawn(self._send_order(effect))

    async def _send_order(self, effect: OrderTarget) -> None:
        action = 'load' if effect.load else 'unload'
        adapter, _, version = effect.label.partition('@')
        document = {
            'lora_name': effect.label,
            'lora_path': f'{adapter}/{version}',
        }
        outcome = OrderAnswered(effect.order, False, 'no answer', False)
        try:
            outcome = await self._post_order(
                effect,
                f'http://{effect.address}/v1/{action}_lora_adapter',
                document,
            )
        except _CONNECT_ERRORS as exc:
            outcome = OrderAnswered(effect.order, False, str(exc))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            outcome = outcome._replace(detail=repr(exc))
        self._node_task.post(outcome)

    async def _post_order(
        self,
        effect: OrderTarget,
        url: str,
        document: dict[str, str],
    ) -> OrderAnswered:
        if self._unpooled_session is None:
            return OrderAnswered(effect.order, False, 'not started')
        async with self._unpooled_session.post(
            url,
            json=document,
            headers={FENCING_HEADER: str(effect.fence)},
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
        ) as response:
            accepted = response.status == 200
            detail = '' if accepted else f'status {response.status}'
            return OrderAnswered(effect.order, accepted, detail)

    def _probe(self, effect: ProbeTarget) -> None:
        self._spawn(self._send_probe(effect))

    async def _send_probe(self, effect: ProbeTarget) -> None:
        try:
            probed = await self._get_state(effect)
        except _CONNECT_ERRORS as exc:
            probed = TargetProbed(effect.target, _connect_failure(exc))
        except (aiohttp.ClientError, OSError, ValueError):
            probed = TargetProbed(effect.target, ProbeFailure.SILENT)
        self._node_task.post(probed)

    async def _get_state(self, effect: ProbeTarget) -> TargetProbed:
        if self._unpooled_session is None:
            return TargetProbed(effect.target, ProbeFailure.SILENT)
        path = '/load' if effect.engine else '/healthz'
        async with self._unpooled_session.get(
            f'http://{effect.address}{path}',
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            state: dict[str, Any] = {}
            if effect.engine:
                state = await response.json()
        return TargetProbed(
            effect.target,
            ProbeFailure.NONE,
            str(state.get('incarnation', '')),
            tuple(state.get('adapters', ())),
            int(state.get('running', -1)),
            effect.sent_at,
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _has_explicit_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response's framing marks its end."""
    headers = response.headers
    chunked = headers.get('Transfer-Encoding', '').lower() == 'chunked'
    empty = response.status in {204, 304} or response.method == 'HEAD'
    return chunked or empty or 'Content-Length' in headers


def _connect_failure(exc: Exception) -> ProbeFailure:
    os_error = getattr(exc, 'os_error', None)
    if isinstance(os_error, ConnectionRefusedError):
        return ProbeFailure.REFUSED
    return ProbeFailure.SILENT
