"""Looks up routes, pools and accounts of one revision."""

import hashlib
from collections import defaultdict

from .._types import AccountName
from ._model import AccountSpec, Deployment, PoolSpec, RouteSpec

KeyDigest = bytes


def digest_key(key: str) -> KeyDigest:
    """Return the digest under which a key is kept in memory."""
    return hashlib.sha256(key.encode()).digest()


class DeploymentIndex:
    """A deployment with its lookups prepared."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.pools: dict[str, PoolSpec] = {
            pool.name: pool for pool in deployment.pools
        }
        self.accounts: dict[AccountName, AccountSpec] = {
            account.name: account for account in deployment.accounts
        }
        self._by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in deployment.routes:
            self._by_host[route.host][route.prefix] = route
        self._by_key: dict[KeyDigest, AccountSpec] = {}
        for account in deployment.accounts:
            for key in account.keys:
                self._by_key[digest_key(key)] = account

    @property
    def revision(self) -> int:
        """Return the revision, 0 before the first configuration."""
        return self.deployment.revision

    def route(self, host: str, path: str) -> RouteSpec | None:
        """Return the route with the longest prefix that starts a path.

        Prefixes end with a slash, so only as many look-ups are needed as
        the path has slashes.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def account_of_key(self, key: str) -> AccountSpec | None:
        """Return the client account that holds a key."""
        return self._by_key.get(digest_key(key))
