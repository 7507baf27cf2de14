"""Bounds of what an account may spend beyond its rate, and their split."""

from typing import Final, NamedTuple, Protocol

from ..deployment import AccountSpec

# Fractions of what an account may spend beyond its rate. The rest covers the
# initial fill of a new leader's bucket.
HELD_FRACTION: Final = 0.58  # held by all entry VMs together
BUCKET_FRACTION: Final = 0.34  # capacity of the leader's bucket


class TokenBounds(Protocol):
    """Bounds of the tokens of one account."""

    @property
    def is_whole(self) -> bool:
        """Return whether only whole tokens are issued."""

    def max_held(self, account: AccountSpec) -> float:
        """Return the most tokens that all entry VMs together may hold."""

    def bucket_capacity(self, account: AccountSpec) -> float:
        """Return the capacity of the leader's bucket, in tokens."""


class QuotaBounds(NamedTuple):
    """Tolerances within which accounts are held to their rates.

    In any window of ``window_s`` an account may spend its rate and burst,
    both increased by the fraction ``overage``, and ``slack`` more tokens.
    """

    overage: float
    window_s: float
    slack: float

    @property
    def is_whole(self) -> bool:
        """Return whether only whole tokens are issued."""
        return False

    def allowance(self, account: AccountSpec) -> float:
        """Return the tokens beyond the rate that may be spent in a window."""
        burst = account.burst * (1 + self.overage)
        return burst + account.rate * self.window_s * self.overage + self.slack

    def max_held(self, account: AccountSpec) -> float:
        """Return the most tokens that all entry VMs together may hold."""
        return HELD_FRACTION * self.allowance(account)

    def bucket_capacity(self, account: AccountSpec) -> float:
        """Return the capacity of the leader's bucket, in tokens."""
        return BUCKET_FRACTION * self.allowance(account)
