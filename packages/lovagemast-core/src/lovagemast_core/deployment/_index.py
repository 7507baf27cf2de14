"""Lookups into one revision of a deployment's configuration."""

import hashlib
from collections.abc import Iterable
from itertools import groupby

from .._types import AccountName
from ._model import AccountSpec, Deployment, PoolSpec, RouteSpec

KeyDigest = bytes


def digest_key(key: str) -> KeyDigest:
    """Return the digest by which a key is looked up."""
    return hashlib.sha256(key.encode()).digest()


def _host_of(route: RouteSpec) -> str:
    return route.host


class _HostRoutes:
    """The routes of a host, by prefix.

    A lookup takes one step for each length that a prefix has, however long
    the path is.
    """

    def __init__(self, routes: Iterable[RouteSpec]) -> None:
        self._by_prefix = {
            route.prefix: route
            for route in routes
            if route.prefix.endswith('/')
        }
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def longest_match(self, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix that begins a path."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class DeploymentIndex:
    """A deployment's routes, pools and accounts, indexed for lookups."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.pools: dict[str, PoolSpec] = {
            pool.name: pool for pool in deployment.pools
        }
        self.accounts: dict[AccountName, AccountSpec] = {
            account.name: account for account in deployment.accounts
        }
        self._by_host = {
            host: _HostRoutes(list(routes))
            for host, routes in groupby(
                sorted(deployment.routes, key=_host_of), key=_host_of
            )
        }
        self._by_key: dict[KeyDigest, AccountSpec] = {}
        for account in deployment.accounts:
            for key in account.keys:
                self._by_key[digest_key(key)] = account

    @property
    def revision(self) -> int:
        """Return the configuration's revision, 0 before the first one."""
        return self.deployment.revision

    def route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route of a host whose prefix is the longest match.

        Case and port of ``host`` do not matter.
        """
        routes = self._by_host.get(host.partition(':')[0].lower())
        return routes.longest_match(path) if routes else None

    def account_of_key(self, key: str) -> AccountSpec | None:
        """Return the client account that a key belongs to."""
        return self._by_key.get(digest_key(key))
