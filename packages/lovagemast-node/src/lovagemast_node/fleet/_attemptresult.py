"""How an attempt to run a request at a target, or over a peer, has ended."""

from enum import Enum
from typing import NamedTuple

from ._refusal import HttpRefusal


class AttemptOutcome(Enum):
    """How an attempt ended.

    Names are values of a metric label. Values are log messages, and part of
    the refusal reason that callers get in a header.
    """

    DONE = 'answered'
    NOT_SENT = 'was not sent'  # the target got nothing
    NOT_RUN = 'did not run it'
    FAILED = 'failed'  # may have run; nothing was sent to the caller
    BROKEN = 'broke off'  # a part of the response was sent to the caller


class AttemptResult(NamedTuple):
    """The outcome of an attempt, with a detail for the log."""

    outcome: AttemptOutcome
    detail: str
    refusal: HttpRefusal | None = None  # the final answer, if it is known
