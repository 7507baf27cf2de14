"""A stand-in for the infrastructure that takes usage reports and orders.

It checks the rules that each call has to keep to, and may be told to misbehave.
"""

import asyncio
import contextlib
import json
import time
from collections import defaultdict
from enum import Enum
from itertools import groupby
from typing import Any, Final, NamedTuple

RATE_WINDOW_S: Final = 1.0
FLOOD: Final = b'x' * 65_536


class Mood(Enum):
    """How calls are answered."""

    OK = 'ok'
    BUSY = 'busy'  # 429
    FAILED = 'failed'  # 503
    REFUSED = 'refused'  # 400
    SILENT = 'silent'  # takes a call, and does not answer
    LOST = 'lost'  # takes a call, and closes the connection
    GARBAGE = 'garbage'  # answers no HTTP
    ENDLESS = 'endless'  # a body without end


class CloudCall(NamedTuple):
    """A call as received; ``at`` is a reading of the monotonic clock, in s."""

    at: float
    peer: str  # IP address of the sender
    path: str
    holder: str
    token: int
    document: dict[str, Any]
    accepted: bool

    @property
    def subject(self) -> tuple[str, str]:
        """Return what the fencing token refers to."""
        if self.path == '/usage':
            return 'usage', ''
        return str(self.document['service']), str(self.document['zone'])


class StandInInfrastructure:
    """Listens on one address and remembers all calls."""

    def __init__(self, calls_per_s: float = 50.0) -> None:
        self.mood = Mood.OK
        self.calls: list[CloudCall] = []
        self.malformed: list[str] = []
        self._calls_per_s = calls_per_s
        self._server: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Close the listener."""
        if self._server:
            self._server.close()

    def reports(self) -> dict[int, dict[str, int]]:
        """Return the accepted counts by window; the first of each."""
        found: dict[int, dict[str, int]] = {}
        for call in self.calls:
            if call.accepted and call.path == '/usage':
                document = call.document
                found.setdefault(document['window'], document['counts'])
        return found

    def violations(self, lease_s: float) -> list[str]:
        """Return a description of each rule that a call has broken."""
        by_subject: dict[tuple[str, str], list[CloudCall]] = defaultdict(list)
        for call in self.calls:
            by_subject[call.subject].append(call)
        found = [f'malformed call: {one}' for one in self.malformed]
        for calls in by_subject.values():
            found.extend(_check_tokens(calls))
            found.extend(_check_alternation(calls, lease_s))
        found.extend(self._check_counts())
        return found

    def _check_counts(self) -> list[str]:
        first = self.reports()
        return [
            f'other counts for one window: {call}'
            for call in self.calls
            if call.accepted
            and call.path == '/usage'
            and call.document['counts'] != first[call.document['window']]
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                call = await self._read(reader, writer)
                await self._answer(call, writer)
        writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> CloudCall:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        headers = _headers_of(head)
        body = await reader.readexactly(int(headers['content-length']))
        call = CloudCall(
            time.monotonic(),
            writer.get_extra_info('peername')[0],
            head.split()[1],
            headers.get('x-duty-holder', ''),
            int(headers.get('x-fencing-token', '-1')),
            json.loads(body),
            accepted=self._accepts(),
        )
        if not call.holder or call.token < 0 or not _is_proper(call):
            self.malformed.append(f'{head} {body!r}')
        self.calls.append(call)
        return call

    def _accepts(self) -> bool:
        now = time.monotonic()
        recent = sum(now - one.at < RATE_WINDOW_S for one in self.calls)
        takes = self.mood in {Mood.OK, Mood.SILENT, Mood.LOST}
        return takes and recent < self._calls_per_s

    async def _answer(
        self, call: CloudCall, writer: asyncio.StreamWriter
    ) -> None:
        match self.mood:
            case Mood.OK:
                status = b'200 OK' if call.accepted else b'429 Too Many'
                writer.write(_response(status))
            case Mood.BUSY:
                writer.write(_response(b'429 Too Many'))
            case Mood.FAILED:
                writer.write(_response(b'503 No'))
            case Mood.REFUSED:
                writer.write(_response(b'400 Bad'))
            case Mood.GARBAGE:
                writer.write(b'SSH-2.0-stand-in\r\n')
            case Mood.LOST:
                raise ConnectionResetError
            case Mood.ENDLESS:
                await _flood(writer)
            case Mood.SILENT:
                return
        await writer.drain()


def _headers_of(head: str) -> dict[str, str]:
    fields = [line.partition(':') for line in head.strip().split('\r\n')[1:]]
    return {name.lower(): value.strip() for name, _, value in fields}


def _response(status: bytes) -> bytes:
    return b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % status


async def _flood(writer: asyncio.StreamWriter) -> None:
    writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
    while True:
        writer.write(b'%x\r\n%b\r\n' % (len(FLOOD), FLOOD))
        await writer.drain()


def _is_proper(call: CloudCall) -> bool:
    kinds: dict[str, type]
    if call.path == '/usage':
        kinds = {'window': int, 'counts': dict}
    elif call.path == '/scale':
        kinds = {'service': str, 'zone': str, 'desiredCount': int}
    else:
        return False
    document = call.document
    return document.keys() == kinds.keys() and all(
        isinstance(document[name], kind) for name, kind in kinds.items()
    )


def _check_tokens(calls: list[CloudCall]) -> list[str]:
    found = []
    holders: dict[int, str] = {}
    highest = 0
    for call in calls:
        if call.token < highest:
            found.append(f'lower fencing token: {call}')
        highest = max(highest, call.token)
        if holders.setdefault(call.token, call.peer) != call.peer:
            found.append(f'fencing token of another holder: {call}')
    return found


def _check_alternation(calls: list[CloudCall], lease_s: float) -> list[str]:
    runs = [
        (peer, list(run))
        for peer, run in groupby(calls, key=lambda one: one.peer)
    ]
    return [
        f'a holder that returns: {run[-1]} {later[0]}'
        for index, (peer, run) in enumerate(runs)
        for other, later in runs[index + 2 :]
        if other == peer and later[0].at - run[-1].at < lease_s
    ]
