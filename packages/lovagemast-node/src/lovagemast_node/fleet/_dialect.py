"""What a platform package translates between its wire and the core."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from lovagemast_core.adapters import Order, OrderResult, TargetReport
from lovagemast_core.deployment import Deployment
from lovagemast_core.targets import TargetHeartbeat

from ..http import Headers, HttpRequest, ResponseHead


class CallFacts(NamedTuple):
    """What a caller's headers say of a request."""

    request_id: str
    key: str | None
    deadline_s: float | None  # how long the caller waits
    model: str
    adapter: str
    tokens: float | None  # prompt and longest output together
    prompt_tokens: float
    last_event_id: str


class TargetHead(NamedTuple):
    """What the head of a target's answer says."""

    status: int
    not_executed: bool  # proven: the target did not run the request
    other_target: bool  # another one has the address, or lacks the adapter
    stamped: bool  # the answer bears the target's signature
    running: int | None  # the target's load, where it tells
    waiting: int | None
    encoded: bool  # the body is not the target's own


class Outgoing(NamedTuple):
    """What the system adds to a request for a target."""

    request_id: str
    target: str
    account: str | None
    deadline_s: float
    version: int  # of the adapter that must serve, 0 for any
    last_event_id: str
    priority: int


class EdgeDialect(Protocol):
    """Translates callers' requests and targets' answers."""

    @property
    def id_header(self) -> bytes:
        """Return the header with a request's id, in lower case."""

    def read_call(self, headers: Headers) -> CallFacts | None:
        """Return what the headers say; ``None`` if they are not proper."""

    def call_headers(
        self,
        headers: Headers,
        outgoing: Outgoing,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for a target."""

    def read_head(self, head: ResponseHead) -> TargetHead:
        """Return what the head of an answer says."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that callers get."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
        reason: str,
    ) -> Headers:
        """Return the headers of an answer of the system's own."""

    def read_deployment(self, document: str) -> Deployment | str:
        """Return a configuration, or what is wrong with it."""


class PutConfigCall(NamedTuple):
    """An operator sends a configuration."""

    revision: int
    document: str


class ReadConfigCall(NamedTuple):
    """An operator reads the configuration."""


class ZoneCall(NamedTuple):
    """An operator takes a zone out or in."""

    zone: str
    out: bool


class NameVersionCall(NamedTuple):
    """An operator names a version of an adapter."""

    model: str
    adapter: str
    version: int


class HeartbeatCall(NamedTuple):
    """A target's heartbeat; ``None`` if it cannot be used."""

    beat: TargetHeartbeat | None


class DepartureCall(NamedTuple):
    """A target signs off."""

    target: str


class InvalidCall(NamedTuple):
    """A call that is refused."""

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


class ControlDialect(Protocol):
    """Translates operators', targets' and engines' messages."""

    def read_call(self, req: HttpRequest) -> ControlCall:
        """Return what a call to a control VM asks for."""

    def heartbeat_answer(self, control: str) -> bytes:
        """Return the body that acknowledges a heartbeat."""

    def order_request(self, order: Order, vm: str, request_id: str) -> bytes:
        """Return an order as an HTTP request."""

    def read_order_answer(self, status: int) -> OrderResult:
        """Return what an engine's status says of an order."""

    def report_request(self, target: str, address: str) -> bytes:
        """Return the question for a report as an HTTP request."""

    def read_report(self, target: str, body: bytes) -> TargetReport | None:
        """Return a report, ``None`` if it cannot be read."""

    def read_deployment(self, document: str) -> Deployment | str:
        """Return a configuration, or what is wrong with it."""


OnBroken = Callable[[], None]
