"""Limits retries to a fraction of the requests."""

from typing import Final

RETRIES_PER_REQUEST: Final = 0.1
MAX_SAVED_RETRIES: Final = 20.0
MAX_ATTEMPTS: Final = 4


class RetryBudget:
    """A budget of retries that grows with each request."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Add a request's fraction of a retry to the budget."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
