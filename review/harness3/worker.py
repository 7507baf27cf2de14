"""A model worker on raw sockets, which keeps to the users' pages.

Arguments: name, port, control addresses with commas, file with the cut. The
file is JSON: ``closed`` (nothing listens) and ``pids`` of the processes whose
channels are reset, as on a front that is partitioned from all workers. Each
request that begins is written to standard output.
"""

import asyncio
import json
import os
import socket
import struct
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

EVENTS = 42
EVENT_S = 0.22
BEAT_S = 0.8
SLOTS = 64
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def socket_inodes(pid: int) -> set[str]:
    """Return the sockets that a process holds."""
    found = set()
    try:
        for name in os.listdir(f'/proc/{pid}/fd'):
            try:
                link = os.readlink(f'/proc/{pid}/fd/{name}')
            except OSError:
                continue
            if link.startswith('socket:['):
                found.add(link[8:-1])
    except OSError:
        return found
    return found


def inode_of(local: tuple[str, int], remote: tuple[str, int]) -> str:
    """Return the socket between two addresses, as the kernel lists it."""
    wanted = f' {_listed(local)} {_listed(remote)} '
    for line in Path('/proc/net/tcp').read_text().splitlines():
        if wanted in line:
            return line.split()[9]
    return ''


def _listed(address: tuple[str, int]) -> str:
    packed = struct.unpack('<I', socket.inet_aton(address[0]))[0]
    return f'{packed:08X}:{address[1]:04X}'


class Worker:
    """Serves streams, status reports and nothing else."""

    def __init__(self, name: str, port: int, control: str, cut: str) -> None:
        """Store what it is told; it starts with the base model only."""
        self.name = name
        self.port = port
        self.control = control.split(',')
        self.cut_path = Path(cut)
        self.cut: dict[str, Any] = {'closed': False, 'pids': []}
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.running = 0
        self.server: asyncio.Server | None = None

    async def run(self) -> None:
        """Serve until killed."""
        task = asyncio.create_task(self._beat_forever())
        while not task.done():
            self._read_cut()
            if self.cut['closed'] and self.server:
                self.server.close()
                self.server = None
            elif not self.cut['closed'] and self.server is None:
                self.server = await asyncio.start_server(
                    self._serve, '127.0.0.1', self.port, reuse_address=True
                )
            await asyncio.sleep(0.02)

    def _read_cut(self) -> None:
        try:
            self.cut = json.loads(self.cut_path.read_text())
        except (OSError, ValueError):
            return

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.to_thread(self._beat)
            await asyncio.sleep(BEAT_S)

    def _beat(self) -> None:
        self.beats += 1
        body = {
            'service': 'lm',
            'address': f'127.0.0.1:{self.port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': self.beats,
            'born': self.born,
            'models': self._models(),
        }
        for control in self.control:
            url = f'http://{control}/instances/{self.name}'
            for _redirect in range(2):
                request = urllib.request.Request(
                    url, data=json.dumps(body).encode(), method='PUT'
                )
                try:
                    with urllib.request.urlopen(request, timeout=1):
                        return
                except urllib.error.HTTPError as exc:
                    url = exc.headers.get('Location') or url
                except OSError:
                    break

    def _models(self) -> list[dict[str, Any]]:
        return [{'name': 'm', 'version': 1, 'adapters': []}]

    def _is_cut(self, writer: asyncio.StreamWriter) -> bool:
        if not self.cut['pids']:
            return False
        inode = inode_of(
            writer.get_extra_info('peername'),
            writer.get_extra_info('sockname'),
        )
        return any(inode in socket_inodes(pid) for pid in self.cut['pids'])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_cut(writer):
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            return
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        length = int(headers.get('content-length', '0'))
        while length:
            length -= len(await reader.readexactly(min(65_536, length)))
        if first.startswith('GET /report '):
            report = {
                'stage': 'both',
                'models': self._models(),
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': self.running,
            }
            await self._send(writer, '200 OK', (), json.dumps(report).encode())
            return
        request_id = headers.get('x-request-id', '')
        if headers.get('x-expect-instance') != self.name:
            fields = (f'X-Request-Id: {request_id}', 'X-Not-Executed: 1')
            await self._send(writer, '421 Other', fields, b'')
            return
        sys.stdout.write(f'{request_id} {time.monotonic():.3f}\n')
        sys.stdout.flush()
        self.running += 1
        try:
            await self._stream(writer, request_id)
        finally:
            self.running -= 1

    async def _stream(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        lines = (
            'HTTP/1.1 200 OK',
            f'X-Request-Id: {request_id}',
            f'X-Server-Stamp: {self.name}.{request_id}',
            f'X-Server-Load: {self.running},0,{SLOTS}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: {request_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        fields: tuple[str, ...],
        body: bytes,
    ) -> None:
        lines = (
            f'HTTP/1.1 {status}',
            *fields,
            f'Content-Length: {len(body)}',
        )
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        await writer.drain()


if __name__ == '__main__':
    asyncio.run(Worker(sys.argv[1], int(sys.argv[2]), *sys.argv[3:5]).run())
