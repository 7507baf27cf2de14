"""What a deployment consists of, as one revision of its configuration."""

from enum import StrEnum
from typing import NamedTuple

from .._types import AccountName


class CallKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = 'safe'  # idempotent
    UNSAFE = 'unsafe'  # at most one execution
    STREAM = 'stream'  # events; idempotent only where it can be resumed


class Split(NamedTuple):
    """The share of a route's requests that a pool gets."""

    pool: str
    weight: float


class RouteSpec(NamedTuple):
    """A host and a path prefix, and how requests on them are served."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # starts and ends with a slash
    kind: CallKind
    splits: tuple[Split, ...]
    timeout_s: float
    objective_s: float  # latency objective, to the first event of a stream
    gap_s: float  # longest pause between events; 0 without a promise
    priority: int  # 0 is the most urgent
    max_attempts: int  # targets that one request may be sent to
    open: bool  # needs no key
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is CallKind.SAFE or self.resumable


class ModelSpec(NamedTuple):
    """A base model that the engines of a pool may hold."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float


class EngineSpec(NamedTuple):
    """What each engine of a pool can hold and run."""

    slots: int  # requests in a batch
    kv_cache_tokens: int
    weights_mb: float  # memory for models and adapters together
    adapter_slots: int
    loads_per_s: float  # of models from the store, over all engines
    host_mb: float  # memory of the host for copies of what was loaded
    models: tuple[ModelSpec, ...]

    def model(self, name: str) -> ModelSpec | None:
        """Return a model by its name."""
        for model in self.models:
            if model.name == name:
                return model
        return None

    def host_cache_capacity(self, name: str) -> int:
        """Return how many adapters of a model the host keeps copies of."""
        model = self.model(name)
        if model is None or model.adapter_mb <= 0:
            return self.adapter_slots
        room_mb = self.host_mb - model.weights_mb
        return max(self.adapter_slots, int(room_mb / model.adapter_mb))


class PoolSpec(NamedTuple):
    """Targets of one kind; ``engine`` is ``None`` for plain services."""

    name: str
    health_path: str
    max_connections: int  # to one target, from all VMs together
    cold_start_s: float
    cold_per_s: float  # requests a second that a cold target bears
    engine: EngineSpec | None = None


class AccountSpec(NamedTuple):
    """A client account, its keys and its quota.

    ``rate`` and ``burst`` are in tokens (or requests, if not
    ``by_tokens``); a rate of 0 means that there is no limit.
    """

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None  # replaces that of the route
    rate: float
    burst: float
    by_tokens: bool
    default_tokens: float  # charged where a request does not say


class EdgeLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Deployment(NamedTuple):
    """One revision of a deployment's configuration."""

    revision: int = 0
    routes: tuple[RouteSpec, ...] = ()
    pools: tuple[PoolSpec, ...] = ()
    accounts: tuple[AccountSpec, ...] = ()
    limits: EdgeLimits = EdgeLimits()
