"""The HTTP server for callers.

It reads requests, relays responses and reports callers that disconnect.
"""

import asyncio
import secrets
from collections import deque
from contextlib import suppress
from typing import Final

from aiohttp import web
from lovagemast_core import (
    CallerDisconnected,
    EndResponse,
    Reason,
    Refusal,
    RequestArrived,
    SendRefusal,
    SendResponseChunk,
    SendStoredResponse,
    StartResponse,
)

from ._bodies import BodyReader
from ._logs import PartLogger
from ._metrics import Metrics
from ._nodetask import Handler, NodeTask
from ._problem import problem_body, problem_event, problem_headers
from ._request import (
    RawRequest,
    ReceivedRequest,
    bearer_key,
    parse_request,
    sha256_hex,
)
from ._settings import RequestLimits
from .http import BodyBudget, BodyShare

_log = PartLogger.from_part('callers')
REQUEST_ID_BYTES: Final = 10
EVENT_STREAM: Final = 'text/event-stream'
MODELS_PATH: Final = '/v1/models'
SHUTDOWN_TIMEOUT_S: Final = 5.0
# The parser's own limits lie above the configured ones, because its refusals
# carry no problem document.
PARSER_LIMIT_FACTOR: Final = 8

ResponseEffect = (
    StartResponse
    | SendResponseChunk
    | EndResponse
    | SendRefusal
    | SendStoredResponse
)


class PendingRequest:
    """A request in progress and the response chunks not yet written.

    The task that reads from the target also writes the chunks, which avoids
    waking another task for each of them.
    """

    def __init__(self, received: ReceivedRequest) -> None:
        self.received = received
        self.first_effect: asyncio.Future[ResponseEffect] = asyncio.Future()
        self.end_effect: asyncio.Future[ResponseEffect] = asyncio.Future()
        self.response: web.StreamResponse | None = None
        self._chunks: deque[bytes] = deque()
        self._write_lock = asyncio.Lock()

    def accept(self, effect: ResponseEffect) -> None:
        """Take the next effect of the response."""
        if isinstance(effect, SendResponseChunk):
            self._chunks.append(effect.chunk)
        elif not self.first_effect.done():
            self.first_effect.set_result(effect)
        elif not self.end_effect.done():
            self.end_effect.set_result(effect)

    async def write_chunks(self) -> None:
        """Write the pending chunks in order.

        Raises :exc:`ConnectionError` if the caller has disconnected.
        """
        if self.response is None:
            return
        async with self._write_lock:
            while self._chunks:
                await self.response.write(self._chunks.popleft())


class CallerServer:
    """Accepts callers' requests and writes their responses."""

    def __init__(
        self,
        node_task: NodeTask,
        limits: RequestLimits,
        metrics: Metrics,
    ) -> None:
        self._node_task = node_task
        self._limits = limits
        self._metrics = metrics
        self._pending: dict[str, PendingRequest] = {}
        self._bodies = BodyBudget()
        self._runner: web.AppRunner | None = None

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""
        return dict.fromkeys(
            (
                StartResponse,
                SendResponseChunk,
                EndResponse,
                SendRefusal,
                SendStoredResponse,
            ),
            self._on_response_effect,
        )

    def find_request(self, request_id: str) -> ReceivedRequest | None:
        """Return a request that is in progress."""
        pending = self._pending.get(request_id)
        return pending.received if pending else None

    async def write_chunks(self, request_id: str) -> None:
        """Write a request's pending chunks if its caller is connected."""
        pending = self._pending.get(request_id)
        if pending:
            with suppress(ConnectionError):
                await pending.write_chunks()

    async def start(self, host: str, port: int) -> None:
        """Listen for connections of callers."""
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.router.add_get('/readyz', self._readyz)
        app.router.add_get('/healthz', self._healthz)
        app.router.add_get(MODELS_PATH, self._models)
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_field_size=self._limits.header_bytes * PARSER_LIMIT_FACTOR,
            max_line_size=self._limits.header_bytes * PARSER_LIMIT_FACTOR,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner:
            await self._runner.cleanup()

    def _on_response_effect(self, effect: ResponseEffect) -> None:
        pending = self._pending.get(effect.request)
        if pending:
            pending.accept(effect)

    async def _readyz(self, http_req: web.Request) -> web.Response:
        node_task = self._node_task
        if node_task.node.is_ready(node_task.clock.now()):
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _healthz(self, http_req: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _models(self, http_req: web.Request) -> web.Response:
        key = bearer_key(http_req.headers)
        models = self._node_task.node.models(sha256_hex(key))
        if isinstance(models, Refusal):
            return _refusal_response(
                models, secrets.token_hex(REQUEST_ID_BYTES)
            )
        document = {
            'object': 'list',
            'data': [
                {
                    'id': model,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'lovagemast',
                }
                for model in models
            ],
        }
        return web.json_response(document)

    async def _serve(self, http_req: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        if len(self._pending) >= self._limits.concurrent:
            refusal = Refusal(
                Reason.OVERLOADED,
                'too many requests are under way at this VM',
                retry_after_s=1,
            )
            return _refusal_response(refusal, request_id)
        reader = BodyReader(self._limits.body_bytes)
        share = BodyShare(self._bodies, reader.evict)
        try:
            return await self._serve_within(http_req, request_id, reader, share)
        finally:
            share.release()

    async def _serve_within(
        self,
        http_req: web.Request,
        request_id: str,
        reader: BodyReader,
        share: BodyShare,
    ) -> web.StreamResponse:
        received = await self._read_request(http_req, request_id, reader, share)
        if isinstance(received, Refusal):
            return _refusal_response(received, request_id)
        pending = PendingRequest(received)
        self._pending[request_id] = pending
        self._node_task.post(RequestArrived(received.req))
        try:
            return await self._respond(http_req, request_id, pending)
        except (asyncio.CancelledError, ConnectionError):
            self._node_task.post(CallerDisconnected(request_id))
            raise
        finally:
            self._pending.pop(request_id)

    async def _read_request(
        self,
        http_req: web.Request,
        request_id: str,
        reader: BodyReader,
        share: BodyShare,
    ) -> ReceivedRequest | Refusal:
        longest_field = max(
            map(len, (http_req.path_qs, *http_req.headers.values()))
        )
        if longest_field > self._limits.header_bytes:
            detail = f'the limit is {self._limits.header_bytes} bytes'
            return Refusal(Reason.HEADER_TOO_LARGE, detail)
        try:
            body = await reader.read(
                http_req, share, self._limits.body_timeout_s
            )
        except web.HTTPRequestEntityTooLarge:
            detail = f'the limit is {self._limits.body_bytes} bytes'
            return Refusal(Reason.BODY_TOO_LARGE, detail)
        except TimeoutError:
            return Refusal(Reason.BAD_REQUEST, 'the body did not come in time')
        except ValueError as exc:
            return Refusal(Reason.BAD_REQUEST, f'bad body: {exc}')
        if isinstance(body, Refusal):
            return body
        parts = RawRequest(
            request_id,
            http_req.method,
            http_req.path,
            http_req.path_qs,
            http_req.headers,
            body,
        )
        engine = self._node_task.node.is_engine_path(http_req.path)
        return parse_request(parts, engine=engine)

    async def _respond(
        self,
        http_req: web.Request,
        request_id: str,
        pending: PendingRequest,
    ) -> web.StreamResponse:
        first_effect = await pending.first_effect
        match first_effect:
            case SendRefusal(_, refusal):
                self._metrics.record_refusal(refusal)
                return _refusal_response(refusal, request_id)
            case SendStoredResponse():
                return web.Response(
                    status=first_effect.status,
                    body=first_effect.body,
                    headers=_response_headers(
                        first_effect.media_type, request_id
                    ),
                )
            case StartResponse():
                return await self._relay(http_req, first_effect, pending)
        raise RuntimeError(
            f'{type(first_effect).__name__} received before StartResponse'
        )

    async def _relay(
        self,
        http_req: web.Request,
        head: StartResponse,
        pending: PendingRequest,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=head.status,
            headers=_response_headers(head.media_type, head.request),
        )
        await response.prepare(http_req)
        pending.response = response
        await pending.write_chunks()
        effect = await pending.end_effect
        await pending.write_chunks()
        if isinstance(effect, EndResponse) and effect.failure:
            self._metrics.record_refusal(effect.failure)
            await self._abort_response(http_req, response, effect.failure, head)
        else:
            self._metrics.record_response(head.status)
            await response.write_eof()
        return response

    async def _abort_response(
        self,
        http_req: web.Request,
        response: web.StreamResponse,
        failure: Refusal,
        head: StartResponse,
    ) -> None:
        """Close the connection before the terminator, so that it is truncated.

        An event stream ends with an event that reports the failure.
        """
        if head.media_type.startswith(EVENT_STREAM):
            await response.write(problem_event(failure, head.request))
        if http_req.transport:
            http_req.transport.close()


def _response_headers(media_type: str, request_id: str) -> dict[str, str]:
    headers = {'X-Request-Id': request_id}
    if media_type:
        headers['Content-Type'] = media_type
    return headers


def _refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    return web.Response(
        status=refusal.status,
        body=problem_body(refusal, request_id),
        headers=problem_headers(refusal, request_id),
    )
