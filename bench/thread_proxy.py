"""A thread-per-stream proxy, the baseline for the daemon's benchmark.

Built on cheroot and urllib3 alone; it only forwards requests.
"""

import argparse
from collections.abc import Callable, Iterable
from typing import Any, Final

import urllib3
from cheroot import wsgi

THREADS: Final = 640
READ_BYTES: Final = 65_536


class Proxy:
    """Forwards every request to one engine."""

    def __init__(self, engine: str) -> None:
        self._engine = engine
        self._pool = urllib3.PoolManager(maxsize=THREADS, retries=False)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], object],
    ) -> Iterable[bytes]:
        """Forward a request and stream the response."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        reply = self._pool.request(
            environ['REQUEST_METHOD'],
            f'http://{self._engine}{environ["PATH_INFO"]}',
            body=environ['wsgi.input'].read(length),
            preload_content=False,
        )
        media_type = reply.headers.get('Content-Type', '')
        start_response(f'{reply.status} OK', [('Content-Type', media_type)])
        return reply.stream(READ_BYTES)


def main() -> None:
    """Run the proxy until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--engine', required=True, help='host:port')
    options = parser.parse_args()
    server = wsgi.Server(
        ('127.0.0.1', options.port),
        Proxy(options.engine),
        numthreads=THREADS,
        max=THREADS,
        request_queue_size=THREADS,
    )
    server.safe_start()


if __name__ == '__main__':
    main()
