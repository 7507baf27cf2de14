"""Tests of the client for the infrastructure, against a stand-in."""

import asyncio
import time
import tracemalloc

import pytest
from lovagemast_core.duties import (
    AccountCount,
    CallDone,
    CallResult,
    DutyConfig,
    HandedCall,
    ScaleOrder,
    UsageReport,
)
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import CloudSettings
from lovagemast_node.fleet._infrastructure import InfrastructureClient
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_platform._control import PlatformControlCodec

from standins.infrastructure import Mood, StandInInfrastructure
from tests.conftest import free_port

REPORT = UsageReport(
    353_445_120, (AccountCount('acme', 412), AccountCount('globex', 412))
)
USAGE = HandedCall(1, 12, 3, 0.0, 0.3, usage=REPORT)
SCALE = HandedCall(2, 12, 3, 0.0, 0.3, scale=ScaleOrder('chat', 'zone-a', 6))
NAME = 'core-zone-a-1'
MAX_MEMORY_BYTES = 8 * 1_048_576


def client_of(port: int) -> InfrastructureClient:
    """Return a client of an infrastructure on loopback."""
    duties = DutyConfig(has_metering=True, has_scaling=True)
    cloud = CloudSettings(f'127.0.0.1:{port}', duties)
    codec = PlatformControlCodec()
    return InfrastructureClient(cloud, NAME, codec, JsonLog('c1'))


async def send(
    mood: Mood, *handed: HandedCall
) -> tuple[StandInInfrastructure, list[CallDone]]:
    """Send calls to a stand-in and return it with their outcomes."""
    cloud = StandInInfrastructure()
    cloud.mood = mood
    client = client_of(await cloud.start())
    done = [await client.send(one, now_s() + 1.0) for one in handed]
    cloud.stop()
    return cloud, done


def test_calls_as_the_platform_names_them() -> None:
    """The headers and documents are those of the platform's interface."""
    cloud, done = asyncio.run(send(Mood.OK, USAGE, SCALE, USAGE))
    assert {one.result for one in done} == {CallResult.CONFIRMED}
    assert done[0][:2] == (1, 3)
    first, second, repeated = cloud.calls
    assert (first.path, first.holder, first.token) == ('/usage', NAME, 12)
    assert first.document == {
        'window': 353_445_120,
        'counts': {'acme': 412, 'globex': 412},
    }
    assert second.path == '/scale'
    assert second.document == {
        'service': 'chat',
        'zone': 'zone-a',
        'desiredCount': 6,
    }
    assert repeated.document == first.document
    assert not cloud.violations(3.0)


@pytest.mark.parametrize(
    ('mood', 'result'),
    [
        (Mood.BUSY, CallResult.BUSY),
        (Mood.FAILED, CallResult.BUSY),
        (Mood.REFUSED, CallResult.REJECTED),
        (Mood.SILENT, CallResult.SILENT),
        (Mood.LOST, CallResult.SILENT),
        (Mood.GARBAGE, CallResult.REJECTED),
        (Mood.ENDLESS, CallResult.REJECTED),
    ],
)
def test_other_responses(mood: Mood, result: CallResult) -> None:
    """Each has its own result, in time and within a bounded memory."""
    tracemalloc.start()
    started_at = time.monotonic()
    _cloud, done = asyncio.run(send(mood, USAGE))
    _now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert done[0].result is result
    assert peak < MAX_MEMORY_BYTES
    assert time.monotonic() - started_at < 2.0


def test_nothing_listens() -> None:
    """A call that could not be sent is told from one without an answer."""
    client = client_of(free_port())
    done = asyncio.run(client.send(USAGE, now_s() + 1.0))
    assert done.result is CallResult.UNREACHABLE


def test_too_late_to_be_sent() -> None:
    """A holder that was frozen before it sent a call sends nothing."""

    async def play() -> tuple[StandInInfrastructure, CallDone]:
        cloud = StandInInfrastructure()
        client = client_of(await cloud.start())
        done = await client.send(USAGE, now_s() - 0.1)
        await asyncio.sleep(0.05)
        cloud.stop()
        return cloud, done

    cloud, done = asyncio.run(play())
    assert done.result is CallResult.NOT_SENT
    assert not cloud.calls


def test_call_of_an_unknown_kind() -> None:
    """The leader learns of a call that this build cannot send."""
    client = client_of(free_port())
    odd = USAGE._replace(usage=None)
    done = asyncio.run(client.send(odd, now_s() + 1.0))
    assert done.result is CallResult.REJECTED
