"""Lookups into one revision of a deployment's configuration."""

import hashlib
from collections import defaultdict

from .._types import AccountName
from ._model import AccountSpec, Deployment, PoolSpec, RouteSpec

KeyDigest = bytes


def digest_key(key: str) -> KeyDigest:
    """Return the digest by which a key is looked up."""
    return hashlib.sha256(key.encode()).digest()


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
        self._by_host: dict[str, dict[str, RouteSpec]] = defaultdict(dict)
        for route in deployment.routes:
            self._by_host[route.host][route.prefix] = route
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

        Prefixes end with a slash, so one lookup is needed for each slash in
        the path. Case and port of ``host`` do not matter.
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
        """Return the client account that a key belongs to."""
        return self._by_key.get(digest_key(key))
