"""Identifiers and outcome types shared by the whole core."""

from enum import IntEnum, StrEnum
from typing import Final, NamedTuple

VmName = str
ZoneName = str
AccountName = str
TargetName = str
RequestId = str
AttemptId = str
Subject = str  # of a quarantine: a prompt part, or a whole request
SoftwareVersion = str  # of a target's program; versions have no order


class Reason(StrEnum):
    """Reason codes of refused or failed requests; part of the API."""

    ADAPTER_FORBIDDEN = 'adapter-forbidden'
    ADAPTER_UNAVAILABLE = 'adapter-unavailable'
    BAD_MODEL = 'bad-model'
    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    CONTROL_UNREACHABLE = 'control-unreachable'
    DRAINING = 'draining'
    DUPLICATE_IN_PROGRESS = 'duplicate-in-progress'
    DUPLICATE_MISMATCH = 'duplicate-mismatch'
    HEADER_TOO_LARGE = 'header-too-large'
    KEY_MISSING = 'key-missing'
    KEY_STALE = 'key-stale'
    KEY_UNKNOWN = 'key-unknown'
    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    OVER_RATE = 'over-rate'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    TARGET_FAILED = 'target-failed'
    TARGET_SILENT = 'target-silent'


class ExecutionStatus(StrEnum):
    """Whether a target may have executed a request."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Priority(IntEnum):
    """Priority of a route's requests at a target; lower values go first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


HTTP_STATUS: Final = {
    Reason.ADAPTER_FORBIDDEN: 403,
    Reason.ADAPTER_UNAVAILABLE: 404,
    Reason.BAD_MODEL: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CONTROL_UNREACHABLE: 503,
    Reason.DRAINING: 503,
    Reason.DUPLICATE_IN_PROGRESS: 409,
    Reason.DUPLICATE_MISMATCH: 422,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.KEY_MISSING: 401,
    Reason.KEY_STALE: 503,
    Reason.KEY_UNKNOWN: 401,
    Reason.NO_ROUTE: 404,
    Reason.NO_TARGET: 503,
    Reason.OVER_RATE: 429,
    Reason.OVERLOADED: 503,
    Reason.QUARANTINED: 422,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_SILENT: 504,
}


class Refusal(NamedTuple):
    """The reason why a request is refused or has failed.

    ``run`` is :attr:`ExecutionStatus.NOT_RUN` only if no target can have
    executed the request. ``retry_after_s`` is in seconds.
    """

    reason: Reason
    detail: str
    run: ExecutionStatus = ExecutionStatus.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status for the reason."""
        return HTTP_STATUS[self.reason]


class AdapterRef(NamedTuple):
    """A version of an adapter of a base model."""

    base: str
    adapter: str
    version: str

    @classmethod
    def from_model(cls, model: str) -> 'AdapterRef | Refusal':
        """Parse a model name of the form ``base:adapter@version``."""
        base, _, rest = model.partition(':')
        adapter, _, version = rest.partition('@')
        if base and adapter and version:
            return cls(base, adapter, version)
        return Refusal(
            Reason.BAD_MODEL,
            f'model {model!r} is not of the form base:adapter@version',
        )

    @property
    def label(self) -> str:
        """Return the name under which targets load this version."""
        return f'{self.adapter}@{self.version}'

    @property
    def model(self) -> str:
        """Return the model name as used in requests."""
        return f'{self.base}:{self.label}'
