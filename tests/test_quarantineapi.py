"""Tests of listing and clearing quarantined parts, as operators do it."""

import asyncio
import json
from typing import Any

import pytest
from lovagemast_cli import main
from lovagemast_core import Applied, Unavailable
from lovagemast_core.quarantine import (
    ClearSubjects,
    QuarantineState,
    SubjectRecord,
)
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._quarantineapi import PATH, ApiReply, QuarantineApi
from lovagemast_node.http import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerLimits,
)

HOST = '127.0.0.1'
CRASHES = ('t1#1', 't2#1', 't3#1')
STATE = QuarantineState(
    4,
    (
        SubjectRecord('ab', CRASHES, CRASHES[:1]),
        SubjectRecord('cd', CRASHES[:1]),
    ),
)


class ApiFixture:
    """A quarantine API whose commands have a given outcome."""

    def __init__(self, outcome: object = Applied(1)) -> None:
        self.proposed: list[ClearSubjects] = []
        self._outcome = outcome
        self.api = QuarantineApi(lambda: STATE, self._propose, JsonLog('c1'))

    def call(self, method: str, body: bytes = b'') -> ApiReply:
        """Return the reply to a call."""
        req = HttpRequest(method, PATH, (), body)
        return asyncio.run(self.api.serve(req))

    async def _propose(self, command: ClearSubjects) -> object:
        self.proposed.append(command)
        return self._outcome


def test_lists_parts_with_their_crashes() -> None:
    """The list tells suspects from quarantined parts."""
    reply = ApiFixture().call('GET')
    parts = reply.document['parts']
    assert [part['status'] for part in parts] == ['quarantined', 'suspected']
    assert list(parts[0]['crashes']) == list(CRASHES)


@pytest.mark.parametrize(
    ('method', 'body', 'outcome', 'status', 'proposals'),
    [
        ('POST', {'clear': 'AB'}, Applied(1), 200, 1),
        ('POST', {'clear': 'ab'}, Unavailable('no leader'), 503, 1),
        ('POST', {'clear': 'none'}, Applied(1), 404, 0),
        ('POST', {'other': 'ab'}, Applied(1), 400, 0),
        ('POST', ['ab'], Applied(1), 400, 0),
        ('DELETE', {'clear': 'ab'}, Applied(1), 405, 0),
    ],
)
def test_clear(
    method: str, body: Any, outcome: object, status: int, proposals: int
) -> None:
    """A part is cleared once a quorum has it."""
    fixture = ApiFixture(outcome)
    reply = fixture.call(method, json.dumps(body).encode())
    assert reply.status == status
    assert fixture.proposed == [ClearSubjects(('ab',))] * proposals


@pytest.mark.parametrize(
    ('arguments', 'status', 'text'),
    [
        ([], 0, 'quarantined'),
        (['--clear', 'cd'], 0, 'part cd: cleared'),
        (['--clear', 'no'], 1, 'no suspected part no'),
    ],
)
def test_command(
    arguments: list[str],
    status: int,
    text: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """``lovagectl quarantine`` lists and clears parts over HTTP."""
    fixture = ApiFixture()

    async def serve(req: HttpRequest, responder: Responder) -> None:
        reply = await fixture.api.serve(req)
        body = json.dumps(reply.document).encode()
        await responder.send(reply.status, (), body)

    async def play() -> int:
        server = HttpServer(serve, ServerLimits(), lambda: None)
        await server.listen(HOST, 0)
        assert server._listener
        port = server._listener.sockets[0].getsockname()[1]
        command = ['--vm', f'{HOST}:{port}', 'quarantine', *arguments]
        return await asyncio.to_thread(main, command)

    assert asyncio.run(play()) == status
    printed = capsys.readouterr()
    assert text in printed.out + printed.err
