"""Messages by which an entry VM lets a peer send a request to a target."""

from typing import NamedTuple

from .._types import AccountName, RequestId, SoftwareVersion, VmName


class HeaderField(NamedTuple):
    """A header of a request or a response."""

    name: bytes
    value: bytes


class ForwardRequest(NamedTuple):
    """A request that its entry VM has admitted and charged.

    Its headers hold no key. At most one target may run it. Where a stream goes
    on, ``software`` names the version that began it.
    """

    vm: VmName  # that admitted it
    request_id: RequestId
    method: str
    target: str  # path and query
    headers: tuple[HeaderField, ...]
    body: bytes
    pool: str
    account: AccountName  # empty if none
    timeout_s: float  # time left
    last_event_id: str = ''
    software: SoftwareVersion | None = None


class ForwardHead(NamedTuple):
    """The head of a target's response, and the target's software version."""

    status: int
    headers: tuple[HeaderField, ...]
    software: SoftwareVersion = ''


class ForwardRefusal(NamedTuple):
    """Why a peer has no response.

    ``is_of_peer`` is set if another peer may serve the request.
    """

    status: int
    reason: str
    retry_after_s: float | None
    may_have_run: bool
    is_of_peer: bool = False


class ForwardEvent(NamedTuple):
    """A part of the response: the head, bytes of the body, or the end.

    A response without ``is_end`` is incomplete.
    """

    head: ForwardHead | None = None
    chunk: bytes = b''
    is_end: bool = False
    refusal: ForwardRefusal | None = None
