"""A sound target: registers itself, and answers each request in a moment."""

import asyncio
import contextlib
import json
import time
from typing import Any, Final, NamedTuple

from . import http1
from .record import Record

HEARTBEAT_S: Final = 1.2
HEARTBEAT_TIMEOUT_S: Final = 1.0
WORK_S: Final = 0.02
SLOTS: Final = 32
ERRORS: Final = (OSError, asyncio.IncompleteReadError, ValueError)


class Arrival(NamedTuple):
    """A request that reached the target."""

    at: float  # s since the start of the run
    request_id: str


class Worker:
    """A target of a service without models."""

    def __init__(
        self, name: str, service: str, zone: str, port: int, record: Record
    ) -> None:
        self.name = name
        self.arrivals: list[Arrival] = []
        self.work_s = WORK_S
        self.has_ended = False
        self.is_cut_from_control = False  # sends no heartbeats then
        self._service = service
        self._zone = zone
        self._port = port
        self.record = record
        self._beats = 0
        self._born = int(time.time() * 1000)
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, controls: list[str]) -> None:
        """Listen, and send heartbeats to the control machines."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        self._tasks.append(asyncio.create_task(self._send_beats(controls)))

    async def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        self.end()
        await asyncio.sleep(0)

    def end(self) -> None:
        """End at once, as a process does that is killed."""
        self.has_ended = True
        for task in self._tasks:
            task.cancel()
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _send_beats(self, controls: list[str]) -> None:
        while True:
            if not self.is_cut_from_control:
                await self._beat(controls)
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self, controls: list[str]) -> None:
        await self.call_control('PUT', controls, self.next_beat())

    def next_beat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._beats += 1
        return json.dumps(self.describe()).encode()

    async def call_control(
        self, method: str, controls: list[str], body: bytes = b''
    ) -> float | None:
        """Call one control machine after the other about this target.

        Return when one of them acknowledged the call, in s.
        """
        path = f'/instances/{self.name}'
        for address in controls:
            response = await http1.call(
                address, method, path, body=body, timeout_s=HEARTBEAT_TIMEOUT_S
            )
            if response and response.status // 100 == 2:
                return self.record.now()
        return None

    def describe(self) -> dict[str, Any]:
        """Return what the target says of itself."""
        return {
            'service': self._service,
            'address': f'127.0.0.1:{self._port}',
            'zone': self._zone,
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self._beats,
            'born': self._born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        await self.serve_connection(reader, writer)
        writer.close()
        self._writers.discard(writer)

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(*ERRORS):
            while True:
                request = await http1.read_message(reader, is_response=False)
                writer.write(await self._answer(request))
                await writer.drain()

    def refuse_other(self, request: http1.Message) -> bytes | None:
        """Return the refusal of a request that expects another target."""
        expected = request.headers.get('x-expect-instance', self.name)
        if expected == self.name:
            return None
        request_id = request.headers.get('x-request-id', '')
        headers = {'X-Request-Id': request_id, 'X-Instance-Id': self.name}
        return http1.encode('HTTP/1.1 421 Misdirected', headers)

    async def _answer(self, request: http1.Message) -> bytes:
        refusal = self.refuse_other(request)
        if refusal:
            return refusal
        request_id = request.headers.get('x-request-id', '')
        echoed = {'X-Request-Id': request_id, 'X-Instance-Id': self.name}
        if request.start.startswith('GET /health '):
            return http1.encode('HTTP/1.1 200 OK', echoed)
        self.arrivals.append(Arrival(self.record.now(), request_id))
        return await self.run(request_id, echoed)

    async def run(self, request_id: str, echoed: dict[str, str]) -> bytes:
        """Run a request and return the response."""
        self.record.write(f'{self.name} ({self._zone}) runs {request_id}')
        await asyncio.sleep(self.work_s)
        echoed['X-Server-Stamp'] = f'{self.name}.{request_id}'
        return http1.encode('HTTP/1.1 200 OK', echoed, b'done')
