"""The configuration of the fleet, as a document or an expanded template."""

from enum import StrEnum
from fnmatch import fnmatchcase
from typing import Annotated, NamedTuple

from .._types import AccountName, Priority, ZoneName
from ._schema import Fault, Field, Path, parse_record


class PoolKind(StrEnum):
    """Kind of the targets of a pool."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Zone(NamedTuple):
    """An availability zone, which operators may take out of service."""

    name: str
    out: Annotated[bool, Field('Takes no new work when true.')] = False


class Account(NamedTuple):
    """A client account, its rate limit and the adapters that it may use."""

    name: str
    rate_tokens_s: Annotated[
        float,
        Field('Sustained rate over the whole fleet, tokens/s.', low=0),
    ]
    burst_tokens: Annotated[
        float,
        Field('Burst over the whole fleet, tokens.', low=0),
    ]
    weight: Annotated[
        float,
        Field('Weight in fair queueing.', low=0.01),
    ] = 1.0
    adapters: Annotated[
        tuple[str, ...],
        Field('Adapter name patterns the account may use.'),
    ] = ('*',)
    stale_key_limit_s: Annotated[
        float | None,
        Field('Keys stay valid so long without the quorum, s; null: always.'),
    ] = 10.0

    def may_use(self, adapter: str) -> bool:
        """Return whether one of the account's patterns matches the adapter."""
        return any(fnmatchcase(adapter, pattern) for pattern in self.adapters)


class Key(NamedTuple):
    """A key of a client account, of which only the digest is stored."""

    account: str
    digest: Annotated[str, Field('SHA-256 of the key, in hex.')]
    withdrawn: bool = False


class Pool(NamedTuple):
    """Interchangeable targets, any of which can serve a route's requests."""

    name: str
    kind: PoolKind
    base: Annotated[str, Field('Base model of an engine pool.')] = ''
    fencing: Annotated[
        bool,
        Field('Whether targets refuse orders with an old fencing number.'),
    ] = True


class Route(NamedTuple):
    """How requests under a path prefix are served."""

    name: str
    prefix: str
    pool: str
    open: Annotated[bool, Field('Needs no key when true.')] = False
    priority: Priority = Priority.STANDARD
    idempotent_methods: Annotated[
        tuple[str, ...],
        Field('Methods that may be repeated.'),
    ] = ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS')
    default_max_tokens: Annotated[
        int,
        Field('Output limit where the caller sets none, tokens.', low=1),
    ] = 256
    call_cost: Annotated[
        float,
        Field('Charge for one call of a plain service, tokens.', low=0),
    ] = 1.0
    queue_timeout_s: Annotated[
        float,
        Field('Longest wait for a place at a target, s.', low=0.1),
    ] = 10.0
    first_chunk_timeout_s: Annotated[
        float,
        Field('Longest wait for the first part of an answer, s.', low=0.1),
    ] = 5.0
    chunk_timeout_s: Annotated[
        float,
        Field('Longest silence within an answer, s.', low=0.1),
    ] = 3.0


class Store(NamedTuple):
    """Limits on loads from the weight store, over the whole fleet."""

    loads_per_s: Annotated[float, Field('Adapter loads/s.', low=0.01)] = 4.0
    loads_in_flight: Annotated[int, Field('Adapter loads.', low=1)] = 8


class FleetConfig(NamedTuple):
    """A valid configuration of the whole fleet."""

    zones: tuple[Zone, ...] = ()
    accounts: tuple[Account, ...] = ()
    keys: tuple[Key, ...] = ()
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()
    draining_vms: tuple[str, ...] = ()
    store: Store = Store()


class FleetIndex:
    """Lookups into one configuration."""

    def __init__(self, cfg: FleetConfig) -> None:
        self.cfg = cfg
        self.accounts = {account.name: account for account in cfg.accounts}
        self.pools = {pool.name: pool for pool in cfg.pools}
        self.zones_out = frozenset(zone.name for zone in cfg.zones if zone.out)
        self._keys = {
            key.digest: key.account for key in cfg.keys if not key.withdrawn
        }
        self._routes = sorted(
            cfg.routes,
            key=lambda route: len(route.prefix),
            reverse=True,
        )

    def account_of(self, digest: str) -> AccountName | None:
        """Return the account of a key, by digest; withdrawn keys have none."""
        return self._keys.get(digest)

    def routes_of(self, path: str) -> list[Route]:
        """Return the routes whose prefix matches a path, the longest first."""
        return [
            route for route in self._routes if path.startswith(route.prefix)
        ]

    def zone_is_out(self, zone: ZoneName) -> bool:
        """Return whether operators have taken the zone out of service."""
        return zone in self.zones_out


def parse_fleet_config(
    document: object,
) -> tuple[FleetConfig | None, list[Fault]]:
    """Return the configuration in a document, or all faults in it."""
    cfg, faults = parse_record(FleetConfig, document)
    if cfg is None:
        return None, faults
    faults = _reference_faults(cfg)
    return (None, faults) if faults else (cfg, [])


def _reference_faults(cfg: FleetConfig) -> list[Fault]:
    accounts = {account.name for account in cfg.accounts}
    pools = {pool.name for pool in cfg.pools}
    faults = [
        Fault(('keys', index, 'account'), f'no account {key.account!r}')
        for index, key in enumerate(cfg.keys)
        if key.account not in accounts
    ]
    faults += [
        Fault(('routes', index, 'pool'), f'no pool {route.pool!r}')
        for index, route in enumerate(cfg.routes)
        if route.pool not in pools
    ]
    for section in ('zones', 'accounts', 'pools', 'routes'):
        faults += _duplicate_names(section, getattr(cfg, section))
    return faults


def _duplicate_names(
    section: str,
    members: tuple[Zone | Account | Pool | Route, ...],
) -> list[Fault]:
    seen: set[str] = set()
    faults: list[Fault] = []
    for index, member in enumerate(members):
        path: Path = (section, index, 'name')
        if member.name in seen:
            faults.append(Fault(path, f'{member.name!r} is there already'))
        seen.add(member.name)
    return faults
