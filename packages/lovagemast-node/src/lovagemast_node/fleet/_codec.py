"""Interfaces of the codecs that a platform package implements.

A codec translates between the platform's HTTP messages and the types of the
core and of this package.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from lovagemast_core.adapters import Order, OrderResult, TargetReport
from lovagemast_core.deployment import Deployment
from lovagemast_core.duties import CallResult, HandedCall
from lovagemast_core.targets import TargetHeartbeat

from ..http import Headers, HttpRequest, ResponseHead


class RequestMetadata(NamedTuple):
    """Request properties decoded from the caller's headers."""

    request_id: str
    key: str | None
    deadline_s: float | None  # how long the caller waits, from arrival
    model: str
    adapter: str
    tokens: float | None  # prompt and maximum output together
    prompt_tokens: float
    last_event_id: str
    parts: tuple[str, ...] = ()  # of the prompt, but for its own last part
    resumes: str = ''  # id of the request that brought the first event


class TargetResponseMetadata(NamedTuple):
    """Response properties decoded from a target's status and headers."""

    status: int
    not_executed: bool  # the target states that it did not run the request
    other_target: bool  # wrong target at the address, or adapter not loaded
    stamped: bool  # has the header that targets add to their responses
    running: int | None  # requests at the target, if it reports them
    waiting: int | None
    encoded: bool  # has a content encoding, which targets do not apply
    limit: float | None = None  # requests/s that it takes; NaN if unreadable
    leaving: bool = False  # the target shuts down
    pause_s: float | None = None  # in which it wants no requests of this VM
    # Rejections/s that a brittle target bears; NaN if unreadable.
    tolerance: float | None = None
    # How long work takes there at present as a multiple of the usual time,
    # if the target says so; NaN if unreadable.
    pace: float | None = None

    @property
    def is_from_target(self) -> bool:
        """Return whether a target wrote the response, and not a proxy."""
        return self.stamped and not self.encoded


class TargetRequestMetadata(NamedTuple):
    """Request properties that the entry VM sends to a target in headers."""

    request_id: str
    target: str
    account: str | None
    deadline_s: float  # time left
    version: int  # required adapter version, 0 for any
    last_event_id: str
    priority: int


class EntryCodec(Protocol):
    """Translates headers of callers' requests and of targets' responses."""

    @property
    def id_header(self) -> bytes:
        """Return the name of the request id header, in lower case."""

    def decode_request(self, headers: Headers) -> RequestMetadata | None:
        """Decode a caller's headers; return ``None`` if they are invalid."""

    def target_request_headers(
        self,
        headers: Headers,
        target_metadata: TargetRequestMetadata,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request that is sent to a target."""

    def peer_request_headers(self, headers: Headers) -> Headers:
        """Return the headers for another entry VM, without the key."""

    def decode_response_head(
        self, head: ResponseHead
    ) -> TargetResponseMetadata:
        """Decode the status and headers of a target's response."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the response headers that are passed to the caller."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
        reason: str,
    ) -> Headers:
        """Return the headers of a refusal that the entry VM generates."""

    def parse_deployment(self, document: str) -> Deployment | str:
        """Parse a configuration document; return an error text if invalid."""


class PutConfigCall(NamedTuple):
    """An operator submits a configuration document."""

    revision: int
    document: str


class ReadConfigCall(NamedTuple):
    """An operator reads the configuration in force."""


class ZoneCall(NamedTuple):
    """An operator takes an availability zone out of service or back in."""

    zone: str
    out: bool


class NameVersionCall(NamedTuple):
    """An operator sets the current version of an adapter."""

    model: str
    adapter: str
    version: int


class HeartbeatCall(NamedTuple):
    """A target sends its heartbeat, which is ``None`` if it is invalid.

    ``detail`` tells what is wrong with it, for the log.
    """

    heartbeat: TargetHeartbeat | None
    detail: str = ''


class DepartureCall(NamedTuple):
    """A target announces that it has shut down."""

    target: str


class InvalidCall(NamedTuple):
    """A call that is rejected with an HTTP status; the detail is logged."""

    status: int
    detail: str


ControlCall = (
    PutConfigCall
    | ReadConfigCall
    | ZoneCall
    | NameVersionCall
    | HeartbeatCall
    | DepartureCall
    | InvalidCall
)


class ControlCodec(Protocol):
    """Translates calls of operators and targets, and engine messages."""

    def decode_call(self, req: HttpRequest) -> ControlCall:
        """Decode a call to a control VM."""

    def heartbeat_response(self, control: str) -> bytes:
        """Return the body that acknowledges a heartbeat."""

    def encode_order(self, order: Order, vm: str, request_id: str) -> bytes:
        """Return an order as an HTTP request."""

    def decode_order_status(self, status: int) -> OrderResult:
        """Return the result of an order from an engine's HTTP status."""

    def encode_report_request(self, target: str, address: str) -> bytes:
        """Return the request for an engine's report as an HTTP request."""

    def decode_report(self, target: str, body: bytes) -> TargetReport | None:
        """Decode an engine's report; return ``None`` if it is invalid."""

    def encode_duty_call(
        self, handed: HandedCall, holder: str, address: str
    ) -> bytes:
        """Return a call to the infrastructure as an HTTP request."""

    def decode_duty_status(self, status: int) -> CallResult:
        """Return the result of a call from the HTTP status."""

    def parse_deployment(self, document: str) -> Deployment | str:
        """Parse a configuration document; return an error text if invalid."""


OnBroken = Callable[[], None]
