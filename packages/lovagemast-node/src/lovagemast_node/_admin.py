"""The administration API: operators, platform checks, target registration.

Runs on cheroot's threads. Whatever concerns the node is handed to the
event loop, which alone touches it.
"""

import asyncio
import hmac
import json
import secrets
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl

from cheroot import wsgi
from lovagemast_core import (
    ConfigChangeRequested,
    Conflict,
    Outcome,
    ReplyToOperator,
    TargetAnnounced,
    TargetFacts,
    Unavailable,
    VmRemovalRequested,
    parse_fleet_config,
    parse_record,
    to_document,
)

from ._intake import digest_of
from ._logs import PartLogger
from ._metrics import Metrics
from ._nodetask import Handler, NodeTask
from ._settings import Settings
from ._timeline import Timeline, TimelineFilter

_log = PartLogger.from_part('admin')
THREADS: Final = 6
MAX_BODY: Final = 8_388_608  # bytes
REQUEST_TIMEOUT_S: Final = 8.0
OPERATION_BYTES: Final = 8
_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; charset=utf-8'

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Reply(NamedTuple):
    """An answer of the API."""

    status: HTTPStatus
    document: Any
    media_type: str = _JSON

    def encoded(self) -> bytes:
        """Return the body."""
        if isinstance(self.document, bytes):
            return self.document
        return json.dumps(self.document).encode() + b'\n'


class Ask(NamedTuple):
    """A request to the API."""

    query: Mapping[str, str]
    document: dict[str, Any]


Endpoint = Callable[[Ask], Reply]


class Operations:
    """Operators' changes that wait for their outcome."""

    def __init__(self, node_task: NodeTask) -> None:
        self._node_task = node_task
        self._waiting: dict[str, asyncio.Future[Outcome]] = {}

    def handlers(self) -> dict[type, Handler]:
        """Return the effects that the part carries out."""
        return {ReplyToOperator: self._on_outcome}

    async def change(self, ask: dict[str, Any]) -> Outcome:
        """Apply a configuration and return what came of it."""
        operation = secrets.token_hex(OPERATION_BYTES)
        event = ConfigChangeRequested(
            operation,
            ask['op_id'],
            ask['expected'],
            json.dumps(ask['document'], sort_keys=True),
        )
        return await self._post(operation, event)

    async def remove_vm(self, vm: str) -> Outcome:
        """Declare a VM dead."""
        operation = secrets.token_hex(OPERATION_BYTES)
        return await self._post(operation, VmRemovalRequested(operation, vm))

    async def _post(
        self,
        operation: str,
        event: ConfigChangeRequested | VmRemovalRequested,
    ) -> Outcome:
        fut = asyncio.get_running_loop().create_future()
        self._waiting[operation] = fut
        try:
            self._node_task.post(event)
            outcome: Outcome = await fut
        finally:
            self._waiting.pop(operation)
        return outcome

    def _on_outcome(self, effect: ReplyToOperator) -> None:
        fut = self._waiting.get(effect.operation)
        if fut and not fut.done():
            fut.set_result(effect.outcome)


class AdminServer:
    """Owns the administration API's listener."""

    def __init__(
        self,
        settings: Settings,
        node_task: NodeTask,
        timeline: Timeline,
        metrics: Metrics,
        on_drain: Callable[[], None],
    ) -> None:
        self.operations = Operations(node_task)
        self._settings = settings
        self._node_task = node_task
        self._timeline = timeline
        self._metrics = metrics
        self._on_drain = on_drain
        self._loop = asyncio.get_running_loop()
        self._open: dict[tuple[str, str], Endpoint] = {
            ('GET', '/healthz'): self._healthz,
            ('GET', '/readyz'): self._readyz,
            ('GET', '/metrics'): self._render_metrics,
        }
        self._for_targets: dict[tuple[str, str], Endpoint] = {
            ('POST', '/targets/register'): self._register,
            ('POST', '/targets/deregister'): self._deregister,
        }
        self._for_operators: dict[tuple[str, str], Endpoint] = {
            ('GET', '/admin/config'): self._config,
            ('POST', '/admin/apply'): self._apply,
            ('GET', '/admin/status'): self._status,
            ('GET', '/admin/timeline'): self._events,
            ('POST', '/admin/drain'): self._drain,
            ('POST', '/admin/remove-vm'): self._remove_vm,
        }
        listen = settings.admin
        self._server = wsgi.Server(
            (listen.host, listen.port),
            self._serve,
            numthreads=THREADS,
            max=THREADS,
        )
        self._server.max_request_body_size = MAX_BODY

    async def run(self) -> None:
        """Serve until :meth:`stop`."""
        await asyncio.to_thread(self._server.safe_start)

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop()

    # HTTP

    def _serve(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        reply = self._answer(environ)
        body = reply.encoded()
        start_response(
            f'{reply.status.value} {reply.status.phrase}',
            [
                ('Content-Type', reply.media_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _answer(self, environ: Environ) -> Reply:
        where = environ['REQUEST_METHOD'], environ['PATH_INFO']
        endpoint = self._open.get(where)
        digests: tuple[str, ...] | None = None
        if where in self._for_targets:
            endpoint = self._for_targets[where]
            digests = self._settings.target_key_digests
        elif where in self._for_operators:
            endpoint = self._for_operators[where]
            digests = self._settings.admin_key_digests
        if endpoint is None:
            return _failure(HTTPStatus.NOT_FOUND, 'no such endpoint')
        if digests is not None and not _has_key(environ, digests):
            return _failure(HTTPStatus.UNAUTHORIZED, 'the key is not valid')
        try:
            return endpoint(_read_ask(environ))
        except ValueError as exc:
            return _failure(HTTPStatus.BAD_REQUEST, str(exc))
        except TimeoutError:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return _failure(status, 'the node did not answer in time')

    def _on_loop(self, call: Callable[[], Any]) -> Any:
        async def run() -> Any:
            return call()

        return self._wait(run())

    def _wait(self, coroutine: Any) -> Any:
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(REQUEST_TIMEOUT_S)

    # Platform

    def _healthz(self, ask: Ask) -> Reply:
        self._on_loop(self._node_task.clock.now)
        return Reply(HTTPStatus.OK, b'alive\n', _TEXT)

    def _readyz(self, ask: Ask) -> Reply:
        node_task = self._node_task
        ready = self._on_loop(
            lambda: node_task.node.is_ready(node_task.clock.now()),
        )
        if ready:
            return Reply(HTTPStatus.OK, b'ready\n', _TEXT)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return Reply(status, b'not ready\n', _TEXT)

    def _render_metrics(self, ask: Ask) -> Reply:
        rendered = self._on_loop(
            lambda: self._metrics.render(self._read_status),
        )
        return Reply(HTTPStatus.OK, rendered, _TEXT)

    # Targets

    def _register(self, ask: Ask) -> Reply:
        return self._announce(ask.document)

    def _deregister(self, ask: Ask) -> Reply:
        return self._announce({**ask.document, 'leaving': True})

    def _announce(self, document: dict[str, Any]) -> Reply:
        facts, faults = parse_record(TargetFacts, document)
        if facts is None:
            raise ValueError('; '.join(map(str, faults)))
        self._on_loop(lambda: self._node_task.post(TargetAnnounced(facts)))
        return Reply(HTTPStatus.OK, {'registered': facts.target})

    # Operators

    def _config(self, ask: Ask) -> Reply:
        state = self._on_loop(lambda: self._node_task.node.published)
        document = {
            'revision': state.revision,
            'document': json.loads(state.document),
        }
        return Reply(HTTPStatus.OK, document)

    def _apply(self, ask: Ask) -> Reply:
        change = ask.document
        if not isinstance(change.get('op_id'), str):
            raise ValueError('op_id must be a string')
        if not isinstance(change.get('expected'), int):
            raise ValueError('expected must be a revision')
        cfg, faults = parse_fleet_config(change.get('document'))
        if cfg is None:
            raise ValueError('; '.join(map(str, faults)))
        _log.info('operation %s was asked for', change['op_id'])
        return _outcome_reply(self._wait(self.operations.change(change)))

    def _remove_vm(self, ask: Ask) -> Reply:
        vm = ask.document.get('vm')
        if not isinstance(vm, str):
            raise ValueError('vm must be a string')
        return _outcome_reply(self._wait(self.operations.remove_vm(vm)))

    def _status(self, ask: Ask) -> Reply:
        status = self._on_loop(self._read_status)
        return Reply(HTTPStatus.OK, to_plain(status))

    def _events(self, ask: Ask) -> Reply:
        query = dict(ask.query)
        wanted = TimelineFilter(
            query.get('request', ''),
            query.get('account', ''),
            query.get('target', ''),
            float(query.get('since', 0)),
            int(query.get('limit', 1000)),
        )
        found = self._on_loop(lambda: self._timeline.select(wanted))
        return Reply(HTTPStatus.OK, [to_plain(event) for event in found])

    def _drain(self, ask: Ask) -> Reply:
        self._loop.call_soon_threadsafe(self._on_drain)
        return Reply(HTTPStatus.ACCEPTED, {'draining': self._settings.vm})

    def _read_status(self) -> Any:
        return self._node_task.node.status(self._node_task.clock.now())


def to_plain(record: Any) -> Any:
    """Return the JSON form of a record with all its fields."""
    if hasattr(record, '_asdict'):
        return {
            name: to_plain(member) for name, member in record._asdict().items()
        }
    if isinstance(record, tuple):
        return [to_plain(member) for member in record]
    return to_document(record)


def _read_ask(environ: Environ) -> Ask:
    query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length) if length else b'{}'
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError('the body is not a JSON object')
    return Ask(query, document)


def _has_key(environ: Environ, digests: Iterable[str]) -> bool:
    authorization = environ.get('HTTP_AUTHORIZATION', '')
    digest = digest_of(authorization.removeprefix('Bearer ').strip())
    found = [hmac.compare_digest(digest, known) for known in digests]
    return any(found)


def _outcome_reply(outcome: Outcome) -> Reply:
    document = {'outcome': type(outcome).__name__, **to_plain(outcome)}
    status = HTTPStatus.OK
    if isinstance(outcome, Conflict):
        status = HTTPStatus.CONFLICT
    elif isinstance(outcome, Unavailable):
        status = HTTPStatus.SERVICE_UNAVAILABLE
    return Reply(status, document)


def _failure(status: HTTPStatus, detail: str) -> Reply:
    return Reply(status, {'status': status.value, 'detail': detail})
