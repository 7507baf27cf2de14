"""A worker of the platform's kind, small enough for tests.

It announces itself, holds adapters as ordered, and answers requests with a
stream of events, or plainly where no model is asked for.
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

    at: float  # s, on the steady clock
    path: str
    headers: CIMultiDict[str]


class Worker:
    """One worker and what it was asked to do.

    It announces ``advertised_port`` where something else listens for it, and
    calls ``fallback_controls`` when ``control`` does not take its heartbeat.
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
        self.break_after: int | None = None  # events, of the next stream
        self.born = int(time.time() * 1000)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get('/report', self._report)
        app.router.add_post('/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def serve(self) -> None:
        """Serve and send heartbeats until cancelled."""
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
            'version': 'v1',
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
        own = {
            'X-Request-Id': headers.get('X-Request-Id', ''),
            'X-Server-Load': f'{self.running},0,{SLOTS}',
        }
        if headers.get('X-Expect-Instance') != self.name:
            return web.Response(status=421, headers=own)
        _model, _, adapter = headers.get('X-Model', '').partition('/')
        if adapter and adapter not in self.adapters:
            return web.Response(status=421, headers=own)
        body = (await http.read()).decode()
        run = CIMultiDict(headers, body=body)
        self.request_headers.append(run)
        self.request_log.append(LoggedRequest(time.monotonic(), http.path, run))
        own['X-Server-Stamp'] = self.name
        if not adapter:
            return web.Response(body=http.path.encode(), headers=own)
        self.running += 1
        try:
            return await self._stream(http, own)
        finally:
            self.running -= 1

    async def _stream(
        self,
        http: web.Request,
        own: dict[str, str],
    ) -> web.StreamResponse:
        first = int(http.headers.get('Last-Event-Id', '0')) + 1
        own['Content-Type'] = 'text/event-stream'
        response = web.StreamResponse(headers=own)
        await response.prepare(http)
        for number in range(first, EVENTS + 1):
            if self.break_after is not None and number > self.break_after:
                self.break_after = None
                assert http.transport
                http.transport.abort()
                raise asyncio.CancelledError
            await asyncio.sleep(EVENT_S)
            await response.write(b'id: %d\ndata: e%d\n\n' % (number, number))
        await response.write_eof()
        return response


def put(url: str, body: object, method: str = 'PUT') -> int:
    """Send a document; return the status, 0 if there was no answer.

    A redirect is followed, as the platform's own callers do.
    """
    data = json.dumps(body).encode()
    for _hop in range(3):
        req = Request(url, data=data, method=method)
        req.add_header('Content-Type', 'application/json')
        try:
            with urlopen(req, timeout=2) as answer:
                return int(answer.status)
        except HTTPError as exc:
            where = exc.headers.get('Location')
            if not where:
                return exc.code
            url = where
        except OSError:
            return 0
    return 0
