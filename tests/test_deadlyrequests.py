"""Tests of whole requests that crash targets, whatever their prompt holds."""

import asyncio
from typing import NamedTuple

import pytest
from lovagemast_core.deployment import CallKind, DeploymentIndex
from lovagemast_core.quarantine import QuarantineState, TargetCrash
from lovagemast_core.quarantine._state import record_crash

from tests.crashingtarget import STREAM, CrashingTarget
from tests.test_calls import make_index
from tests.test_promptcheck import EntryVm

DEADLY_PATH = b'/x/deadly'
BODY_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 1\r\n\r\nx'
)
NOT_RUN = 503
FAILED = 502


def make_target(answer: bytes = BODY_ANSWER) -> CrashingTarget:
    """Return a target that crashes on requests for one path."""
    return CrashingTarget(deadly=DEADLY_PATH, answer=answer)


class Case(NamedTuple):
    """A kind of route, and a request on it."""

    kind: CallKind
    resumable: bool
    method: bytes
    body: bytes = b''
    prompt: bytes = b''  # its parts; the last one belongs to the request


CASES = {
    'safe': Case(CallKind.SAFE, False, b'GET'),
    'unsafe': Case(CallKind.UNSAFE, False, b'POST', b'{"item": 1}'),
    'stream': Case(CallKind.STREAM, False, b'POST', b'{"q": 1}'),
    'resumable': Case(CallKind.STREAM, True, b'POST', b'{"q": 1}'),
    'own-part': Case(CallKind.STREAM, True, b'POST', b'{"q": 1}', b'own:1'),
}


def encode(case: Case, path: bytes, request_id: bytes, key: bytes) -> bytes:
    """Return a request as a client sends it."""
    return (
        b'%b %b HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n'
        b'X-Deadline-Ms: 900\r\nAuthorization: Bearer %b\r\n'
        b'X-Prompt-Prefix: %b\r\nContent-Length: %d\r\n\r\n%b'
    ) % (
        case.method,
        path,
        request_id,
        key,
        case.prompt,
        len(case.body),
        case.body,
    )


async def start_vm(case: Case, *targets: CrashingTarget) -> EntryVm:
    """Return an entry VM with a route of the case's kind."""
    vm = EntryVm()
    await vm.serve(*targets)
    deployment = make_index(case.kind, resumable=case.resumable).deployment
    account = deployment.accounts[0]
    other = account._replace(name='other', keys=('k2',))
    deployment = deployment._replace(accounts=(account, other))
    vm.state.view.index = DeploymentIndex(deployment)
    return vm


async def implicated_by(
    case: Case, request_id: bytes = b'r1', key: bytes = b'k1'
) -> tuple[TargetCrash, ...]:
    """Return what one deadly request implicates at its first crash."""
    vm = await start_vm(case, make_target())
    await vm.send(encode(case, DEADLY_PATH, request_id, key))
    return vm.implicated()


@pytest.mark.parametrize('name', CASES)
def test_deadly_whole_request_is_reported(name: str) -> None:
    """A crash implicates the request, whatever kind of route it is on."""
    crashes = asyncio.run(implicated_by(CASES[name]))
    assert len(crashes) == 1
    assert crashes[0].subjects


@pytest.mark.parametrize('name', CASES)
def test_repeat_of_a_deadly_request_is_recognised(name: str) -> None:
    """A repeat has another id; other accounts and bodies are other requests."""
    case = CASES[name]

    async def play() -> list[tuple[str, ...]]:
        crashes = [
            await implicated_by(case),
            await implicated_by(case, b'r2'),
            await implicated_by(case, key=b'k2'),
            await implicated_by(case._replace(body=b'other')),
        ]
        return [one[0].subjects for one in crashes]

    first, repeat, other_account, other_body = asyncio.run(play())
    assert first == repeat
    assert not set(first) & set(other_account)
    assert not set(first) & set(other_body)


@pytest.mark.parametrize('name', CASES)
def test_deadly_attempts_are_not_repeated_at_once(
    name: str,
) -> None:
    """After the first crash, no second target gets it before a trial."""
    case = CASES[name]
    targets = [make_target() for _number in range(4)]

    async def play() -> list[int]:
        vm = await start_vm(case, *targets)
        first = await vm.send(encode(case, DEADLY_PATH, b'r1', b'k1'))
        for crash in vm.implicated():
            vm.quarantine(record_crash(QuarantineState(), crash))
        second = await vm.send(encode(case, DEADLY_PATH, b'r2', b'k1'))
        return [first, second]

    statuses = asyncio.run(play())
    assert sum(target.requests for target in targets) == 1
    assert statuses == [FAILED, NOT_RUN]


@pytest.mark.parametrize('name', CASES)
def test_sound_request_beside_a_deadly_one_is_served(name: str) -> None:
    """Another path of the same account and route is not held back."""
    case = CASES[name]
    answer = STREAM if case.kind is CallKind.STREAM else BODY_ANSWER

    async def play() -> int:
        vm = await start_vm(case, make_target(answer), make_target(answer))
        await vm.send(encode(case, DEADLY_PATH, b'r1', b'k1'))
        return await vm.send(encode(case, b'/x/sound', b'r2', b'k1'))

    assert asyncio.run(play()) == 200
