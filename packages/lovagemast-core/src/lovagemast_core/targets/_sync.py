"""Sync messages between entry VMs, relays and the leading control VM.

Every control VM is a relay: entry VMs send their sync requests to a relay,
which sums them up in requests of its own to the leader. Both hops use the
same messages.
"""

from typing import NamedTuple

from .._state import PublishedState
from .._types import (
    AccountName,
    SoftwareVersion,
    Subject,
    TargetName,
    VmName,
    ZoneName,
)
from ..documents import DocumentPart, DocumentWish
from ..duties._records import VmUsage
from ..quarantine._state import QuarantineState, TargetCrash, TrialWish
from ..streams._records import FoundStream, StreamKey, StreamStart


class TokenWish(NamedTuple):
    """Tokens of a client account that an entry VM requests.

    ``tokens`` are for queued requests, ``ahead`` for expected ones. Wishes for
    requests to a limited target name the target as the account.
    """

    account: AccountName
    tokens: float
    ahead: float = 0.0


class EntryPeer(NamedTuple):
    """An entry VM that sends requests to targets for others."""

    vm: VmName
    zone: ZoneName
    host: str  # IP address


class AdapterWish(NamedTuple):
    """Demand for an adapter at an entry VM.

    ``waiting`` counts requests that are queued because no target holds the
    adapter; ``demand`` counts all requests for it since the last sync. Only
    targets of the version ``software`` will do, unless it is empty.
    """

    pool: str
    model: str
    adapter: str
    waiting: int
    demand: float
    software: SoftwareVersion = ''


class AdapterUse(NamedTuple):
    """An entry VM's use of an adapter at a target, in requests.

    Requests without an adapter are counted with an empty label.
    """

    target: TargetName
    label: str
    running: int
    started: int  # since the last sync


class LimitReport(NamedTuple):
    """What a target last said of the requests that it takes, or may reject.

    ``per_s`` is the limit, in requests/s from all entry VMs together. It is
    ``None`` if the target has answered without one after it had named one.
    """

    target: TargetName
    incarnation: int  # of the target, as in its record
    per_s: float | None
    age_s: float  # since the answer arrived


class SyncAsk(NamedTuple):
    """The sync request of an entry VM to a relay, or of a relay to the leader.

    ``crashes`` and ``answered`` report on prompt parts, and are repeated
    until a reply has arrived. ``missing`` lists adapters that targets turned
    out to lack, each in the form ``target label``. A relay omits ``uses`` from
    most of its requests; the last ones stay valid then. ``sends`` are wishes
    for requests to limited targets. ``tolerances`` are the rejections/s that
    brittle targets bear.
    """

    ask: int  # increases with each request of a connection
    vm: VmName
    zone: ZoneName
    version: int  # of the published state that the sender holds
    stamp: int  # of the newest target records that it holds
    epoch: int  # that the stamp belongs to
    tokens: tuple[TokenWish, ...] = ()
    wishes: tuple[AdapterWish, ...] = ()
    uses: tuple[AdapterUse, ...] = ()
    draining: bool = False
    missing: tuple[str, ...] = ()
    shut: tuple[TargetName, ...] = ()  # unreachable targets
    entries: int = 1  # entry VMs that the sender speaks for
    seen: int = 0  # ``number`` of the newest reply received on the connection
    has_uses: bool = True
    quarantine: int = 0  # version of the quarantine state that it holds
    crashes: tuple[TargetCrash, ...] = ()
    answered: tuple[Subject, ...] = ()  # that are suspected
    trials: tuple[TrialWish, ...] = ()
    limits: tuple[LimitReport, ...] = ()  # learned since the last reply
    limit_stamp: int = 0  # of the newest limits that it holds
    sends: tuple[TokenWish, ...] = ()
    streams: tuple[StreamStart, ...] = ()  # begun, until a reply came
    lookups: tuple[StreamKey, ...] = ()  # streams that clients resume
    host: str = ''  # IP address of an entry VM that may be a peer of others
    wants_peers: bool = False  # the sender reaches no target of some pool
    peers: tuple[EntryPeer, ...] = ()  # offered by a relay
    tolerances: tuple[LimitReport, ...] = ()  # like ``limits``
    tolerance_stamp: int = 0
    usage: tuple[VmUsage, ...] = ()  # changed since the last reply
    utc_s: float = 0.0  # a relay's steady clock, with duties
    revision: int = 0  # of the configuration in force at an entry VM
    reads_parts: bool = False  # older builds read whole documents only
    document: DocumentWish | None = None  # if the sender lacks the newest


class RelayInfo(NamedTuple):
    """A control VM that entry VMs can sync with, and its zone."""

    vm: VmName
    zone: ZoneName


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
    software: SoftwareVersion = ''


class TargetLoad(NamedTuple):
    """The requests that all entry VMs together have in progress at a target.

    They include those that wait at the target.
    """

    target: TargetName
    requests: int


class TokenLot(NamedTuple):
    """Tokens issued to an entry VM, for an account or a limited target."""

    account: AccountName
    tokens: float
    short: bool = False  # the bucket held fewer than ``tokens`` of the wish
    age_s: float = 0.0  # since the relay received them
    wait_s: float = 0.0  # expected until all unmet wishes are met, if short


class SyncReply(NamedTuple):
    """The reply to a sync request, or a hint at the leader.

    ``ask`` is the number of the newest sync request read so far.
    ``quorum_age_s`` is the time since the leader sent the message by which a
    quorum last confirmed it; a relay adds the age of its own information.
    ``targets`` are the records that are newer than the request's stamp, or
    all records if ``is_complete`` is set.
    """

    ask: int
    serves: bool  # false if the sender has no state to serve from
    leader: VmName
    term: int
    quorum_age_s: float
    published: PublishedState | None = None
    epoch: int = 0  # names the sequence that ``stamp`` belongs to
    stamp: int = 0
    targets: tuple[TargetRecord, ...] = ()
    removed: tuple[TargetName, ...] = ()  # since the request's stamp
    is_complete: bool = False
    lots: tuple[TokenLot, ...] = ()
    loads: tuple[TargetLoad, ...] = ()  # those that the receiver lacks
    entries: int = 1  # entry VMs that have synced recently, over all relays
    led_s: float = 0.0  # time since the leader was elected
    orders_in_s: float = 0.0  # until it may send orders to engines
    rank: int = 0  # of the entry VM among all, or of the relay among relays
    relays: tuple[RelayInfo, ...] = ()
    number: int = 0  # of this reply on its connection
    is_push: bool = False  # sent because of a change, not of a request
    quarantine: QuarantineState | None = None
    limits: tuple[LimitReport, ...] = ()  # since the request's stamp
    limit_stamp: int = 0
    send_lots: tuple[TokenLot, ...] = ()
    found: tuple[FoundStream, ...] = ()  # answers to lookups
    peers: tuple[EntryPeer, ...] = ()  # if the receiver wants some
    tolerances: tuple[LimitReport, ...] = ()  # like ``limits``
    tolerance_stamp: int = 0
    utc_s: float = 0.0  # the fleet's time, with duties
    usage_floor: int = 0  # windows of usage up to this one are committed
    digest: str = ''  # of the document of ``published``, which is left out
    document: DocumentPart | None = None
