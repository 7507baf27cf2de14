"""Messages between VMs.

The protobuf messages of the wire package have the same names and fields.
"""

from enum import StrEnum
from typing import NamedTuple

from ._commands import Command, Outcome
from ._state import PublishedState, StateSnapshot
from ._types import AccountName, AttemptId, Priority, Reason, TargetName, VmName
from .adapters._orders import Order, OrderOutcome
from .agreement._roster import RosterEntry
from .duties._records import DutyMessage
from .streams._records import StreamAnswer, StreamCopies, StreamQuery


class Entry(NamedTuple):
    """An entry of the replicated log."""

    log_index: int
    term: int
    command: Command


class VoteAsk(NamedTuple):
    """Requests a replica's vote; ``pre`` marks a pre-vote."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


class VoteReply(NamedTuple):
    """Answers a :class:`VoteAsk` of the same term."""

    term: int
    voter: str
    granted: bool
    pre: bool
    format: int = 0  # of the commands that the sender reads


class AppendEntries(NamedTuple):
    """Replicates the entries after ``prev_index``; none for a heartbeat."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float = 0.0  # s, leader's clock; returned in the reply


class AppendReply(NamedTuple):
    """Reports to the leader how far a replica's log matches its log."""

    term: int
    replica: str
    accepted: bool
    match_index: int  # last matching index, or a hint after a mismatch
    asked_at: float = 0.0  # s, ``sent_at`` of the answered message
    format: int = 0  # of the commands that the sender reads


class InstallSnapshot(NamedTuple):
    """Replaces a replica's log up to ``last_index`` by a snapshot."""

    term: int
    leader: str
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    state: StateSnapshot
    sent_at: float = 0.0  # s, leader's clock


class ReplicaHello(NamedTuple):
    """Announces a replica's identity to the other control VMs."""

    replica: str
    empty: bool  # the replica has no log
    format: int = 0  # of the commands that the sender reads


class Propose(NamedTuple):
    """Asks the leader to commit a command."""

    proposal: str
    command: Command
    basis: int | None = None  # log index that the proposer had applied


class ProposalDone(NamedTuple):
    """Reports the outcome of a :class:`Propose` once it is applied."""

    proposal: str
    outcome: Outcome


class Heartbeat(NamedTuple):
    """Signals that a VM is alive and which state it has."""

    boot: str
    version: int
    revision: int
    leader: VmName
    leader_term: int
    quorum_age_s: float  # since the quorum last confirmed the version
    draining: bool


class Publish(NamedTuple):
    """Sends a newer published state to another VM."""

    state: PublishedState
    quorum_age_s: float


class VmHello(NamedTuple):
    """Asks the leader to add a VM to the roster."""

    entry: RosterEntry


class ShareAsk(NamedTuple):
    """Asks the leader to renew the leased part of a VM's rate share."""

    boot: str
    epoch: int
    leased: float  # fraction of every account's rate now in use
    valid_s: float
    idle: bool  # the VM takes no requests and needs no share


class ShareGrant(NamedTuple):
    """Grants a leased fraction, valid from when the request was sent."""

    epoch: int
    leased: float
    lease_s: float


class TokenAsk(NamedTuple):
    """Asks another VM to lend tokens of a client account.

    A VM that lacks tokens itself lends only to a VM that has waited longer,
    so that tokens collect where they can be spent.
    """

    ask: str
    account: AccountName
    amount: float
    waited_s: float


class TokenGrant(NamedTuple):
    """Lends tokens; the loan term starts when they were requested."""

    ask: str
    account: AccountName
    amount: float


class TokenSettle(NamedTuple):
    """Ends a loan and returns the unused tokens."""

    ask: str
    unused: float


class FenceSeen(NamedTuple):
    """The highest fencing token that a VM has seen for a target."""

    target: TargetName
    fence: int


class LeaseAsk(NamedTuple):
    """Asks for consent to own targets for the lease time.

    ``fences`` holds the sender's fencing token for each target.
    """

    round: int
    fences: tuple[FenceSeen, ...]


class LeaseReply(NamedTuple):
    """Consents to all targets of the round except the refused ones."""

    round: int
    refused: tuple[TargetName, ...]
    fences: tuple[FenceSeen, ...]


class LeaseRelease(NamedTuple):
    """Returns the consents of this and earlier rounds for some targets."""

    round: int
    targets: tuple[TargetName, ...]


class TargetFacts(NamedTuple):
    """The announcement of a target: its identity, address and capacity."""

    target: TargetName
    zone: str
    pool: str
    address: str  # host:port
    incarnation: str
    seq: int  # increases with each announcement
    adapter_slots: int
    max_in_flight: int
    leaving: bool = False


class TargetNews(NamedTuple):
    """Forwards a target's announcement to another VM."""

    facts: TargetFacts


class TargetSummary(NamedTuple):
    """The state of a target, sent by its owner to the VMs that place requests.

    Without ``lists_adapters`` the adapters of the last list still apply.
    """

    target: TargetName
    fence: int
    incarnation: str
    ready: bool
    limit: int
    in_flight: int
    queued: int
    service_s: float  # moving average of a call's time in a slot
    load_wait_s: float  # recent time from a load request to its end
    lists_adapters: bool
    adapters: tuple[str, ...]  # labels, loaded or about to be loaded


class Summaries(NamedTuple):
    """Summaries of all targets that a VM owns, and its running loads."""

    summaries: tuple[TargetSummary, ...]
    loads_in_flight: int


class Ticket(NamedTuple):
    """A request's admission ticket at a target, queued or granted."""

    attempt: AttemptId
    account: AccountName
    label: str  # adapter version; empty for a plain service
    fingerprint: str
    weight: float
    priority: Priority
    cost: float  # tokens
    suspect: bool  # a target crashed while running this request


class TicketAsk(NamedTuple):
    """Asks the owner of a target to admit a request.

    ``patience_s`` is how long the request may still wait in the queue.
    """

    target: TargetName
    ticket: Ticket
    patience_s: float


class TicketGrant(NamedTuple):
    """Admits an attempt, whose call must end within ``valid_s``."""

    attempt: AttemptId
    target: TargetName
    incarnation: str
    fence: int
    valid_s: float
    load_wait_s: float  # part of the wait due to an adapter load


class TicketRefuse(NamedTuple):
    """Refuses to admit an attempt, which has not run."""

    attempt: AttemptId
    target: TargetName
    reason: Reason
    retry_after_s: float


class Ending(StrEnum):
    """How the use of a ticket ended."""

    WHOLE = 'whole'  # complete response, up to the end marker
    CANCELLED = 'cancelled'  # the caller disconnected
    ABANDONED = 'abandoned'  # never sent to the target
    NOT_LOADED = 'not-loaded'  # the engine lacked the adapter version
    SILENT = 'silent'  # timed out, or retried after an error status
    BROKEN = 'broken'  # the connection closed before the end marker


class TicketReturn(NamedTuple):
    """Returns a ticket to the owner, whether it was granted or not."""

    attempt: AttemptId
    target: TargetName
    ending: Ending
    first_chunk_s: float


class TicketClosed(NamedTuple):
    """Reports whether the target crashed during a call that broke off."""

    attempt: AttemptId
    crashed: bool
    quarantined: bool


class RunningAsk(NamedTuple):
    """Asks a VM which of its calls are running at a target."""

    target: TargetName
    fence: int
    asked_at: float  # s, sender's clock; returned in the reply


class RunningReply(NamedTuple):
    """Lists the running calls of a VM at a target."""

    target: TargetName
    fence: int
    asked_at: float  # s
    tickets: tuple[Ticket, ...]


class RelayHello(NamedTuple):
    """Tells the leader that a control VM can send orders on its behalf."""

    clock: float  # s, sender's clock; returned in each order
    has_duties: bool = False  # it can call the infrastructure too


class RelayOrder(NamedTuple):
    """Asks a control VM to send an order to an engine."""

    order: Order
    term: int
    clock: float  # s, ``clock`` of the latest hello


class RelayDone(NamedTuple):
    """Reports the outcome of a :class:`RelayOrder`."""

    outcome: OrderOutcome


PeerMessage = (
    VoteAsk
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | ReplicaHello
    | Propose
    | ProposalDone
    | Heartbeat
    | Publish
    | VmHello
    | ShareAsk
    | ShareGrant
    | TokenAsk
    | TokenGrant
    | TokenSettle
    | LeaseAsk
    | LeaseReply
    | LeaseRelease
    | TargetNews
    | Summaries
    | TicketAsk
    | TicketGrant
    | TicketRefuse
    | TicketReturn
    | TicketClosed
    | RunningAsk
    | RunningReply
    | RelayHello
    | RelayOrder
    | RelayDone
    | StreamCopies
    | StreamQuery
    | StreamAnswer
    | DutyMessage
)
