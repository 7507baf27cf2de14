"""Tests of the lookups into a deployment's configuration."""

import pytest
from lovagemast_core.deployment import (
    AccountSpec,
    CallKind,
    Deployment,
    DeploymentIndex,
    RouteSpec,
    Split,
)


def make_route(name: str, host: str, prefix: str) -> RouteSpec:
    """Return a route that leads to one pool."""
    return RouteSpec(
        name,
        host,
        prefix,
        CallKind.SAFE,
        (Split('pool', 1.0),),
        timeout_s=1.0,
        objective_s=0.1,
        gap_s=0.3,
        priority=0,
        max_attempts=2,
        open=False,
        resumable=False,
    )


INDEX = DeploymentIndex(
    Deployment(
        revision=3,
        routes=(
            make_route('short', 'a.example', '/one/'),
            make_route('long', 'a.example', '/one/two/'),
            make_route('other', 'b.example', '/one/'),
        ),
        accounts=(
            AccountSpec('acme', ('k1', 'k2'), None, 10.0, 10.0, True, 5.0),
        ),
    ),
)


class TestRoutes:
    @pytest.mark.parametrize(
        ('host', 'path', 'name'),
        [
            ('a.example', '/one/x', 'short'),
            ('a.example', '/one/', 'short'),
            ('a.example', '/one/two/x/y', 'long'),
            ('A.Example:8080', '/one/two/', 'long'),
            ('b.example', '/one/two/x', 'other'),
            ('a.example', '/one', None),
            ('a.example', '/onetwo/x', None),
            ('a.example', '/', None),
            ('c.example', '/one/x', None),
        ],
    )
    def test_longest_prefix(
        self,
        host: str,
        path: str,
        name: str | None,
    ) -> None:
        """The route with the longest prefix that matches the path is used."""
        route = INDEX.route(host, path)
        assert (route.name if route else None) == name


class TestKeys:
    @pytest.mark.parametrize(
        ('key', 'account'),
        [('k1', 'acme'), ('k2', 'acme'), ('k3', None), ('', None)],
    )
    def test_account_of_key(self, key: str, account: str | None) -> None:
        """Each key leads to the account that it belongs to."""
        found = INDEX.account_of_key(key)
        assert (found.name if found else None) == account
