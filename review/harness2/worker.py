"""A stand-in worker: heartbeats, reports and answers of the users' pages.

It runs as a process of its own: ``python3 -m review.harness2.worker CONFIG``,
where the JSON document has ``name``, ``service``, ``address``, ``controls``,
``engine`` (whether it lists the model) and ``trouble``, the kind of trouble
that the worker is in, or an empty text. It writes one line for each run, and
one before it falls over.

A brittle worker of an application lets ``queue`` requests wait. It says that
it is brittle from ``brittle_from`` on, by the machine's steady clock, and may
fall over ``contactMs`` later.
"""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any, Final

from .cluster import BOUNDS, ZONE
from .http1 import call

HEARTBEAT_S: Final = 1.2
COLD_S: Final = 3.0
SLOTS: Final = 64
EVENTS: Final = 40
EVENT_S: Final = 0.05
PIECE: Final = b'x' * 60  # as many bytes as an event of the users' sheet has
OK: Final = 200
PIECES_PER_WRITE: Final = 256
MODEL: Final = 'm'
APP_SLOTS: Final = 6
SOUND_QUEUE: Final = 24
WINDOW_S: Final = 1.0  # in which rejections count
CONTACT_S: Final = BOUNDS['contactMs'] / 1000


class Application:
    """The slots and the queue of an application, and its trouble."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self._work_s: float = cfg.get('work_s', 0.0)
        self._queue: int = cfg.get('queue', SOUND_QUEUE)
        self._brittle_from: float = cfg.get('brittle_from', float('inf'))
        self._bears: int = cfg.get('bears', 0)  # rejections in a second
        self._slots = asyncio.Semaphore(APP_SLOTS)
        self._present = 0
        self._rejected: deque[float] = deque()

    @property
    def load(self) -> str:
        """Return the value of ``X-Server-Load``."""
        running = min(self._present, APP_SLOTS)
        return f'{running},{self._present - running},{APP_SLOTS}'

    @property
    def extra_head(self) -> str:
        """Return the header of a brittle worker, with its line end."""
        if time.monotonic() < self._brittle_from:
            return ''
        return f'Server-Brittle: {self._bears}\r\n'

    def has_room(self) -> bool:
        """Return whether one more request may run or wait."""
        queue = self._queue if self._may_fall() else SOUND_QUEUE
        return self._present < APP_SLOTS + queue

    def reject(self) -> None:
        """Count a rejection; the process ends if there were too many."""
        now = time.monotonic()
        self._rejected.append(now)
        while now - self._rejected[0] > WINDOW_S:
            self._rejected.popleft()
        if self._may_fall() and len(self._rejected) > self._bears:
            _write_line(falls=str(len(self._rejected)))
            os._exit(0)

    async def work(self) -> None:
        """Wait for a slot and work."""
        self._present += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._work_s)
        finally:
            self._present -= 1

    def _may_fall(self) -> bool:
        return time.monotonic() >= self._brittle_from + CONTACT_S


class Worker:
    """One incarnation of a worker."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self._cfg = cfg
        self._name: str = cfg['name']
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._app = Application(cfg)
        self._cold_at: list[float] = cfg.get('cold_at', [])

    async def run(self) -> None:
        """Serve requests and send heartbeats until the process ends."""
        host, _, port = self._cfg['address'].rpartition(':')
        await asyncio.start_server(self._serve, host, int(port))
        while True:
            await self._beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self) -> None:
        self._beats += 1
        for control in self._cfg['controls']:
            path = f'/instances/{self._name}'
            if await call(control, 'PUT', path, self._description()) == OK:
                return

    def _description(self) -> dict[str, Any]:
        return {
            'service': self._cfg['service'],
            'address': self._cfg['address'],
            'zone': self._cfg.get('zone', ZONE),
            'version': 'v1',
            'slots': SLOTS if self._cfg['engine'] else APP_SLOTS,
            'state': 'ready',
            'coldRemainingMs': self._cold_remaining_ms(),
            'sequence': self._beats,
            'born': self._born,
            'models': self._models(),
        }

    def _cold_remaining_ms(self) -> int:
        now = time.monotonic()
        left_s = [at + COLD_S - now for at in self._cold_at if at <= now]
        return int(max(0.0, *left_s) * 1000) if left_s else 0

    def _models(self) -> list[dict[str, Any]]:
        if not self._cfg['engine']:
            return []
        return [{'name': MODEL, 'version': 1, 'adapters': []}]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        errors = (OSError, asyncio.IncompleteReadError)
        with contextlib.suppress(*errors):
            while True:
                await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        _method, path, _version = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        length = int(headers.get('content-length', '0'))
        await reader.readexactly(length)
        if path == '/report':
            self._answer(writer, headers, json.dumps(self._report()).encode())
        elif headers.get('x-expect-instance') != self._name:
            writer.write(b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n')
            writer.write(f'X-Request-Id: {_id(headers)}\r\n\r\n'.encode())
        elif not self._app.has_room():
            self._reject(writer, headers)
        else:
            _write_line(run=_id(headers), path=path[:40])
            await self._run(path, headers, writer)
        await writer.drain()

    async def _run(
        self,
        path: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        if not self._cfg['engine']:
            await self._app.work()
            self._answer(writer, headers, path[:40].encode())
        elif self._cfg['trouble'] == 'endless':
            await self._stream_without_end(headers, writer)
        else:
            await self._stream(headers, writer)

    async def _stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self._stream_head(headers))
        first = int(headers.get('last-event-id', '0')) + 1
        events = self._cfg.get('events', EVENTS)
        for number in range(first, events + 1):
            await asyncio.sleep(self._cfg.get('event_s', EVENT_S))
            writer.write(_chunk(f'id: {number}\ndata: e{number}\n\n'.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    async def _stream_without_end(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Send bytes that are no event until the caller closes."""
        writer.write(self._stream_head(headers))
        pieces = _chunk(PIECE) * PIECES_PER_WRITE
        while True:
            writer.write(pieces)
            await writer.drain()

    def _stream_head(self, headers: dict[str, str]) -> bytes:
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {_id(headers)}\r\n'
            f'X-Server-Stamp: {self._name}\r\n'
            f'X-Server-Load: 1,0,{SLOTS}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()

    def _reject(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        """Turn a request away for want of room."""
        head = (
            'HTTP/1.1 503 Busy\r\n'
            f'X-Request-Id: {_id(headers)}\r\n'
            'X-Not-Executed: 1\r\n'
            f'X-Server-Load: {self._app.load}\r\n'
            f'{self._app.extra_head}'
            'Content-Length: 0\r\n\r\n'
        )
        writer.write(head.encode())
        self._app.reject()

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {_id(headers)}\r\n'
            f'X-Server-Stamp: {self._name}\r\n'
            f'X-Server-Load: {self._load}\r\n'
            f'{self._app.extra_head}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)

    @property
    def _load(self) -> str:
        return f'1,0,{SLOTS}' if self._cfg['engine'] else self._app.load

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'both',
            'models': self._models(),
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 90_000,
            'handles': 0,
        }


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


def _id(headers: dict[str, str]) -> str:
    return headers.get('x-request-id', '')


def _write_line(**fields: str) -> None:
    print(json.dumps({'at': round(time.time(), 3), **fields}), flush=True)


def main() -> None:
    """Run a worker until the process is ended."""
    cfg = json.loads(Path(sys.argv[1]).read_text(encoding='utf-8'))
    asyncio.run(Worker(cfg).run())


if __name__ == '__main__':
    main()
