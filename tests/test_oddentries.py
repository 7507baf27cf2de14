"""Odd entries of other writers, from the call to what entry VMs hold."""

import asyncio
import json
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.entry import FleetView
from lovagemast_core.targets import SyncAsk, SyncReply
from lovagemast_node._clock import now_s
from lovagemast_node.fleet import HeartbeatCall, InvalidCall
from lovagemast_node.http import (
    ConnectFailed,
    HttpRequest,
    ResponseHead,
    TargetPool,
)
from lovagemast_platform._control import PlatformControlCodec
from lovagemast_platform._entry import PlatformEntryCodec
from lovagemast_wire import from_wire, to_wire

from tests.controlcluster import Cluster, make_config, make_heartbeat
from tests.test_oddconfig import HUGE, JSON
from tests.test_platform import BEAT, call

MODEL: Final = BEAT['models'][0]  # type: ignore[index]
ODD: Final[tuple[dict[str, Any], ...]] = (
    {'slots': HUGE},
    {'slots': -1},
    {'born': HUGE},
    {'sequence': HUGE},
    {'coldRemainingMs': 10**400},
    {'coldRemainingMs': -1},
    {'remainingMs': 10**400},
    {'service': '\ud800'},
    {'service': 'a\nb'},
    {'zone': '\ud800'},
    {'version': '\ud800'},
    {'version': 1},
    {'address': '\ud800:80'},
    {'address': '10.0.0.9:99999'},
    {'address': '10.0.0.9:0'},
    {'address': '10.0.0.9:²'},
    {'address': '10.0.0.9:' + '9' * 5_000},
    {'address': '.:80'},
    {'address': 'a..b:80'},
    {'address': 'a' * 70 + ':80'},
    {'address': '10.0.0.9 :80'},
    {'models': [{**MODEL, 'name': '\ud800'}]},
    {'models': [{**MODEL, 'adapters': [7]}]},
    {'models': [{**MODEL, 'adapters': ['a1@' + '9' * 5_000]}]},
    {'models': [{**MODEL, 'adapters': [f'a1@{HUGE}']}]},
    {'models': [{**MODEL, 'adapters': ['a1@²']}]},
    {'models': [7]},
)
ADDRESSES: Final = ('h:99999', 'h:²', 'h:', '.:80', 'a..b:80', '\ud800:80')
FIELDS: Final = st.sampled_from([*sorted(BEAT), 'remainingMs', 'version'])


@pytest.mark.parametrize('changes', ODD)
def test_entry_out_of_range_names_no_target(changes: dict[str, Any]) -> None:
    """Such a value ended the leader, or failed at each connection."""
    read = call('PUT', '/instances/i-1', {**BEAT, **changes})
    assert read.heartbeat is None
    assert read.detail


@pytest.mark.parametrize(
    'body',
    [
        json.dumps(BEAT).replace('1500', 'NaN').encode(),
        json.dumps(BEAT).replace('1500', '1e999').encode(),
        b'[' * 100_000,
        b'{"service":' + b'[' * 3_000 + b']' * 3_000 + b'}',
        b'\xff\xfe',
        b'',
    ],
)
def test_unreadable_entry_names_no_target(body: bytes) -> None:
    """Bytes that cannot be read are no reason to close the connection."""
    req = HttpRequest('PUT', '/instances/i-1', (), body)
    read = PlatformControlCodec().decode_call(req)
    assert isinstance(read, HeartbeatCall)
    assert read.heartbeat is None


@pytest.mark.parametrize('name', ['', 'a b', 'a\xff', 'x' * 300])
def test_odd_name_names_no_target(name: str) -> None:
    """The name is sent to the target in a header."""
    assert call('PUT', f'/instances/{name}', BEAT).heartbeat is None


@pytest.mark.parametrize('zone', ['', 'a\xff' * 2_000])
def test_odd_zone_is_refused(zone: str) -> None:
    """A zone that is taken out is stored by every control VM."""
    assert isinstance(call('POST', f'/evacuations/{zone}'), InvalidCall)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(name=FIELDS, odd=JSON)
def test_any_entry_leaves_the_fleet_running(name: str, odd: Any) -> None:
    """What is taken passes the registry, the wire and an entry VM's view."""
    entry = call('PUT', '/instances/i-1', {**BEAT, name: odd})
    if entry.heartbeat is None:
        return
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.nodes[cluster.leader()]
    leader.on_heartbeat(entry.heartbeat, cluster.now)
    reply = leader.on_ask(SyncAsk(1, 'e', 'z', 0, 0, 0), cluster.now)
    received = from_wire(SyncReply, to_wire(reply))
    view = FleetView()
    view.apply(received, cluster.now, cluster.now)
    assert set(view.targets) <= {'i-1'}


@pytest.mark.parametrize('address', ADDRESSES)
def test_address_that_cannot_be_connected_to(address: str) -> None:
    """The request goes on to another target."""

    async def connect() -> object:
        pool = TargetPool()
        return await pool.acquire(
            address, fresh=True, timeout_s=0.5, now=now_s()
        )

    assert isinstance(asyncio.run(connect()), ConnectFailed)


@pytest.mark.parametrize('version', ['²', '9' * 5_000, str(HUGE), '-1', ''])
def test_label_with_an_odd_version(version: str) -> None:
    """A label is parsed wherever it arrives, and counts as unknown."""
    assert AdapterLabel.from_text(f'm/a@{version}').version == 0


@pytest.mark.parametrize(
    'changes',
    [
        {'sequence': HUGE},
        {'running': HUGE},
        {'coming': [7]},
        {'coming': ['m/a@' + '9' * 5_000]},
        {'models': [{**MODEL, 'adapters': [f'a@{HUGE}']}]},
    ],
)
def test_odd_report_is_no_report(changes: dict[str, Any]) -> None:
    """An engine's report is checked as its heartbeats are."""
    report = {'models': [MODEL], 'busy': False, 'sequence': 3, **changes}
    body = json.dumps(report).encode()
    assert PlatformControlCodec().decode_report('i', body) is None


def test_load_of_thousands_of_digits() -> None:
    """A number too long to be parsed gives no load."""
    codec = PlatformEntryCodec()
    assert codec.decode_response_head(head_of(b'9' * 5_000)).running is None


def head_of(number: bytes) -> ResponseHead:
    """Return a response head with an odd load."""
    load = number + b',1,8'
    return ResponseHead(200, ((b'X-Server-Load', load),), 0)


def test_entry_of_an_unnamed_pool_displaces_none() -> None:
    """It may name a later start at the address of a target that serves."""
    cluster = Cluster()
    cluster.run(2.0)
    leader = cluster.nodes[cluster.leader()]
    leader.propose(1, make_config(1), cluster.now)
    cluster.run(0.3)
    cluster.send_heartbeats('t1')
    odd = make_heartbeat('odd', cluster.now)._replace(
        pool='unnamed', address='t1:80', incarnation=9
    )
    leader.on_heartbeat(odd, cluster.now)
    assert leader.fleet.registry.names() == ('t1',)
