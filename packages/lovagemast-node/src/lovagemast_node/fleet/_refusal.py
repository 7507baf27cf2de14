"""The error responses that an entry VM generates itself."""

from typing import Final, NamedTuple

ELECTION_RETRY_AFTER_S: Final = 1.0  # about the duration of an election


class HttpRefusal(NamedTuple):
    """An error response that the entry VM generates itself.

    Callers get ``reason`` in a header; its texts are part of the interface.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
