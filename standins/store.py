"""A stand-in weight store with a limited rate and limited bandwidth."""

import argparse
import asyncio
import contextlib
import time
from typing import Final

from aiohttp import web

LOAD_S: Final = 0.25  # at full speed
LOADS_AT_FULL_SPEED: Final = 8


class WeightStore:
    """Serves weights at a limited rate.

    More than ``LOADS_AT_FULL_SPEED`` concurrent loads slow down in
    proportion to their number.
    """

    def __init__(self, loads_per_s: float) -> None:
        self._interval_s = 1 / loads_per_s
        self._next_start_at = 0.0
        self.in_flight = 0
        self.peak = 0
        self.loads: list[str] = []

    async def load(self, req: web.Request) -> web.Response:
        """Serve the weights of an adapter version."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        now = time.monotonic()
        start = max(now, self._next_start_at)
        self._next_start_at = start + self._interval_s
        slowdown = max(1.0, self.in_flight / LOADS_AT_FULL_SPEED)
        try:
            await asyncio.sleep(start - now + LOAD_S * slowdown)
        finally:
            self.in_flight -= 1
        self.loads.append(req.match_info['label'])
        return web.Response(text='weights')

    async def show(self, req: web.Request) -> web.Response:
        """Return the finished loads and the peak of concurrent ones."""
        return web.json_response({'loads': self.loads, 'peak': self.peak})


async def serve(port: int, loads_per_s: float) -> None:
    """Serve until cancelled."""
    store = WeightStore(loads_per_s)
    app = web.Application()
    app.router.add_get('/weights/{label}', store.load)
    app.router.add_get('/standin', store.show)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run a weight store from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--loads-per-s', type=float, default=4.0)
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(options.port, options.loads_per_s))


if __name__ == '__main__':
    main()
