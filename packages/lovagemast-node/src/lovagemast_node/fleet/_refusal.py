"""The error responses that an entry VM generates itself."""

from typing import NamedTuple


class HttpRefusal(NamedTuple):
    """An error response that the entry VM generates itself.

    Callers get ``reason`` in a header; its texts are part of the interface.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
