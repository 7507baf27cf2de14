"""Which pool and software version may go on with a stream."""

import asyncio
from typing import Final

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.deployment import (
    AccountSpec,
    CallKind,
    Deployment,
    DeploymentIndex,
    PoolSpec,
    RouteSpec,
    Split,
)
from lovagemast_core.streams import (
    FoundStream,
    PoolSoftware,
    StreamOrigin,
    StreamStart,
    stream_key,
)
from lovagemast_core.targets import SyncReply, TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._admitted import AdmittedRequest
from lovagemast_node.fleet._codec import RequestMetadata
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.fleet._jsonlog import JsonLog
from lovagemast_node.fleet._refusal import HttpRefusal
from lovagemast_node.fleet._streamcontinuity import (
    GONE_CODE,
    UNKNOWN_CODE,
    StreamContinuity,
)
from lovagemast_node.http import HttpRequest
from lovagemast_platform._entry import PlatformEntryCodec

from tests.test_calls import CFG

ACCOUNT: Final = AccountSpec('acme', ('k',), None, 0.0, 0.0, False, 1.0)
POOLS: Final = tuple(
    PoolSpec(name, '/health', 100, 0.0, 0.0) for name in ('p', 'q', 'r')
)
KEY: Final = stream_key('acme', 'first')
ONE: Final = ('p',)
TWO: Final = ('p', 'q')


def make_state(*versions: str, age_s: float = 0.0) -> EntryState:
    """Return a VM that knows a target of each version of pool p.

    A quorum confirmed that ``age_s`` ago.
    """
    state = EntryState(CFG, PlatformEntryCodec(), JsonLog('e1'), lambda: None)
    records = tuple(
        TargetRecord(f't-{name}', 'p', 'h:1', 'z', 1, 8, False, 0.0)._replace(
            software=name
        )
        for name in versions
    )
    software = (PoolSoftware('p', versions),)
    published = PublishedState(1, 1, software=software)
    reply = SyncReply(1, True, 'c', 1, 0.0, published, targets=records)
    state.view.apply(reply, now_s() - age_s, now_s())
    state.view.index = DeploymentIndex(Deployment(1, (), POOLS, (ACCOUNT,)))
    return state


def make_request(pools: tuple[str, ...]) -> AdmittedRequest:
    """Return a request that resumes a stream on a route to some pools."""
    route = RouteSpec(
        'r1',
        'h',
        '/x/',
        CallKind.STREAM,
        tuple(Split(pool, 1.0) for pool in pools),
        timeout_s=2.0,
        objective_s=0.2,
        gap_s=0.3,
        priority=0,
        max_attempts=2,
        open=False,
        resumable=True,
    )
    metadata = RequestMetadata('second', 'k', 2.0, '', '', None, 0.0, '3')
    return AdmittedRequest(
        HttpRequest('POST', '/x/', (), b''),
        metadata._replace(resumes='first'),
        route,
        POOLS[0],
        ACCOUNT,
        now_s(),
        now_s() + 2.0,
    )


def find(
    state: EntryState, admitted: AdmittedRequest
) -> tuple[str, str | None]:
    """Return the pool or the code of the refusal, and the version."""
    continuity = StreamContinuity(state, admitted)
    found = asyncio.run(continuity.find_pool())
    if isinstance(found, HttpRefusal):
        return found.reason.partition(':')[0], continuity.software
    return found.name, continuity.software


@pytest.mark.parametrize(
    ('origin', 'pools', 'found'),
    [
        (StreamOrigin('p', 'v1'), ONE, ('p', 'v1')),
        (StreamOrigin('q', 'v1'), TWO, ('q', 'v1')),
        (StreamOrigin('q', 'v1'), ONE, (GONE_CODE, 'v1')),
        (StreamOrigin('gone', 'v1'), ('p', 'gone'), (GONE_CODE, 'v1')),
    ],
)
def test_known_stream_stays_with_what_began_it(
    origin: StreamOrigin, pools: tuple[str, ...], found: tuple[str, str]
) -> None:
    """A stream of one pool is not joined with the text of another."""
    state = make_state('v1', 'v2')
    state.streams.record(StreamStart(KEY, origin), now_s())
    assert find(state, make_request(pools)) == found


@pytest.mark.parametrize(
    ('versions', 'pools', 'found'),
    [
        (('v1',), ONE, 'p'),
        (('v1', 'v2'), ONE, UNKNOWN_CODE),
        (('v1',), TWO, UNKNOWN_CODE),
        ((), ONE, UNKNOWN_CODE),
    ],
)
def test_unknown_stream_goes_on_if_only_one_fits(
    versions: tuple[str, ...], pools: tuple[str, ...], found: str
) -> None:
    """What a relay answers, that nobody knows, is believed at once.

    The stream then stays with that version, whatever targets come.
    """
    state = make_state(*versions)
    state.lookups.begin(KEY)
    state.lookups.add((FoundStream(KEY, None),))
    version = versions[0] if found == 'p' else None
    assert find(state, make_request(pools)) == (found, version)


@pytest.mark.parametrize(
    ('is_answered', 'age_s', 'found'),
    [
        (True, 0.0, 'p'),
        (True, 5.0, UNKNOWN_CODE),
        (False, 0.0, UNKNOWN_CODE),
        (False, 5.0, UNKNOWN_CODE),
    ],
)
def test_unknown_stream_at_a_vm_out_of_step(
    is_answered: bool, age_s: float, found: str
) -> None:
    """No answer is not the answer that nobody knows the stream.

    A VM that was cut off or stood still may not know the newest version.
    """
    state = make_state('v1', age_s=age_s)
    if is_answered:
        state.lookups.begin(KEY)
        state.lookups.add((FoundStream(KEY, None),))
    assert find(state, make_request(ONE))[0] == found


@pytest.mark.parametrize(('age_s', 'found'), [(0.0, 'p'), (5.0, UNKNOWN_CODE)])
def test_resumed_stream_that_names_no_request(age_s: float, found: str) -> None:
    """It can't be looked up, and goes on where a fresh view allows it."""
    state = make_state('v1', age_s=age_s)
    admitted = make_request(ONE)
    unnamed = admitted.metadata._replace(resumes='')
    assert find(state, admitted._replace(metadata=unnamed))[0] == found


def test_stream_of_another_account_is_unknown() -> None:
    """A caller is believed about nothing but the id of its own request."""
    state = make_state('v1', 'v2')
    other = stream_key('other', 'first')
    start = StreamStart(other, StreamOrigin('p', 'v1'))
    state.streams.record(start, now_s())
    assert find(state, make_request(ONE)) == (UNKNOWN_CODE, None)


def test_version_that_left_is_refused_at_once() -> None:
    """It is not waited for: the next target has another version."""
    state = make_state('v2')
    start = StreamStart(KEY, StreamOrigin('p', 'v1'))
    state.streams.record(start, now_s())
    continuity = StreamContinuity(state, make_request(ONE))
    asyncio.run(continuity.find_pool())
    refusal = continuity.refusal_if_gone()
    assert refusal
    assert refusal.reason.startswith(GONE_CODE)
    assert refusal.retry_after_s is None
