"""Events that a host passes to a node."""

from enum import StrEnum
from typing import NamedTuple

from ._messages import PeerMessage, TargetFacts
from ._types import AttemptId, RequestId, TargetName, VmName


class CallerRequest(NamedTuple):
    """The properties of a caller's request that the core needs.

    The body and the API key stay with the host; the core sees only digests.
    """

    request: RequestId
    method: str
    path: str
    key_digest: str  # SHA-256 in hex; empty without a key
    model: str  # empty if the body names none
    prompt_tokens: int  # estimate
    max_tokens: int  # 0 if the caller sets no limit
    fingerprint: str  # digest of account-independent content
    prefix: str = ''  # digest of the start of the prompt
    idempotency_key: str = ''  # digest; empty without one
    choices: int = 1  # completions requested, each of up to max_tokens


class RequestArrived(NamedTuple):
    """A complete request arrived from a caller."""

    req: CallerRequest


class CallerDisconnected(NamedTuple):
    """A caller closed its connection before the response ended."""

    request: RequestId


class CallStarted(NamedTuple):
    """The response head of an attempt arrived from a target."""

    attempt: AttemptId
    status: int
    media_type: str


class CallChunk(NamedTuple):
    """A part of the response body arrived from a target."""

    attempt: AttemptId
    chunk: bytes
    tokens: int


class CallEnded(NamedTuple):
    """A target's response ended with its end marker."""

    attempt: AttemptId


class CallFailure(StrEnum):
    """How an attempt failed."""

    NOT_SENT = 'not-sent'  # no byte of the request left this VM
    NOT_LOADED = 'not-loaded'  # the engine lacks the adapter version
    BROKEN = 'broken'  # the connection closed before the end marker


class CallFailed(NamedTuple):
    """An attempt ended without a complete response."""

    attempt: AttemptId
    failure: CallFailure
    detail: str


class PeerReceived(NamedTuple):
    """A message arrived from another VM."""

    sender: VmName
    message: PeerMessage


class LogSynced(NamedTuple):
    """A batch of log writes is durable on disk."""

    batch: int


class ConfigChangeRequested(NamedTuple):
    """An operator applied a complete configuration document."""

    operation: str
    op_id: str
    expected: int
    document: str


class VmRemovalRequested(NamedTuple):
    """An operator declared a VM dead; it is removed from the roster."""

    operation: str
    vm: VmName


class TargetAnnounced(NamedTuple):
    """A target registered, renewed its registration or is leaving."""

    facts: TargetFacts


class OrderAnswered(NamedTuple):
    """A target responded to an order, or the order timed out.

    ``certain`` is false without a response: the order may have taken effect
    or may still do so.
    """

    order: str
    accepted: bool
    detail: str = ''
    certain: bool = True


class ProbeFailure(StrEnum):
    """Why a probe of a target failed."""

    NONE = ''
    REFUSED = 'refused'  # nothing listens at the address
    SILENT = 'silent'  # no response in time


class TargetProbed(NamedTuple):
    """The result of a probe: the target's state or the failure."""

    target: TargetName
    failure: ProbeFailure
    incarnation: str = ''
    adapters: tuple[str, ...] = ()  # labels of the loaded versions
    running: int = -1  # calls; reported with a delay; -1 if unknown
    sent_at: float = 0.0  # s


class DrainRequested(NamedTuple):
    """The VM is to stop: it takes no new requests, running ones finish."""


class Tick(NamedTuple):
    """The deadline requested by the node has passed."""


Event = (
    RequestArrived
    | CallerDisconnected
    | CallStarted
    | CallChunk
    | CallEnded
    | CallFailed
    | PeerReceived
    | LogSynced
    | ConfigChangeRequested
    | VmRemovalRequested
    | TargetAnnounced
    | OrderAnswered
    | TargetProbed
    | DrainRequested
    | Tick
)
