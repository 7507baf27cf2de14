"""How many requests to a limited target may come at once."""

from typing import Final

from ..deployment import AccountSpec

BURST_S: Final = 1.0  # of a target's limit that may be saved up


class SendBounds:
    """Bounds of the tokens that allow requests to a limited target.

    A token allows one request. None are held ahead: limits are a few
    requests/s, and tokens that wait at one VM are missing at another.
    """

    @property
    def is_whole(self) -> bool:
        """Return whether only whole tokens are issued."""
        return True

    def max_held(self, account: AccountSpec) -> float:
        """Return the tokens that entry VMs may hold ahead."""
        return 0.0

    def bucket_capacity(self, account: AccountSpec) -> float:
        """Return the capacity of the leader's bucket, in tokens."""
        return 1.0 + BURST_S * account.rate
