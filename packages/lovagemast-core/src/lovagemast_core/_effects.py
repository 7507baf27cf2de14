"""Wishes of a node, which its host carries out in order."""

from typing import NamedTuple

from ._commands import Outcome
from ._messages import Entry, PeerMessage
from ._state import StateSnapshot
from ._timeline import TimelineEvent
from ._types import (
    AttemptId,
    Refusal,
    RequestId,
    TargetName,
    VmName,
)


class SendPeer(NamedTuple):
    """Send a message to another VM, at most once and without waiting."""

    vm: VmName
    message: PeerMessage


class HardState(NamedTuple):
    """A replica's term and the vote it gave in that term."""

    term: int = 0
    voted_for: str = ''


class SavedSnapshot(NamedTuple):
    """The replicated state at an index of the log."""

    last_index: int = 0
    last_term: int = 0
    voters: tuple[str, ...] = ()
    state: StateSnapshot = StateSnapshot()


class PersistLog(NamedTuple):
    """Write to the log and sync, then answer with ``LogSynced(batch)``.

    Applied in the order of the fields: the snapshot replaces the log up to
    its index, ``truncate_from`` drops that index and all after it, the
    entries are appended, and the hard state replaces the former one.
    """

    batch: int
    snapshot: SavedSnapshot | None
    truncate_from: int | None
    entries: tuple[Entry, ...]
    hard_state: HardState | None


class OpenCall(NamedTuple):
    """Send a request to a target as one attempt.

    ``fresh_connection`` forbids an idle connection, which may be dead.
    """

    attempt: AttemptId
    request: RequestId
    target: TargetName
    address: str
    label: str
    max_tokens: int  # to be set in an engine's request
    fence: int
    fresh_connection: bool


class CancelCall(NamedTuple):
    """Abort an attempt and close its connection."""

    attempt: AttemptId


class StartResponse(NamedTuple):
    """Start the answer to a caller."""

    request: RequestId
    status: int
    media_type: str


class SendResponseChunk(NamedTuple):
    """Pass a part of the answer on to a caller."""

    request: RequestId
    chunk: bytes


class EndResponse(NamedTuple):
    """End the answer; ``failure`` says why it is not whole."""

    request: RequestId
    failure: Refusal | None


class SendRefusal(NamedTuple):
    """Answer a caller with a problem body."""

    request: RequestId
    refusal: Refusal


class SendStoredResponse(NamedTuple):
    """Answer a repeated call with the recorded outcome of the first."""

    request: RequestId
    status: int
    media_type: str
    body: bytes


class ReplyToOperator(NamedTuple):
    """Answer an operator's change."""

    operation: str
    outcome: Outcome


class OrderTarget(NamedTuple):
    """Load or unload an adapter version at a target."""

    order: str
    target: TargetName
    address: str
    load: bool
    label: str
    fence: int


class ProbeTarget(NamedTuple):
    """Ask a target for its state, answered by ``TargetProbed``."""

    target: TargetName
    address: str
    engine: bool
    sent_at: float  # s; comes back in the answer


class Record(NamedTuple):
    """Add an event to the time line."""

    event: TimelineEvent


Effect = (
    SendPeer
    | PersistLog
    | OpenCall
    | CancelCall
    | StartResponse
    | SendResponseChunk
    | EndResponse
    | SendRefusal
    | SendStoredResponse
    | ReplyToOperator
    | OrderTarget
    | ProbeTarget
    | Record
)
