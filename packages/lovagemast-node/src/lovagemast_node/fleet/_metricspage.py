"""The page of a process's metrics, in the Prometheus format."""

from typing import Final

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from ..http import (
    READ_ONLY_LIMITS,
    HttpRequest,
    HttpServer,
    Responder,
    split_address,
)
from ._connectionlimits import ConnectionLimits
from ._jsonlog import JsonLog

OK: Final = 200


class MetricsPage:
    """Serves a metrics registry in the Prometheus format, at any path."""

    def __init__(
        self,
        registry: CollectorRegistry,
        log: JsonLog,
        limits: ConnectionLimits,
    ) -> None:
        self._registry = registry
        self._log = log
        self._server = HttpServer(
            self._serve,
            READ_ONLY_LIMITS,
            self._on_error,
            limits.bodies,
            limits.table,
        )
        self._server.on_unread = limits.on_unread

    async def listen(self, address: str) -> None:
        """Listen on an address; an error is logged and not raised."""
        if not address:
            return
        try:
            await self._server.listen(*split_address(address))
        except OSError as exc:
            self._log.write(
                'metrics',
                'cannot listen on the metrics address',
                cause=repr(exc),
            )

    async def _serve(self, req: HttpRequest, responder: Responder) -> None:
        headers = ((b'Content-Type', CONTENT_TYPE_LATEST.encode()),)
        await responder.send(OK, headers, generate_latest(self._registry))

    def _on_error(self) -> None:
        self._log.write('metrics', 'unhandled error in an HTTP handler')
