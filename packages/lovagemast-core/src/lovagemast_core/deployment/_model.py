"""Records that make up one revision of a deployment's configuration."""

from enum import StrEnum
from typing import NamedTuple

from .._types import AccountName


class CallKind(StrEnum):
    """Whether requests on a route may be retried."""

    SAFE = 'safe'  # idempotent
    UNSAFE = 'unsafe'  # may be executed at most once
    STREAM = 'stream'  # server-sent events; idempotent only if resumable


class Split(NamedTuple):
    """A pool and its weight in the traffic split of a route."""

    pool: str
    weight: float


class RouteSpec(NamedTuple):
    """How requests for a host and a path prefix are served.

    ``gap_s`` is the objective for the pauses between the events of a stream,
    in s; 0 means that there is none.
    """

    name: str
    host: str  # lower case, without a port
    prefix: str  # starts and ends with a slash
    kind: CallKind
    splits: tuple[Split, ...]
    timeout_s: float
    objective_s: float  # latency objective; for streams, to the first event
    gap_s: float
    priority: int  # 0 is the most urgent
    max_attempts: int  # targets that may run one request
    open: bool  # requests need no key
    resumable: bool  # a stream can continue after its last event

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is CallKind.SAFE or self.resumable


class ModelSpec(NamedTuple):
    """A base model that the engines of a pool may load."""

    name: str
    weights_mb: float
    load_s: float  # duration of a load
    adapter_mb: float  # size of one of its adapters


class EngineSpec(NamedTuple):
    """Capacity of each engine of a pool."""

    slots: int  # requests that run in a batch
    kv_cache_tokens: int
    weights_mb: float  # memory for models and adapters
    adapter_slots: int
    loads_per_s: float  # model loads from the store, over all engines
    host_mb: float  # host memory for copies of loaded weights
    models: tuple[ModelSpec, ...]

    def model(self, name: str) -> ModelSpec | None:
        """Return the model with this name, ``None`` if there is none."""
        for model in self.models:
            if model.name == name:
                return model
        return None

    def host_cache_capacity(self, name: str) -> int:
        """Return how many adapters of a model fit into host memory.

        The host also keeps the model's own weights. The number is at least
        that of the adapter slots.
        """
        model = self.model(name)
        if model is None or model.adapter_mb <= 0:
            return self.adapter_slots
        room_mb = self.host_mb - model.weights_mb
        return max(self.adapter_slots, int(room_mb / model.adapter_mb))


class ScalingSpec(NamedTuple):
    """How many targets a pool may have in each availability zone."""

    min_targets: int
    max_targets: int
    boot_s: float  # from the order of a target until it serves


class PoolSpec(NamedTuple):
    """A pool of interchangeable targets; ``engine`` is set for engines only.

    Without ``scaling``, the number of its targets is not ours to choose.
    """

    name: str
    health_path: str
    max_connections: int  # to one target, from all entry VMs
    cold_start_s: float
    cold_per_s: float  # requests/s that a cold target can take
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class AccountSpec(NamedTuple):
    """A client account, its keys and its quota.

    ``rate``, per second, and ``burst`` count tokens if ``by_tokens`` is true
    and requests otherwise. A rate of 0 means that there is no limit.
    """

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None  # overrides the route's
    rate: float
    burst: float
    by_tokens: bool
    default_tokens: float  # charged if a request states no token count


class CallerLimits(NamedTuple):
    """Limits on callers' requests and connections."""

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
    limits: CallerLimits = CallerLimits()

    def for_control(self) -> 'Deployment':
        """Return what control VMs use: of the routes the longest stream's.

        All the others would take several times the size of the document.
        """
        streams = [one for one in self.routes if one.kind is CallKind.STREAM]
        streams.sort(key=lambda route: route.timeout_s)
        return self._replace(routes=tuple(streams[-1:]))
