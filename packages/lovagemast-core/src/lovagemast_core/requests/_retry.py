"""Keeps retries to a fraction of the requests."""

from typing import Final

RETRIES_PER_REQUEST: Final = 0.1
MAX_SAVED: Final = 20.0
MAX_ATTEMPTS: Final = 4


class RetryBudget:
    """Earns a part of a retry with each request."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(MAX_SAVED, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
