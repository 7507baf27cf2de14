"""Messages between VMs. The wire package mirrors each one field by field."""

from enum import StrEnum
from typing import NamedTuple

from ._commands import Command, Outcome
from ._state import PublishedState, StateSnapshot
from ._types import (
    AccountName,
    AttemptId,
    Priority,
    Reason,
    TargetName,
    VmName,
)
from .adapters._orders import Order, OrderOutcome
from .agreement._roster import RosterEntry


class Entry(NamedTuple):
    """One entry of the replicated log."""

    log_index: int
    term: int
    command: Command


class VoteAsk(NamedTuple):
    """Asks a replica for its vote; ``pre`` only sounds out the chances."""

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


class AppendEntries(NamedTuple):
    """Replicates entries after ``prev_index``; empty ones are heartbeats."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float = 0.0  # s on the leader's clock; the reply returns it


class AppendReply(NamedTuple):
    """Tells the leader how far a replica's log matches its own."""

    term: int
    replica: str
    accepted: bool
    match_index: int  # last index known to match, or a hint on a mismatch
    asked_at: float = 0.0  # s, when the leader sent what this answers


class InstallSnapshot(NamedTuple):
    """Replaces a replica's log up to ``last_index``."""

    term: int
    leader: str
    last_index: int
    last_term: int
    voters: tuple[str, ...]
    state: StateSnapshot
    sent_at: float = 0.0  # s on the leader's clock


class ReplicaHello(NamedTuple):
    """Announces a replica's identity to the other control VMs."""

    replica: str
    empty: bool  # holds no log at all


class Propose(NamedTuple):
    """Asks the leader to commit a command."""

    proposal: str
    command: Command


class ProposalDone(NamedTuple):
    """Answers a :class:`Propose` after the command was applied."""

    proposal: str
    outcome: Outcome


class Heartbeat(NamedTuple):
    """Shows that a VM is alive and what it knows."""

    boot: str
    version: int
    revision: int
    leader: VmName
    leader_term: int
    quorum_age_s: float  # since the quorum last confirmed the version
    draining: bool


class Publish(NamedTuple):
    """Passes a newer published state on."""

    state: PublishedState
    quorum_age_s: float


class VmHello(NamedTuple):
    """Asks the leader to put a VM on the roster."""

    entry: RosterEntry


class ShareAsk(NamedTuple):
    """Asks the leader to renew the leased part of a VM's share."""

    boot: str
    epoch: int
    leased: float  # fraction of every account's rate now in use
    valid_s: float
    idle: bool  # set aside, so that it needs no share


class ShareGrant(NamedTuple):
    """Grants a leased fraction from the moment the ask was sent."""

    epoch: int
    leased: float
    lease_s: float


class TokenAsk(NamedTuple):
    """Asks another VM for tokens of a client account.

    A VM that is short itself lends only to one that has waited longer, so
    that tokens gather where they can be spent.
    """

    ask: str
    account: AccountName
    amount: float
    waited_s: float


class TokenGrant(NamedTuple):
    """Lends tokens, which count from when they were asked for."""

    ask: str
    account: AccountName
    amount: float


class TokenSettle(NamedTuple):
    """Ends a loan and gives back what was not spent."""

    ask: str
    unused: float


class FenceSeen(NamedTuple):
    """The highest fencing number that a VM knows for a target."""

    target: TargetName
    fence: int


class LeaseAsk(NamedTuple):
    """Asks for consent to own targets for the lease time.

    ``fences`` holds the asker's fencing number for each target.
    """

    round: int
    fences: tuple[FenceSeen, ...]


class LeaseReply(NamedTuple):
    """Consents to every target of the round but the refused ones."""

    round: int
    refused: tuple[TargetName, ...]
    fences: tuple[FenceSeen, ...]


class LeaseRelease(NamedTuple):
    """Gives the consents of all rounds so far back for some targets."""

    round: int
    targets: tuple[TargetName, ...]


class TargetFacts(NamedTuple):
    """What a target announces of itself."""

    target: TargetName
    zone: str
    pool: str
    address: str  # host:port
    incarnation: str
    seq: int  # rises with each announcement
    adapter_slots: int
    max_in_flight: int
    leaving: bool = False


class TargetNews(NamedTuple):
    """Passes a target's announcement on."""

    facts: TargetFacts


class TargetSummary(NamedTuple):
    """What the owner of a target tells the VMs that place requests.

    Without ``lists_adapters`` the adapters are those of the last list.
    """

    target: TargetName
    fence: int
    incarnation: str
    ready: bool
    limit: int
    in_flight: int
    queued: int
    service_s: float  # smoothed time of a call in a slot
    load_wait_s: float  # recent time from a wish to load to its end
    lists_adapters: bool
    adapters: tuple[str, ...]  # labels, loaded or to be loaded


class Summaries(NamedTuple):
    """Summaries of all targets that a VM owns, and its loads under way."""

    summaries: tuple[TargetSummary, ...]
    loads_in_flight: int


class Ticket(NamedTuple):
    """A request's place at a target, queued or granted."""

    attempt: AttemptId
    account: AccountName
    label: str  # adapter version; empty at a plain service
    fingerprint: str
    weight: float
    priority: Priority
    cost: float  # tokens
    suspect: bool


class TicketAsk(NamedTuple):
    """Asks the owner of a target to admit a request."""

    target: TargetName
    ticket: Ticket
    patience_s: float


class TicketGrant(NamedTuple):
    """Admits an attempt; its call must end within ``valid_s``."""

    attempt: AttemptId
    target: TargetName
    incarnation: str
    fence: int
    valid_s: float
    load_wait_s: float  # part of the wait that was an adapter load


class TicketRefuse(NamedTuple):
    """Does not admit an attempt; it has not run."""

    attempt: AttemptId
    target: TargetName
    reason: Reason
    retry_after_s: float


class Ending(StrEnum):
    """How the use of a ticket ended."""

    WHOLE = 'whole'  # the target answered with its end mark
    CANCELLED = 'cancelled'  # the caller left
    ABANDONED = 'abandoned'  # never sent to the target
    NOT_LOADED = 'not-loaded'  # the engine lacked the adapter version
    SILENT = 'silent'  # nothing came in time
    BROKEN = 'broken'  # the connection ended before the end mark


class TicketReturn(NamedTuple):
    """Ends a ticket, granted or not."""

    attempt: AttemptId
    target: TargetName
    ending: Ending
    first_chunk_s: float


class TicketClosed(NamedTuple):
    """Says whether the target crashed under a call that broke off."""

    attempt: AttemptId
    crashed: bool
    quarantined: bool


class RunningAsk(NamedTuple):
    """Asks which calls a VM has running at a target."""

    target: TargetName
    fence: int
    asked_at: float  # s, by the asker's clock; comes back in the reply


class RunningReply(NamedTuple):
    """Lists the running calls of one VM at a target."""

    target: TargetName
    fence: int
    asked_at: float  # s
    tickets: tuple[Ticket, ...]


class RelayHello(NamedTuple):
    """Tells the leader that a control VM can send orders for it."""

    clock: float  # s, by the sender's clock; comes back in each order


class RelayOrder(NamedTuple):
    """Asks a control VM to send an order to an engine."""

    order: Order
    term: int
    clock: float  # of the newest hello


class RelayDone(NamedTuple):
    """Says what came of a :class:`RelayOrder`."""

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
)
