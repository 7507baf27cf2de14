"""An engine that streams events, and that some prompt part may crash."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from . import http1
from .record import Record
from .worker import ERRORS, Arrival, Worker

MODEL: Final = 'model'
EVENTS: Final = 5
EVENT_S: Final = 0.02
PREFILL_S: Final = 0.03


class CrashedError(Exception):
    """The engine's process has ended."""


class Engine(Worker):
    """A target that holds the base model and answers with a stream.

    ``fails`` decides whether a request is answered with 500, as an engine in
    trouble does, and ``is_deadly`` whether one crashes the engine, by the
    parts of its prompt. ``on_crash`` is called when it has.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        port: int,
        record: Record,
        on_crash: Callable[['Engine', str], None],
    ) -> None:
        super().__init__(name, 'engines', zone, port, record)
        self.zone = zone
        self.port = port
        self.fails: Callable[[], bool] = lambda: False
        self.is_deadly: Callable[[str], bool] = lambda _prefix: False
        self.crashes_after_event = False
        self._on_crash = on_crash

    def describe(self) -> dict[str, Any]:
        """Return what the engine says of itself."""
        models = [{'name': MODEL, 'version': 1, 'adapters': []}]
        return {**super().describe(), 'models': models}

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(*ERRORS, CrashedError):
            while True:
                request = await http1.read_message(reader, is_response=False)
                await self._respond(request, writer)

    async def _respond(
        self, request: http1.Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.start.startswith('GET /report '):
            writer.write(self._report())
            return
        refusal = self.refuse_other(request)
        if refusal:
            writer.write(refusal)
            return
        request_id = request.headers.get('x-request-id', '')
        prefix = request.headers.get('x-prompt-prefix', '')
        is_deadly = self.is_deadly(prefix)
        note = 'with the deadly part' if is_deadly else ''
        self.arrivals.append(Arrival(self.record.now(), request_id))
        self.record.write(f'{self.name} gets {request_id} {note}')
        await asyncio.sleep(PREFILL_S)
        if self.has_ended:
            raise CrashedError
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'{self.name}.{request_id}',
        }
        if self.fails():
            self.record.write(f'{self.name} answers 500 to {request_id}')
            start = 'HTTP/1.1 500 Internal Server Error'
            writer.write(http1.encode(start, headers))
        elif is_deadly:
            if self.crashes_after_event:
                await _stream(headers, writer, _first_event(request), 1)
            if not self.has_ended:
                self._on_crash(self, request_id)
            raise CrashedError
        else:
            await _stream(headers, writer, _first_event(request), EVENTS)
            writer.write(b'0\r\n\r\n')

    def _report(self) -> bytes:
        return http1.encode_json(
            {
                'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': 0,
            }
        )


def _first_event(request: http1.Message) -> int:
    return int(request.headers.get('last-event-id') or 0) + 1


async def _stream(
    headers: dict[str, str],
    writer: asyncio.StreamWriter,
    first: int,
    last: int,
) -> None:
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines.append('Transfer-Encoding: chunked')
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1'))
    for number in range(first, max(first, last) + 1):
        event = f'id: {number}\ndata: event {number}\n\n'.encode()
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
