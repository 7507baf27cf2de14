"""Serves callers: reads requests, relays answers, notices who left."""

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

from ._intake import (
    HttpRequest,
    Intake,
    bearer_key,
    digest_of,
    read_intake,
)
from ._logs import PartLogger
from ._metrics import Metrics
from ._nodetask import Handler, NodeTask
from ._problem import problem_body, problem_event, problem_headers
from ._settings import RequestLimits

_log = PartLogger.from_part('callers')
REQUEST_ID_BYTES: Final = 10
EVENT_STREAM: Final = 'text/event-stream'
MODELS_PATH: Final = '/v1/models'
SHUTDOWN_S: Final = 5.0
PARSER_MARGIN: Final = 8  # above it the parser answers, without a reason

AnswerPart = (
    StartResponse
    | SendResponseChunk
    | EndResponse
    | SendRefusal
    | SendStoredResponse
)


class CallerStream:
    """One request under way, and the answer parts not yet written.

    Whoever has added parts may write them: the task that reads from the
    target does so at once, which saves waking another task for each part.
    """

    def __init__(self, intake: Intake) -> None:
        self.intake = intake
        self.first: asyncio.Future[AnswerPart] = asyncio.Future()
        self.end: asyncio.Future[AnswerPart] = asyncio.Future()
        self.response: web.StreamResponse | None = None
        self._chunks: deque[bytes] = deque()
        self._writing = asyncio.Lock()

    def add(self, part: AnswerPart) -> None:
        """Take the next part of the answer."""
        if isinstance(part, SendResponseChunk):
            self._chunks.append(part.chunk)
        elif not self.first.done():
            self.first.set_result(part)
        elif not self.end.done():
            self.end.set_result(part)

    async def write_chunks(self) -> None:
        """Write the chunks so far, in order.

        Raises :exc:`ConnectionError` if the caller has left.
        """
        if self.response is None:
            return
        async with self._writing:
            while self._chunks:
                await self.response.write(self._chunks.popleft())


class CallerServer:
    """Owns the callers' connections."""

    def __init__(
        self,
        node_task: NodeTask,
        limits: RequestLimits,
        metrics: Metrics,
    ) -> None:
        self._node_task = node_task
        self._limits = limits
        self._metrics = metrics
        self._streams: dict[str, CallerStream] = {}
        self._runner: web.AppRunner | None = None

    def handlers(self) -> dict[type, Handler]:
        """Return the effects that the part carries out."""
        return dict.fromkeys(
            (
                StartResponse,
                SendResponseChunk,
                EndResponse,
                SendRefusal,
                SendStoredResponse,
            ),
            self._on_part,
        )

    def intake_of(self, request: str) -> Intake | None:
        """Return a request that is under way."""
        stream = self._streams.get(request)
        return stream.intake if stream else None

    async def write_chunks(self, request: str) -> None:
        """Write what has come for a request; its caller may have left."""
        stream = self._streams.get(request)
        if stream:
            with suppress(ConnectionError):
                await stream.write_chunks()

    async def start(self, host: str, port: int) -> None:
        """Listen for callers."""
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.router.add_get('/readyz', self._readyz)
        app.router.add_get('/healthz', self._healthz)
        app.router.add_get(MODELS_PATH, self._models)
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_field_size=self._limits.header_bytes * PARSER_MARGIN,
            max_line_size=self._limits.header_bytes * PARSER_MARGIN,
            shutdown_timeout=SHUTDOWN_S,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner:
            await self._runner.cleanup()

    def _on_part(self, part: AnswerPart) -> None:
        stream = self._streams.get(part.request)
        if stream:
            stream.add(part)

    async def _readyz(self, http: web.Request) -> web.Response:
        node_task = self._node_task
        if node_task.node.is_ready(node_task.clock.now()):
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _healthz(self, http: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _models(self, http: web.Request) -> web.Response:
        key = bearer_key(http.headers)
        models = self._node_task.node.models(digest_of(key))
        if isinstance(models, Refusal):
            return _refuse(models, secrets.token_hex(REQUEST_ID_BYTES))
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

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        request = secrets.token_hex(REQUEST_ID_BYTES)
        if len(self._streams) >= self._limits.concurrent:
            refusal = Refusal(
                Reason.OVERLOADED,
                'too many requests are under way at this VM',
                retry_after_s=1,
            )
            return _refuse(refusal, request)
        intake = await self._read(http, request)
        if isinstance(intake, Refusal):
            return _refuse(intake, request)
        stream = CallerStream(intake)
        self._streams[request] = stream
        self._node_task.post(RequestArrived(intake.req))
        try:
            return await self._answer(http, request, stream)
        except (asyncio.CancelledError, ConnectionError):
            self._node_task.post(CallerDisconnected(request))
            raise
        finally:
            self._streams.pop(request)

    async def _read(
        self,
        http: web.Request,
        request: str,
    ) -> Intake | Refusal:
        longest = max(map(len, (http.path_qs, *http.headers.values())))
        if longest > self._limits.header_bytes:
            detail = f'the limit is {self._limits.header_bytes} bytes'
            return Refusal(Reason.HEADER_TOO_LARGE, detail)
        try:
            body = await asyncio.wait_for(
                http.read(),
                self._limits.body_timeout_s,
            )
        except web.HTTPRequestEntityTooLarge:
            detail = f'the limit is {self._limits.body_bytes} bytes'
            return Refusal(Reason.BODY_TOO_LARGE, detail)
        except TimeoutError:
            return Refusal(Reason.BAD_REQUEST, 'the body did not come in time')
        except ValueError as exc:
            return Refusal(Reason.BAD_REQUEST, f'bad body: {exc}')
        parts = HttpRequest(
            request,
            http.method,
            http.path,
            http.path_qs,
            http.headers,
            body,
        )
        engine = self._node_task.node.is_engine_path(http.path)
        return read_intake(parts, engine=engine)

    async def _answer(
        self,
        http: web.Request,
        request: str,
        stream: CallerStream,
    ) -> web.StreamResponse:
        first = await stream.first
        match first:
            case SendRefusal(_, refusal):
                self._metrics.refused(refusal)
                return _refuse(refusal, request)
            case SendStoredResponse():
                return web.Response(
                    status=first.status,
                    body=first.body,
                    headers=_headers(first.media_type, request),
                )
            case StartResponse():
                return await self._relay(http, first, stream)
        raise RuntimeError(f'{type(first).__name__} came before a head')

    async def _relay(
        self,
        http: web.Request,
        head: StartResponse,
        stream: CallerStream,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=head.status,
            headers=_headers(head.media_type, head.request),
        )
        await response.prepare(http)
        stream.response = response
        await stream.write_chunks()
        part = await stream.end
        await stream.write_chunks()
        if isinstance(part, EndResponse) and part.failure:
            self._metrics.refused(part.failure)
            await self._break_off(http, response, part.failure, head)
        else:
            self._metrics.answered(head.status)
            await response.write_eof()
        return response

    async def _break_off(
        self,
        http: web.Request,
        response: web.StreamResponse,
        failure: Refusal,
        head: StartResponse,
    ) -> None:
        """Close without the end mark, so that no part looks whole."""
        if head.media_type.startswith(EVENT_STREAM):
            await response.write(problem_event(failure, head.request))
        if http.transport:
            http.transport.close()


def _headers(media_type: str, request: str) -> dict[str, str]:
    headers = {'X-Request-Id': request}
    if media_type:
        headers['Content-Type'] = media_type
    return headers


def _refuse(refusal: Refusal, request: str) -> web.Response:
    return web.Response(
        status=refusal.status,
        body=problem_body(refusal, request),
        headers=problem_headers(refusal, request),
    )
