"""Configurations with values that no field of this system can hold."""

import json
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core import PutConfig
from lovagemast_core.deployment import Deployment
from lovagemast_platform._deployment import parse_deployment
from lovagemast_wire import to_wire

from tests.test_platform import make_config, make_route

HUGE: Final = 2**70


def make_scaled(**changes: Any) -> dict[str, Any]:
    """Return a service with scaling."""
    scaling = {'min': 2, 'max': 7, 'bootS': 8.0, **changes}
    return {'name': 's1', 'scaling': scaling}


DOCUMENTS: Final = (
    make_config(version=HUGE),
    make_config(version=-1),
    make_config(routes=[make_route(timeoutMs=10**400)]),
    make_config(routes=[make_route(priority=HUGE)]),
    make_config(routes=[make_route(maxAttempts=-HUGE)]),
    make_config(routes=[make_route(hostname='\ud800')]),
    make_config(routes=[make_route(hostname='a\r\nb')]),
    make_config(routes=[make_route(trafficSplit='s1')]),
    make_config(
        routes=[make_route(trafficSplit=[{'service': 's1', 'weight': -1}])]
    ),
    make_config(routes=[7]),
    make_config(routes=['trafficSplit']),
    make_config(services=['s1']),
    make_config(services=[{'name': 's1', 'engine': [7]}]),
    make_config(services=[{'name': 's1', 'maxConnections': HUGE}]),
    make_config(services=[make_scaled(min=-1)]),
    make_config(services=[make_scaled(min=8)]),
    make_config(services=[make_scaled(min=None)]),
    make_config(services=[make_scaled(min=2.5)]),
    make_config(services=[make_scaled(max=HUGE)]),
    make_config(services=[make_scaled(max=True)]),
    make_config(services=[make_scaled(bootS=-1)]),
    make_config(services=[make_scaled(bootS='8')]),
    make_config(services=[{'name': 's1', 'scaling': []}]),
    make_config(services=[{'name': 's1', 'scaling': {}}]),
    make_config(tenants=[{'name': 't\n1'}]),
    make_config(tenants=[{'name': 't1', 'apiKeys': [None]}]),
    make_config(tenants=[{'name': 't1', 'ratePerS': -5}]),
    make_config(limits=[1]),
)
TEXTS: Final = (
    json.dumps(make_config()).replace('12000', 'NaN'),
    json.dumps(make_config()).replace('12000', 'Infinity'),
    json.dumps(make_config()).replace('12000', '1e999'),
    json.dumps(make_config()).replace('12000', '9' * 5_000),
    '[' * 100_000,
)
JSON: Final = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)
ROUTE_FIELDS: Final = st.sampled_from([*sorted(make_route()), 'trafficSplit'])
FIELDS: Final = st.sampled_from(sorted(make_config()))


@pytest.mark.parametrize('config', DOCUMENTS)
def test_values_out_of_range_are_refused(config: dict[str, Any]) -> None:
    """Such a value was acknowledged, and failed in code that serves all."""
    assert isinstance(parse_deployment(json.dumps(config)), str)


@pytest.mark.parametrize('document', TEXTS)
def test_numbers_that_are_none_are_refused(document: str) -> None:
    """Python's parser takes more than JSON allows."""
    assert isinstance(parse_deployment(document), str)


def test_key_that_one_account_lists_twice() -> None:
    """Only two accounts must not share a key."""
    account = {'name': 't1', 'apiKeys': ['k', 'k']}
    document = json.dumps(make_config(tenants=[account]))
    assert isinstance(parse_deployment(document), Deployment)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(name=FIELDS, route_name=ROUTE_FIELDS, odd=JSON)
def test_what_is_taken_can_be_replicated(
    name: str, route_name: str, odd: Any
) -> None:
    """A document of any shape is refused, or passes between VMs."""
    for config in (
        make_config(**{name: odd}),
        make_config(routes=[make_route(**{route_name: odd})]),
    ):
        document = json.dumps(config)
        parsed = parse_deployment(document)
        if isinstance(parsed, Deployment):
            to_wire(PutConfig(parsed.revision, document))
