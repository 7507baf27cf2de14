"""Shares of client accounts in the targets of a pool, under overload.

The load: one account sends several times what the others send, and all of
them together more than the targets can take. Each is due a share by its
weight, of the work that targets have taken over the last seconds. An account
whose configured rate is higher than the others' has a larger weight; accounts
without a rate are weighted equally.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import AccountName
from ..deployment import AccountSpec
from ._decayingsums import DecayingSums

# Bounds of a weight. Without them an account with a tiny rate would wait for
# minutes, and one with a huge rate would hold all targets.
MIN_WEIGHT: Final = 0.25
MAX_WEIGHT: Final = 8.0
# Over which an account's excess is remembered: a few objectives long, so that
# a burst is paid for while its effects last, and forgotten after.
SHARE_TIME_CONSTANT_S: Final = 4.0
# Accounts that differ from their share by less are equal: by one request's
# work, as each send puts its account ahead by that much, and by a part of the
# share, as arrivals vary by chance. Priority decides between such accounts.
EXCESS_STEP_REQUESTS: Final = 1.0
EXCESS_STEP_FRACTION: Final = 0.5
# With more weights on record, those without recent work are dropped.
MAX_WEIGHTS: Final = 4_096


def account_weights(
    accounts: Iterable[AccountSpec],
) -> dict[AccountName, float]:
    """Return the weights of all accounts with a rate; others have 1.

    A weight is the ratio of an account's rate to the mean of the accounts
    whose rate is in the same unit.
    """
    by_unit: dict[bool, list[AccountSpec]] = defaultdict(list)
    for account in accounts:
        if account.rate > 0:
            by_unit[account.by_tokens].append(account)
    weights = {}
    for group in by_unit.values():
        mean = sum(account.rate for account in group) / len(group)
        for account in group:
            weight = account.rate / mean
            weights[account.name] = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
    return weights


class ShareScale(NamedTuple):
    """What all accounts are compared with at a time."""

    now: float
    fair_work: float  # taken lately per unit of weight
    step: float  # work by which an account has to be over its share


class AccountShares:
    """The work that targets have taken from each account lately."""

    def __init__(self) -> None:
        self._work: DecayingSums[AccountName] = DecayingSums(
            SHARE_TIME_CONSTANT_S
        )
        self._sends: DecayingSums[str] = DecayingSums(SHARE_TIME_CONSTANT_S)
        self._weights: dict[AccountName, float] = {}

    def record_send(
        self, account: AccountName, weight: float, work: float, now: float
    ) -> None:
        """Count the work of a request that a target takes."""
        self._work.add(account, work, now)
        self._sends.add('', 1.0, now)
        self._weights[account] = weight
        if len(self._weights) > MAX_WEIGHTS:
            self._weights = {
                name: known
                for name, known in self._weights.items()
                if name in self._work
            }

    def work_of(self, account: AccountName, now: float) -> float:
        """Return the work that was taken of an account lately."""
        return self._work.get(account, now)

    def fraction_of(self, account: AccountName, now: float) -> float:
        """Return an account's part of all work, 1 before any was taken."""
        total = self._work.total(now)
        return self.work_of(account, now) / total if total else 1.0

    def mean_work(self, now: float) -> float:
        """Return the mean work of a request, 1 before any was sent."""
        sends = self._sends.total(now)
        return self._work.total(now) / sends if sends else 1.0

    def scale(self, waiting: Iterable[AccountName], now: float) -> ShareScale:
        """Return the fair share; the accounts that wait are due one too."""
        accounts = {*self._work, *waiting}
        weights = sum(map(self._weight, accounts))
        fair_work = self._work.total(now) / weights if weights else 0.0
        step = EXCESS_STEP_REQUESTS * self.mean_work(now)
        step = max(step, EXCESS_STEP_FRACTION * fair_work)
        return ShareScale(now, fair_work, step)

    def excess(
        self, account: AccountName, added: float, scale: ShareScale
    ) -> int:
        """Return by how many steps an account is over its share.

        It is negative for an account that is under it by as much. ``added``
        is work that is expected to be taken of it before.
        """
        work = self._work.get(account, scale.now) + added
        over = work / self._weight(account) - scale.fair_work
        return int(over / scale.step)

    def due(self, account: AccountName, scale: ShareScale) -> float:
        """Return the work that an account is due, or was sent if it is more."""
        due = scale.fair_work * self._weight(account)
        return max(due, self._work.get(account, scale.now))

    def _weight(self, account: AccountName) -> float:
        return self._weights.get(account, 1.0)
