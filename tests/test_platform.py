"""Tests of the codecs and settings of the platform package."""

import json
from typing import Any

import pytest
from lovagemast_core.adapters import AdapterLabel, Order, OrderResult
from lovagemast_core.deployment import CallKind, Deployment, ScalingSpec
from lovagemast_node.fleet import (
    DepartureCall,
    HeartbeatCall,
    InvalidCall,
    NameVersionCall,
    PutConfigCall,
    ReadConfigCall,
    ZoneCall,
)
from lovagemast_node.http import HttpRequest
from lovagemast_platform._control import PlatformControlCodec
from lovagemast_platform._deployment import parse_deployment
from lovagemast_platform._settings import SettingsFile


def make_route(**changes: Any) -> dict[str, Any]:
    """Return a route of a configuration document."""
    route = {
        'name': 'r1',
        'hostname': 'Shop.example',
        'pathPrefix': '/one/',
        'kind': 'streaming',
        'timeoutMs': 12_000,
        'targetLatencyMs': 600,
        'priority': 1,
        'service': 's1',
        'maxAttempts': 2,
        'public': False,
        'resumable': True,
    }
    return {**route, **changes}


def make_config(**changes: Any) -> dict[str, Any]:
    """Return a configuration document as operators send it."""
    config = {
        'version': 7,
        'routes': [make_route()],
        'services': [{'name': 's1'}, {'name': 's2', 'maxConnections': 9}],
        'limits': {'idleTimeoutMs': 9_000},
        'tenants': [
            {
                'name': 't1',
                'apiKeys': ['k1'],
                'unit': 'token_stream',
                'ratePerS': 100,
                'burst': 200,
                'plainTokens': 20,
            },
        ],
    }
    return {**config, **changes}


class TestDeployment:
    def test_reads_all(self) -> None:
        """Fields are mapped to the core's types, and times to seconds."""
        read = parse_deployment(json.dumps(make_config()))
        assert isinstance(read, Deployment)
        route = read.routes[0]
        assert (route.host, route.timeout_s) == ('shop.example', 12.0)
        assert (route.kind, route.idempotent) == (CallKind.STREAM, True)
        assert read.limits.idle_timeout_s == 9.0
        account = read.accounts[0]
        assert (account.rate, account.by_tokens) == (100.0, True)

    @pytest.mark.parametrize(
        'config',
        [
            make_config(routes=[make_route(service='unknown')]),
            make_config(routes=[make_route(), make_route(name='r2')]),
            make_config(routes=[make_route(timeoutMs=0)]),
            make_config(
                routes=[
                    make_route(trafficSplit=[{'service': 's1', 'weight': 0}]),
                ],
            ),
            make_config(
                tenants=[
                    {'name': 't1', 'apiKeys': ['k']},
                    {'name': 't2', 'apiKeys': ['k']},
                ],
            ),
            make_config(version='7'),
            make_config(routes='none'),
            {'version': 7},
            [],
        ],
    )
    def test_invalid(self, config: Any) -> None:
        """An invalid configuration gives an error text."""
        assert isinstance(parse_deployment(json.dumps(config)), str)

    def test_scaling(self) -> None:
        """A service without ``scaling`` has no count that we may choose."""
        scaling = {'min': 20, 'max': 47, 'bootS': 8.5}
        services = [
            {'name': 's1', 'scaling': scaling},
            {'name': 's2', 'scaling': None},
            {'name': 's3'},
        ]
        read = parse_deployment(json.dumps(make_config(services=services)))
        assert isinstance(read, Deployment)
        assert [pool.scaling for pool in read.pools] == [
            ScalingSpec(20, 47, 8.5),
            None,
            None,
        ]

    def test_cut_short(self) -> None:
        """A truncated document is rejected."""
        assert isinstance(parse_deployment(json.dumps(make_config())[:-9]), str)


def call(method: str, path: str, body: object = None) -> Any:
    """Return the decoded call to a control VM."""
    encoded = b'' if body is None else json.dumps(body).encode()
    return PlatformControlCodec().decode_call(
        HttpRequest(method, path, (), encoded)
    )


BEAT = {
    'service': 's1',
    'address': '10.0.0.9:80',
    'zone': 'z1',
    'slots': 64,
    'state': 'ready',
    'coldRemainingMs': 1_500,
    'sequence': 4,
    'born': 1_700_000_000_000,
    'models': [{'name': 'm', 'version': 1, 'adapters': ['a3@2']}],
}


class TestControlCalls:
    @pytest.mark.parametrize(
        ('method', 'path', 'kind'),
        [
            ('GET', '/config', ReadConfigCall),
            ('POST', '/evacuations/z1', ZoneCall),
            ('DELETE', '/evacuations/z1', ZoneCall),
            ('DELETE', '/instances/i-1', DepartureCall),
            ('GET', '/other', InvalidCall),
            ('PUT', '/config', InvalidCall),
        ],
    )
    def test_kinds(self, method: str, path: str, kind: type) -> None:
        """The method and path determine the kind of a call."""
        assert isinstance(call(method, path), kind)

    def test_config(self) -> None:
        """The document of a configuration is kept as it was sent."""
        read = call('PUT', '/config', make_config())
        assert isinstance(read, PutConfigCall)
        assert json.loads(read.document) == make_config()
        assert read.revision == 7

    @pytest.mark.parametrize('name', ['t1', 'caf\xe9', 'a b'])
    def test_names_for_headers(self, name: str) -> None:
        """A name that headers can carry is accepted."""
        config = make_config(tenants=[{'name': name, 'apiKeys': ['k']}])
        assert isinstance(call('PUT', '/config', config), PutConfigCall)

    @pytest.mark.parametrize('name', ['\u0142', 't\u20ac', '\u540d'])
    def test_names_that_headers_cannot_carry(self, name: str) -> None:
        """Such a name is refused with its place.

        Guards against accounts whose requests all ended with a closed
        connection.
        """
        tenants = [
            {'name': 't1', 'apiKeys': ['k']},
            {'name': name, 'apiKeys': ['l']},
        ]
        refused = call('PUT', '/config', make_config(tenants=tenants))
        assert isinstance(refused, InvalidCall)
        assert refused.status == 422
        assert 'tenants[1].name' in refused.detail

    def test_version(self) -> None:
        """A version call has a model, an adapter and a version."""
        body = {'model': 'm', 'adapter': 'a3', 'version': 2}
        expected = NameVersionCall('m', 'a3', 2)
        assert call('POST', '/version-put', body) == expected

    def test_heartbeat(self) -> None:
        """A heartbeat lists loaded adapters and the rest of the cold start."""
        read = call('PUT', '/instances/i-1', BEAT)
        assert isinstance(read, HeartbeatCall)
        assert read.heartbeat
        assert (read.heartbeat.target, read.heartbeat.cold_s) == ('i-1', 1.5)
        assert read.heartbeat.adapters == ('m/a3@2',)

    @pytest.mark.parametrize(
        'changes',
        [
            {'born': '1700000000000'},
            {'born': 1.5},
            {'born': None},
            {'state': 'resting'},
            {'sequence': True},
            {'address': 'nowhere'},
            {'slots': 'many'},
            {'models': {}},
            {'service': 3},
        ],
    )
    def test_other_writers(self, changes: dict[str, Any]) -> None:
        """A heartbeat with invalid fields is decoded to none, not to a guess.

        Other writers than targets can reach the interface.
        """
        read = call('PUT', '/instances/i-1', {**BEAT, **changes})
        assert isinstance(read, HeartbeatCall)
        assert read.heartbeat is None


class TestEngineMessages:
    def test_order(self) -> None:
        """An order has a precondition and a fencing token.

        They let an engine reject an order that arrives late.
        """
        order = Order('i-1', '10.0.0.9:80', True, 'm', 'a3', 2, 5, 9)
        data = PlatformControlCodec().encode_order(order, '10.0.0.1', 'id')
        head, _, body = data.partition(b'\r\n\r\n')
        assert b'X-Expect-Instance: i-1' in head
        assert json.loads(body) == {
            'operation': 'load',
            'model': 'm',
            'adapter': 'a3',
            'version': 2,
            'precondition': 5,
            'holder': '10.0.0.1',
            'fencingToken': 9,
        }

    @pytest.mark.parametrize(
        ('status', 'result'),
        [
            (202, OrderResult.ACCEPTED),
            (200, OrderResult.HOLDS),
            (409, OrderResult.BUSY),
            (412, OrderResult.REFUSED),
            (421, OrderResult.REFUSED),
        ],
    )
    def test_order_answers(self, status: int, result: OrderResult) -> None:
        """The status of an engine gives the result of an order."""
        assert PlatformControlCodec().decode_order_status(status) is result

    def test_report(self) -> None:
        """A report lists the adapters that are loaded and being loaded."""
        body = {
            'models': [{'name': 'm', 'adapters': ['a1@1']}],
            'busy': False,
            'sequence': 3,
            'coming': ['m/a2@1'],
            'running': 2,
            'queued': 1,
        }
        report = PlatformControlCodec().decode_report(
            'i', json.dumps(body).encode()
        )
        assert report
        assert report.adapters == (AdapterLabel('m', 'a1', 1),)
        assert report.loading == (AdapterLabel('m', 'a2', 1),)


SETTINGS: dict[str, Any] = {
    'node': 'core-1',
    'ip': '10.0.0.1',
    'zone': 'z1',
    'internalPorts': [7600, 7615],
    'seeds': ['10.0.0.1:8229', '10.0.0.2:8229'],
    'bootstrap': True,
    'dataDir': '/data',
    'listen': {'control': '10.0.0.1:8229', 'front': 'h:1', 'ready': 'h:2'},
    'faultTolerance': {'machines': 2},
    'bounds': {'failClosed': True, 'revokeMs': 5_000, 'leaseMs': 3_000},
    'later': {'unknown': 1},
}


class TestSettings:
    def test_control(self) -> None:
        """Seeds lose their port; tolerated losses set the number of voters."""
        cfg = SettingsFile(SETTINGS).to_control()
        assert cfg.seeds == ('10.0.0.1', '10.0.0.2')
        assert (cfg.voters_wanted, cfg.takeover_s) == (5, 3.0)

    def test_key_age_is_below_the_bound(self) -> None:
        """Keys expire before the platform's revocation bound."""
        cfg = SettingsFile(SETTINGS).to_entry()
        assert cfg.key_age_s
        assert cfg.key_age_s < 5.0

    def test_keys_may_stay(self) -> None:
        """Without ``failClosed``, keys stay valid without a leader."""
        settings = {**SETTINGS, 'bounds': {'failClosed': False}}
        assert SettingsFile(settings).to_entry().key_age_s is None
