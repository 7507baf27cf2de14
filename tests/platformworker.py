"""A minimal worker for tests that implements the platform's target interface.

It sends heartbeats, loads and unloads adapters on orders, and responds with an
event stream, or with a plain body if the request names no adapter.
"""

import asyncio
import json
import time
from typing import Any, NamedTuple
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from aiohttp import web
from multidict import CIMultiDict

HEARTBEAT_S = 0.3
EVENTS = 6
EVENT_S = 0.02
OK = 200
SLOTS = 8


class LoggedRequest(NamedTuple):
    """A request that a worker ran."""

    at: float  # monotonic clock, in s
    path: str
    headers: CIMultiDict[str]


class Worker:
    """A worker that records the requests and orders it received.

    Its heartbeats give ``advertised_port`` as its port, for example that of a
    proxy in front of it. They go to ``control``, or to ``fallback_controls``
    if that does not accept them.
    """

    def __init__(
        self,
        name: str,
        service: str,
        port: int,
        control: str,
        *,
        fallback_controls: tuple[str, ...] = (),
        advertised_port: int | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.address = f'127.0.0.1:{advertised_port or port}'
        self.port = port
        self.control = control
        self.fallback_controls = fallback_controls
        self.request_log: list[LoggedRequest] = []
        self.order_log: list[tuple[float, dict[str, Any]]] = []
        self.adapters: dict[str, int] = {}
        self.sequence = 0
        self.beats = 0
        self.state = 'ready'
        self.request_headers: list[CIMultiDict[str]] = []
        self.running = 0
        self.orders: list[dict[str, Any]] = []
        # Number of events after which the next stream is aborted.
        self.break_after: int | None = None
        # Whether it then rejects all requests, as a full worker does.
        self.is_full_after_break = False
        self.is_full = False
        # Requests/s that it says it takes from all VMs together.
        self.limit: float | None = None
        self.born = int(time.time() * 1000)
        self.software = 'v1'  # version of the worker's program

    def app(self) -> web.Application:
        """Return the worker's HTTP application."""
        app = web.Application()
        app.router.add_get('/report', self._report)
        app.router.add_post('/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def serve(self) -> None:
        """Serve requests and send heartbeats until cancelled."""
        runner = web.AppRunner(self.app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', self.port).start()
        try:
            while True:
                await asyncio.to_thread(self._beat)
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            await runner.cleanup()

    def _beat(self) -> None:
        self.beats += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': self.software,
            'slots': SLOTS,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.beats,
            'born': self.born,
            'models': self._models(),
        }
        for control in (self.control, *self.fallback_controls):
            if put(f'http://{control}/instances/{self.name}', body) == OK:
                return

    def _models(self) -> list[dict[str, Any]]:
        labels = [f'{name}@{number}' for name, number in self.adapters.items()]
        return [{'name': 'm', 'version': 1, 'adapters': labels}]

    async def _report(self, http: web.Request) -> web.Response:
        return web.json_response(
            {
                'models': self._models(),
                'busy': False,
                'sequence': self.sequence,
                'running': 0,
                'queued': 0,
            },
        )

    async def _order(self, http: web.Request) -> web.Response:
        if http.headers.get('X-Expect-Instance') != self.name:
            return web.Response(status=421)
        order = await http.json()
        self.orders.append(order)
        self.order_log.append((time.monotonic(), order))
        if order['precondition'] != self.sequence:
            return web.Response(status=409)
        self.sequence += 1
        if order['operation'] == 'load':
            self.adapters[order['adapter']] = order.get('version', 1)
        else:
            self.adapters.pop(order['adapter'], None)
        return web.Response(status=202)

    async def _run(self, http: web.Request) -> web.StreamResponse:
        headers = http.headers
        response_headers = {
            'X-Request-Id': headers.get('X-Request-Id', ''),
            'X-Server-Load': f'{self.running},0,{SLOTS}',
        }
        if headers.get('X-Expect-Instance') != self.name:
            return web.Response(status=421, headers=response_headers)
        if self.is_full:
            response_headers['X-Not-Executed'] = '1'
            return web.Response(status=503, headers=response_headers)
        _model, _, adapter = headers.get('X-Model', '').partition('/')
        if adapter and adapter not in self.adapters:
            return web.Response(status=421, headers=response_headers)
        body = (await http.read()).decode()
        run = CIMultiDict(headers, body=body)
        self.request_headers.append(run)
        self.request_log.append(LoggedRequest(time.monotonic(), http.path, run))
        response_headers['X-Server-Stamp'] = self.name
        if self.limit is not None:
            response_headers['Server-Limit'] = f'{self.limit}'
        if not adapter:
            return web.Response(
                body=http.path.encode(), headers=response_headers
            )
        self.running += 1
        try:
            return await self._stream(http, response_headers)
        finally:
            self.running -= 1

    async def _stream(
        self,
        http: web.Request,
        response_headers: dict[str, str],
    ) -> web.StreamResponse:
        first = int(http.headers.get('Last-Event-Id', '0')) + 1
        response_headers['Content-Type'] = 'text/event-stream'
        response = web.StreamResponse(headers=response_headers)
        await response.prepare(http)
        for number in range(first, EVENTS + 1):
            if self.break_after is not None and number > self.break_after:
                self.break_after = None
                self.is_full = self.is_full_after_break
                assert http.transport
                http.transport.abort()
                raise asyncio.CancelledError
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: e{number} {self.software}\n\n'
            await response.write(event.encode())
        await response.write_eof()
        return response


def put(url: str, body: object, method: str = 'PUT') -> int:
    """Send a JSON document; return the status, 0 without a response.

    Redirects are followed, as the platform's clients do.
    """
    data = json.dumps(body).encode()
    for _redirect in range(3):
        req = Request(url, data=data, method=method)
        req.add_header('Content-Type', 'application/json')
        try:
            with urlopen(req, timeout=2) as response:
                return int(response.status)
        except HTTPError as exc:
            location = exc.headers.get('Location')
            if not location:
                return exc.code
            url = location
        except OSError:
            return 0
    return 0
