"""Arrivals that a host hands to a node."""

from enum import StrEnum
from typing import NamedTuple

from ._messages import PeerMessage, TargetFacts
from ._types import AttemptId, RequestId, TargetName, VmName


class CallerRequest(NamedTuple):
    """What the core needs to know of a caller's request.

    The body and the key stay with the host: the core sees digests only.
    """

    request: RequestId
    method: str
    path: str
    key_digest: str  # SHA-256 in hex; empty without a key
    model: str  # empty where the body names none
    prompt_tokens: int  # estimate
    max_tokens: int  # 0 where the caller sets no limit
    fingerprint: str  # digest of account-independent content
    prefix: str = ''  # digest of the start of the prompt
    idempotency_key: str = ''  # digest; empty without one
    choices: int = 1  # answers wanted, each of up to max_tokens


class RequestArrived(NamedTuple):
    """A caller sent a whole request."""

    req: CallerRequest


class CallerDisconnected(NamedTuple):
    """A caller closed its connection before the answer's end."""

    request: RequestId


class CallStarted(NamedTuple):
    """A target answered an attempt's head."""

    attempt: AttemptId
    status: int
    media_type: str


class CallChunk(NamedTuple):
    """A target sent a part of an answer."""

    attempt: AttemptId
    chunk: bytes
    tokens: int


class CallEnded(NamedTuple):
    """A target's answer ended with its end mark."""

    attempt: AttemptId


class CallFailure(StrEnum):
    """How an attempt failed."""

    NOT_SENT = 'not-sent'  # no byte of the request left this VM
    NOT_LOADED = 'not-loaded'  # the engine lacks the adapter version
    BROKEN = 'broken'  # the connection ended before the end mark


class CallFailed(NamedTuple):
    """An attempt ended without a whole answer."""

    attempt: AttemptId
    failure: CallFailure
    detail: str


class PeerReceived(NamedTuple):
    """A message arrived from another VM."""

    sender: VmName
    message: PeerMessage


class LogSynced(NamedTuple):
    """A batch of log writes lasts on the disk."""

    batch: int


class ConfigChangeRequested(NamedTuple):
    """An operator applies a whole configuration document."""

    operation: str
    op_id: str
    expected: int
    document: str


class VmRemovalRequested(NamedTuple):
    """An operator declares a VM dead, which takes it off the roster."""

    operation: str
    vm: VmName


class TargetAnnounced(NamedTuple):
    """A target registered, repeated its registration or leaves."""

    facts: TargetFacts


class OrderAnswered(NamedTuple):
    """A target answered an order, or did not in time.

    Without an answer the order is not ``certain``: it may have taken
    effect or still do so.
    """

    order: str
    accepted: bool
    detail: str = ''
    certain: bool = True


class ProbeFailure(StrEnum):
    """Why a probe of a target has no answer."""

    NONE = ''
    REFUSED = 'refused'  # nothing listens at the address
    SILENT = 'silent'  # no answer in time


class TargetProbed(NamedTuple):
    """A target's state, or the reason why it is not known."""

    target: TargetName
    failure: ProbeFailure
    incarnation: str = ''
    adapters: tuple[str, ...] = ()  # labels that are loaded
    running: int = -1  # calls, as reported with a lag; -1 if unknown
    sent_at: float = 0.0  # s


class DrainRequested(NamedTuple):
    """The VM is to stop: no new requests, running ones end."""


class Tick(NamedTuple):
    """The deadline that the node asked for has passed."""


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
