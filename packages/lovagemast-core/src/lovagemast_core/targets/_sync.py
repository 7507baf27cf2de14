"""Messages between an entry VM and the control VM that leads."""

from typing import NamedTuple

from .._state import PublishedState
from .._types import AccountName, TargetName, VmName, ZoneName


class TokenWish(NamedTuple):
    """Tokens of a client account that an entry VM asks for.

    ``tokens`` are for requests that wait, ``ahead`` for requests to come.
    """

    account: AccountName
    tokens: float
    ahead: float = 0.0


class AdapterWish(NamedTuple):
    """An adapter that requests ask for.

    ``waiting`` counts requests that wait because no target has it;
    ``demand`` counts all requests for it since the last ask.
    """

    pool: str
    model: str
    adapter: str
    waiting: int
    demand: float


class AdapterUse(NamedTuple):
    """Requests of an entry VM that run on an adapter at a target."""

    target: TargetName
    label: str
    running: int
    started: int  # since the last ask


class SyncAsk(NamedTuple):
    """What an entry VM tells the leader and asks of it."""

    ask: int  # rises with each ask of a connection
    vm: VmName
    zone: ZoneName
    version: int  # of the published state that the entry VM holds
    stamp: int  # of the newest target record that it holds
    term: int  # in which that stamp was given
    tokens: tuple[TokenWish, ...] = ()
    wishes: tuple[AdapterWish, ...] = ()
    uses: tuple[AdapterUse, ...] = ()
    draining: bool = False
    missing: tuple[str, ...] = ()  # target and label that it denied to have
    shut: tuple[TargetName, ...] = ()  # targets that could not be reached


class ResidentAdapter(NamedTuple):
    """An adapter version at a target; 0 s means that it is ready."""

    label: str
    ready_in_s: float


class TargetRecord(NamedTuple):
    """One target as the leader knows it."""

    target: TargetName
    pool: str
    address: str
    zone: ZoneName
    incarnation: int  # ms since the epoch at which the target started
    slots: int
    leaving: bool
    cold_s: float  # how much longer the target is cold
    models: tuple[str, ...] = ()
    adapters: tuple[ResidentAdapter, ...] = ()


class TokenLot(NamedTuple):
    """Tokens that an entry VM may spend for a client account."""

    account: AccountName
    tokens: float
    short: bool = False  # the bucket had fewer than were asked for


class SyncReply(NamedTuple):
    """The leader's answer, or a hint at who leads.

    ``quorum_age_s`` counts from when the leader asked the replicas that
    last confirmed it; ``ask`` names the newest ask that was read before.
    """

    ask: int
    leads: bool
    leader: VmName
    term: int
    quorum_age_s: float
    published: PublishedState | None = None
    stamp: int = 0
    targets: tuple[TargetRecord, ...] = ()  # those changed since the stamp
    present: tuple[TargetName, ...] = ()  # all that are known
    lots: tuple[TokenLot, ...] = ()
    entries: int = 1  # entry VMs that are in step
    control: tuple[VmName, ...] = ()
    led_s: float = 0.0  # how long the leader has led
    orders_in_s: float = 0.0  # until it may give orders to engines
    rank: int = 0  # of the entry VM among those that are in step
