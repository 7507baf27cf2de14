"""Bounds on what a target may send for one response.

A target in trouble may send bytes that are no response until its connection
is closed: a head, interim responses, chunk extensions or trailers without
end. None of them reach the consumer of the response, so no deadline between
its events ends them, and the parser keeps some of them in memory.
"""

from typing import Final

from ._bodybudget import BodyShare

MAX_BODY_BYTES: Final = 8_388_608  # of a body that is kept as a whole
MAX_EVENT_BYTES: Final = 1_048_576  # of one event of a stream
# What a response may have beside its body: 64 KiB, and as much as the body,
# for the framing of short chunks. Between parts of the body, 64 KiB only.
MAX_OVERHEAD_BYTES: Final = 65_536


def check_size(body: bytearray, share: BodyShare) -> str:
    """Return why a body is not read on, empty if it may be."""
    if len(body) > MAX_BODY_BYTES:
        return 'the body is too long'
    return '' if share.try_grow(len(body)) else 'no memory for the body'


class ResponseSize:
    """Counts the bytes received for a response, and those of its body."""

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._since_body = 0

    def add_received(self, count: int) -> None:
        """Count bytes that were received from the connection."""
        self._received += count
        self._since_body += count

    def add_body(self, count: int) -> None:
        """Count bytes that were passed on as the body."""
        self._body += count
        self._since_body = 0

    def is_excessive(self) -> bool:
        """Return whether too much was received that is not the body."""
        if self._since_body > MAX_OVERHEAD_BYTES:  # as trailers may be
            return True
        overhead = self._received - self._body
        return overhead > MAX_OVERHEAD_BYTES + self._body
