"""Effects that a node requests and its host carries out in order."""

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
    """Send a message to another VM: at most once, without acknowledgement."""

    vm: VmName
    message: PeerMessage


class HardState(NamedTuple):
    """A replica's current term and the vote that it cast in that term."""

    term: int = 0
    voted_for: str = ''


class SavedSnapshot(NamedTuple):
    """A snapshot of the replicated state at a log index."""

    last_index: int = 0
    last_term: int = 0
    voters: tuple[str, ...] = ()
    state: StateSnapshot = StateSnapshot()


class PersistLog(NamedTuple):
    """Write to the log, sync it and report ``LogSynced(batch)``.

    The changes apply in the order of the fields: the snapshot replaces the
    log up to its index, ``truncate_from`` drops that index and all later
    ones, the entries are appended and the hard state is replaced.
    """

    batch: int
    snapshot: SavedSnapshot | None
    truncate_from: int | None
    entries: tuple[Entry, ...]
    hard_state: HardState | None


class OpenCall(NamedTuple):
    """Send a request to a target as one attempt.

    ``fresh_connection`` forbids reuse of an idle connection, which the
    target may have closed already.
    """

    attempt: AttemptId
    request: RequestId
    target: TargetName
    address: str
    label: str
    max_tokens: int  # to set in requests to engines
    fence: int
    fresh_connection: bool


class CancelCall(NamedTuple):
    """Abort an attempt and close its connection to the target."""

    attempt: AttemptId


class StartResponse(NamedTuple):
    """Start the HTTP response to a caller."""

    request: RequestId
    status: int
    media_type: str


class SendResponseChunk(NamedTuple):
    """Send a part of the response body to a caller."""

    request: RequestId
    chunk: bytes


class EndResponse(NamedTuple):
    """End the response; ``failure`` is set if it is incomplete."""

    request: RequestId
    failure: Refusal | None


class SendRefusal(NamedTuple):
    """Respond to a caller with a problem document."""

    request: RequestId
    refusal: Refusal


class SendStoredResponse(NamedTuple):
    """Respond to a repeated call with the stored outcome of the first."""

    request: RequestId
    status: int
    media_type: str
    body: bytes


class ReplyToOperator(NamedTuple):
    """Report the outcome of an operator's request."""

    operation: str
    outcome: Outcome


class OrderTarget(NamedTuple):
    """Order a target to load or unload an adapter version.

    The target's reply arrives as ``OrderAnswered``.
    """

    order: str
    target: TargetName
    address: str
    load: bool
    label: str
    fence: int


class ProbeTarget(NamedTuple):
    """Query a target's state; the result arrives as ``TargetProbed``."""

    target: TargetName
    address: str
    engine: bool
    sent_at: float  # s; returned in the result


class Record(NamedTuple):
    """Add an event to the timeline."""

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
