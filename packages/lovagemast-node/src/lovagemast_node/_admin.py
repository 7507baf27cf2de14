"""The administration API: operators, platform probes, target registration.

Requests are served on cheroot's worker threads. The node is not thread-safe,
so calls to it are run on the event loop.
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

from ._logs import PartLogger
from ._metrics import Metrics
from ._nodetask import Handler, NodeTask
from ._request import sha256_hex
from ._settings import Settings
from ._timeline import Timeline, TimelineFilter

_log = PartLogger.from_part('admin')
WORKER_THREADS: Final = 6
MAX_BODY_BYTES: Final = 8_388_608
REQUEST_TIMEOUT_S: Final = 8.0
OPERATION_ID_BYTES: Final = 8
_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; charset=utf-8'

WsgiEnviron = dict[str, Any]
WsgiStartResponse = Callable[[str, list[tuple[str, str]]], object]


class AdminResponse(NamedTuple):
    """A response of the administration API."""

    status: HTTPStatus
    document: Any
    media_type: str = _JSON

    def encode(self) -> bytes:
        """Return the encoded response body."""
        if isinstance(self.document, bytes):
            return self.document
        return json.dumps(self.document).encode() + b'\n'


class AdminRequest(NamedTuple):
    """The query and JSON body of a request to the administration API."""

    query: Mapping[str, str]
    document: dict[str, Any]


Endpoint = Callable[[AdminRequest], AdminResponse]


class PendingOperations:
    """Matches operators' changes with the outcomes that the node reports."""

    def __init__(self, node_task: NodeTask) -> None:
        self._node_task = node_task
        self._futures: dict[str, asyncio.Future[Outcome]] = {}

    def handlers(self) -> dict[type, Handler]:
        """Return this component's effect handlers by effect type."""
        return {ReplyToOperator: self._on_outcome}

    async def apply_config(self, change: dict[str, Any]) -> Outcome:
        """Submit a configuration change and wait for its outcome."""
        operation = secrets.token_hex(OPERATION_ID_BYTES)
        event = ConfigChangeRequested(
            operation,
            change['op_id'],
            change['expected'],
            json.dumps(change['document'], sort_keys=True),
        )
        return await self._submit(operation, event)

    async def remove_vm(self, vm: str) -> Outcome:
        """Submit the removal of a dead VM and wait for its outcome."""
        operation = secrets.token_hex(OPERATION_ID_BYTES)
        return await self._submit(operation, VmRemovalRequested(operation, vm))

    async def _submit(
        self,
        operation: str,
        event: ConfigChangeRequested | VmRemovalRequested,
    ) -> Outcome:
        fut = asyncio.get_running_loop().create_future()
        self._futures[operation] = fut
        try:
            self._node_task.post(event)
            outcome: Outcome = await fut
        finally:
            self._futures.pop(operation)
        return outcome

    def _on_outcome(self, effect: ReplyToOperator) -> None:
        fut = self._futures.get(effect.operation)
        if fut and not fut.done():
            fut.set_result(effect.outcome)


class AdminServer:
    """Serves the administration API."""

    def __init__(
        self,
        settings: Settings,
        node_task: NodeTask,
        timeline: Timeline,
        metrics: Metrics,
        on_drain: Callable[[], None],
    ) -> None:
        self.operations = PendingOperations(node_task)
        self._settings = settings
        self._node_task = node_task
        self._timeline = timeline
        self._metrics = metrics
        self._on_drain = on_drain
        self._loop = asyncio.get_running_loop()
        self._public_endpoints: dict[tuple[str, str], Endpoint] = {
            ('GET', '/healthz'): self._healthz,
            ('GET', '/readyz'): self._readyz,
            ('GET', '/metrics'): self._render_metrics,
        }
        self._target_endpoints: dict[tuple[str, str], Endpoint] = {
            ('POST', '/targets/register'): self._register,
            ('POST', '/targets/deregister'): self._deregister,
        }
        self._operator_endpoints: dict[tuple[str, str], Endpoint] = {
            ('GET', '/admin/config'): self._get_config,
            ('POST', '/admin/apply'): self._apply_config,
            ('GET', '/admin/status'): self._get_status,
            ('GET', '/admin/timeline'): self._get_timeline,
            ('POST', '/admin/drain'): self._drain,
            ('POST', '/admin/remove-vm'): self._remove_vm,
        }
        listen = settings.admin
        self._server = wsgi.Server(
            (listen.host, listen.port),
            self._serve,
            numthreads=WORKER_THREADS,
            max=WORKER_THREADS,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES

    async def run(self) -> None:
        """Serve requests until :meth:`stop` is called."""
        await asyncio.to_thread(self._server.safe_start)

    def stop(self) -> None:
        """Stop the server and close its listener."""
        self._server.stop()

    # Request handling

    def _serve(
        self,
        environ: WsgiEnviron,
        start_response: WsgiStartResponse,
    ) -> Iterable[bytes]:
        reply = self._dispatch(environ)
        body = reply.encode()
        start_response(
            f'{reply.status.value} {reply.status.phrase}',
            [
                ('Content-Type', reply.media_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _dispatch(self, environ: WsgiEnviron) -> AdminResponse:
        route = environ['REQUEST_METHOD'], environ['PATH_INFO']
        endpoint = self._public_endpoints.get(route)
        digests: tuple[str, ...] | None = None
        if route in self._target_endpoints:
            endpoint = self._target_endpoints[route]
            digests = self._settings.target_key_digests
        elif route in self._operator_endpoints:
            endpoint = self._operator_endpoints[route]
            digests = self._settings.admin_key_digests
        if endpoint is None:
            return _error_response(HTTPStatus.NOT_FOUND, 'no such endpoint')
        if digests is not None and not _has_valid_key(environ, digests):
            return _error_response(
                HTTPStatus.UNAUTHORIZED, 'the key is not valid'
            )
        try:
            return endpoint(_parse_request(environ))
        except ValueError as exc:
            return _error_response(HTTPStatus.BAD_REQUEST, str(exc))
        except TimeoutError:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return _error_response(status, 'the node did not answer in time')

    def _run_on_loop(self, call: Callable[[], Any]) -> Any:
        async def run() -> Any:
            return call()

        return self._wait_for(run())

    def _wait_for(self, coroutine: Any) -> Any:
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(REQUEST_TIMEOUT_S)

    # Platform probes

    def _healthz(self, req: AdminRequest) -> AdminResponse:
        self._run_on_loop(self._node_task.clock.now)
        return AdminResponse(HTTPStatus.OK, b'alive\n', _TEXT)

    def _readyz(self, req: AdminRequest) -> AdminResponse:
        node_task = self._node_task
        ready = self._run_on_loop(
            lambda: node_task.node.is_ready(node_task.clock.now()),
        )
        if ready:
            return AdminResponse(HTTPStatus.OK, b'ready\n', _TEXT)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return AdminResponse(status, b'not ready\n', _TEXT)

    def _render_metrics(self, req: AdminRequest) -> AdminResponse:
        rendered = self._run_on_loop(
            lambda: self._metrics.render(self._read_status),
        )
        return AdminResponse(HTTPStatus.OK, rendered, _TEXT)

    # Target registration

    def _register(self, req: AdminRequest) -> AdminResponse:
        return self._announce_target(req.document)

    def _deregister(self, req: AdminRequest) -> AdminResponse:
        return self._announce_target({**req.document, 'leaving': True})

    def _announce_target(self, document: dict[str, Any]) -> AdminResponse:
        facts, faults = parse_record(TargetFacts, document)
        if facts is None:
            raise ValueError('; '.join(map(str, faults)))
        self._run_on_loop(lambda: self._node_task.post(TargetAnnounced(facts)))
        return AdminResponse(HTTPStatus.OK, {'registered': facts.target})

    # Operator endpoints

    def _get_config(self, req: AdminRequest) -> AdminResponse:
        state = self._run_on_loop(lambda: self._node_task.node.published)
        document = {
            'revision': state.revision,
            'document': json.loads(state.document),
        }
        return AdminResponse(HTTPStatus.OK, document)

    def _apply_config(self, req: AdminRequest) -> AdminResponse:
        change = req.document
        if not isinstance(change.get('op_id'), str):
            raise ValueError('op_id must be a string')
        if not isinstance(change.get('expected'), int):
            raise ValueError('expected must be a revision')
        cfg, faults = parse_fleet_config(change.get('document'))
        if cfg is None:
            raise ValueError('; '.join(map(str, faults)))
        _log.info('configuration change %s requested', change['op_id'])
        return _outcome_response(
            self._wait_for(self.operations.apply_config(change))
        )

    def _remove_vm(self, req: AdminRequest) -> AdminResponse:
        vm = req.document.get('vm')
        if not isinstance(vm, str):
            raise ValueError('vm must be a string')
        return _outcome_response(self._wait_for(self.operations.remove_vm(vm)))

    def _get_status(self, req: AdminRequest) -> AdminResponse:
        status = self._run_on_loop(self._read_status)
        return AdminResponse(HTTPStatus.OK, to_json(status))

    def _get_timeline(self, req: AdminRequest) -> AdminResponse:
        query = dict(req.query)
        criteria = TimelineFilter(
            query.get('request', ''),
            query.get('account', ''),
            query.get('target', ''),
            float(query.get('since', 0)),
            int(query.get('limit', 1000)),
        )
        events = self._run_on_loop(lambda: self._timeline.select(criteria))
        return AdminResponse(
            HTTPStatus.OK, [to_json(event) for event in events]
        )

    def _drain(self, req: AdminRequest) -> AdminResponse:
        self._loop.call_soon_threadsafe(self._on_drain)
        return AdminResponse(
            HTTPStatus.ACCEPTED, {'draining': self._settings.vm}
        )

    def _read_status(self) -> Any:
        return self._node_task.node.status(self._node_task.clock.now())


def to_json(record: Any) -> Any:
    """Return a record as JSON values, including fields with defaults."""
    if hasattr(record, '_asdict'):
        return {
            name: to_json(member) for name, member in record._asdict().items()
        }
    if isinstance(record, tuple):
        return [to_json(member) for member in record]
    return to_document(record)


def _parse_request(environ: WsgiEnviron) -> AdminRequest:
    query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length) if length else b'{}'
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError('the body is not a JSON object')
    return AdminRequest(query, document)


def _has_valid_key(environ: WsgiEnviron, digests: Iterable[str]) -> bool:
    authorization = environ.get('HTTP_AUTHORIZATION', '')
    digest = sha256_hex(authorization.removeprefix('Bearer ').strip())
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches)


def _outcome_response(outcome: Outcome) -> AdminResponse:
    document = {'outcome': type(outcome).__name__, **to_json(outcome)}
    status = HTTPStatus.OK
    if isinstance(outcome, Conflict):
        status = HTTPStatus.CONFLICT
    elif isinstance(outcome, Unavailable):
        status = HTTPStatus.SERVICE_UNAVAILABLE
    return AdminResponse(status, document)


def _error_response(status: HTTPStatus, detail: str) -> AdminResponse:
    return AdminResponse(status, {'status': status.value, 'detail': detail})
