"""How much an account may spend beyond its rate, and who may hold it."""

from typing import Final, NamedTuple

from ..deployment import AccountSpec

# Parts of what an account may spend beyond its rate. The rest covers what a
# new leader starts with.
HELD_PART: Final = 0.58  # held by all entry VMs together
BUCKET_PART: Final = 0.34  # in the leader's bucket


class QuotaBounds(NamedTuple):
    """How strictly operators hold accounts to their rates.

    In any window of ``window_s`` an account may spend its rate and burst,
    ``overage`` (a part of both) and ``slack`` (tokens).
    """

    overage: float
    window_s: float
    slack: float

    def spare(self, account: AccountSpec) -> float:
        """Return the tokens beyond the rate that a window may see."""
        burst = account.burst * (1 + self.overage)
        return burst + account.rate * self.window_s * self.overage + self.slack

    def held(self, account: AccountSpec) -> float:
        """Return the tokens that all entry VMs together may hold."""
        return HELD_PART * self.spare(account)

    def bucket(self, account: AccountSpec) -> float:
        """Return the capacity of the leader's bucket, in tokens."""
        return BUCKET_PART * self.spare(account)
