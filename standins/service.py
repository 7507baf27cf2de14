"""A stand-in plain service that records every call."""

import argparse
import asyncio
import contextlib
from typing import Any, Final

from aiohttp import web

from .announcer import Announcer

WORK_S: Final = 0.01  # per call


class Service:
    """A ledger, in which a request that runs twice shows as two postings."""

    def __init__(self) -> None:
        self.postings: list[str] = []
        self.headers: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get('/healthz', self.health)
        app.router.add_get('/standin', self.show)
        app.router.add_post('/standin', self.set_faults)
        app.router.add_route('*', '/{path:.*}', self.call)
        return app

    async def health(self, req: web.Request) -> web.Response:
        """Answer a health check."""
        return web.Response(text='ok')

    async def show(self, req: web.Request) -> web.Response:
        """Return the postings and the headers of all calls."""
        return web.json_response(
            {'postings': self.postings, 'headers': self.headers},
        )

    async def set_faults(self, req: web.Request) -> web.Response:
        """Set faults."""
        self.faults.update(await req.json())
        return web.json_response(self.faults)

    async def call(self, req: web.Request) -> web.Response:
        """Run a call and record it."""
        body = await req.text()
        if req.method == 'POST':
            self.postings.append(body)
        self.headers.append(dict(req.headers))
        await asyncio.sleep(self.faults.get('work_s', WORK_S))
        if self.faults.get('break_after') and req.transport:
            req.transport.abort()
        return web.json_response({'path': req.path, 'body': body})


async def serve(options: argparse.Namespace) -> None:
    """Serve requests and register periodically until cancelled."""
    runner = web.AppRunner(Service().app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', options.port).start()
    await Announcer.from_options(options, lambda: 'service').run()


def main() -> None:
    """Run a service from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    Announcer.add_options(parser)
    parser.add_argument('--max-in-flight', type=int, default=64)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
