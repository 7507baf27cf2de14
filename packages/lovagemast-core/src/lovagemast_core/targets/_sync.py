"""Sync messages between entry VMs and the leading control VM."""

from typing import NamedTuple

from .._state import PublishedState
from .._types import AccountName, TargetName, VmName, ZoneName


class TokenWish(NamedTuple):
    """Tokens of a client account that an entry VM requests.

    ``tokens`` are for queued requests, ``ahead`` for expected ones.
    """

    account: AccountName
    tokens: float
    ahead: float = 0.0


class AdapterWish(NamedTuple):
    """Demand for an adapter at an entry VM.

    ``waiting`` counts requests that are queued because no target holds the
    adapter; ``demand`` counts all requests for it since the last sync.
    """

    pool: str
    model: str
    adapter: str
    waiting: int
    demand: float


class AdapterUse(NamedTuple):
    """An entry VM's use of an adapter at a target, in requests."""

    target: TargetName
    label: str
    running: int
    started: int  # since the last sync


class SyncAsk(NamedTuple):
    """The sync request of an entry VM to the leader.

    ``missing`` lists adapters that targets turned out to lack, each in the
    form ``target label``.
    """

    ask: int  # increases with each request of a connection
    vm: VmName
    zone: ZoneName
    version: int  # of the published state that the entry VM holds
    stamp: int  # of the newest target records that it holds
    term: int  # that the stamp belongs to
    tokens: tuple[TokenWish, ...] = ()
    wishes: tuple[AdapterWish, ...] = ()
    uses: tuple[AdapterUse, ...] = ()
    draining: bool = False
    missing: tuple[str, ...] = ()
    shut: tuple[TargetName, ...] = ()  # unreachable targets


class ResidentAdapter(NamedTuple):
    """An adapter version at a target and the time until it is ready."""

    label: str
    ready_in_s: float


class TargetRecord(NamedTuple):
    """The leader's record of a target, as sent to entry VMs."""

    target: TargetName
    pool: str
    address: str
    zone: ZoneName
    incarnation: int  # ms since the epoch at which the target started
    slots: int
    leaving: bool
    cold_s: float  # remaining time of the cold start
    models: tuple[str, ...] = ()
    adapters: tuple[ResidentAdapter, ...] = ()


class TokenLot(NamedTuple):
    """Tokens issued to an entry VM for a client account."""

    account: AccountName
    tokens: float
    short: bool = False  # the bucket held fewer than ``tokens`` of the wish


class SyncReply(NamedTuple):
    """The leader's reply to a sync request, or a hint at the leader.

    ``ask`` is the number of the newest sync request read so far.
    ``quorum_age_s`` is the time since the leader sent the message by which a
    quorum last confirmed it.
    """

    ask: int
    leads: bool
    leader: VmName
    term: int
    quorum_age_s: float
    published: PublishedState | None = None
    stamp: int = 0
    targets: tuple[TargetRecord, ...] = ()  # those changed since the stamp
    present: tuple[TargetName, ...] = ()  # all registered targets
    lots: tuple[TokenLot, ...] = ()
    entries: int = 1  # entry VMs that have synced recently
    control: tuple[VmName, ...] = ()
    led_s: float = 0.0  # time since the leader was elected
    orders_in_s: float = 0.0  # until it may send orders to engines
    rank: int = 0  # of the entry VM among those that have synced recently
