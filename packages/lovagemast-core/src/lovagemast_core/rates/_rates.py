"""Holds every client account to its rate and burst over all VMs.

Each VM spends from its own share. A VM that is short borrows from others:
the lender deducts first and keeps that much of its cap reserved until the
borrower says what it did not spend, or until the loan has run out.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._messages import TokenAsk, TokenGrant, TokenSettle
from .._outbox import Outbox, Timer
from .._types import AccountName, VmName
from ._bucket import Charge, TokenBucket
from ._shares import CLOCK_DRIFT, ShareHolder

LOAN_S: Final = 1.0
ASK_AGAIN_S: Final = 0.06
MAX_LENDERS: Final = 8


class RateLimits(NamedTuple):
    """An account's limits over the whole fleet."""

    rate: float  # tokens/s
    burst: float  # tokens
    least_cap: float = 0.0  # tokens that any one VM may save up


class AccountCharge(NamedTuple):
    """Tokens taken for one request, and the charge to refund from."""

    account: AccountName
    charge: Charge

    @property
    def amount(self) -> float:
        """Return the tokens taken."""
        return self.charge.amount


OnSpent = Callable[[AccountCharge | None, float], None]


class _Loan(NamedTuple):
    lender: VmName
    ask: str
    amount: float
    until: float  # s


class _Given(NamedTuple):
    account: AccountName
    amount: float
    timer: Timer


class _Wait:
    """A request that waits for tokens."""

    def __init__(
        self,
        amount: float,
        on_spent: OnSpent,
        timer: Timer,
        now: float,
    ) -> None:
        self.amount = amount
        self.since = now  # s
        self.on_spent = on_spent
        self.timer = timer


class _AccountRate:
    """One account's bucket, waiting requests and loans at this VM."""

    def __init__(self, bucket: TokenBucket, limits: RateLimits) -> None:
        self.bucket = bucket
        self.limits = limits
        self.position = 0
        self.waits: deque[_Wait] = deque()
        self.loans: list[_Loan] = []
        self.asked_at = float('-inf')
        self.asks: dict[str, float] = {}

    def yields_to(self, ask: TokenAsk, now: float) -> bool:
        """Return whether the asker goes before the own requests."""
        return not self.waits or ask.waited_s > now - self.waits[0].since

    def borrowed(self) -> float:
        """Return the borrowed tokens that are not spent yet."""
        return sum(loan.amount for loan in self.loans)


class RateController:
    """Spends, borrows and lends tokens of every client account."""

    def __init__(
        self,
        outbox: Outbox,
        share: ShareHolder,
        limits_of: Callable[[AccountName], RateLimits | None],
        lenders: Callable[[AccountName, float], Iterable[VmName]],
        boot: str,
    ) -> None:
        self._outbox = outbox
        self._boot = boot
        self._share = share
        self._limits_of = limits_of
        self._lenders = lenders
        self._accounts: dict[AccountName, _AccountRate] = {}
        self._given: dict[tuple[VmName, str], _Given] = {}
        self._seq = 0

    def spend(
        self,
        account: AccountName,
        amount: float,
        on_spent: OnSpent,
        *,
        timeout_s: float,
        now: float,
    ) -> None:
        """Take tokens and call back, with ``None`` if they did not come."""
        state = self._state(account, now)
        if state is None or amount > state.limits.burst:
            on_spent(None, now)
            return
        if not state.waits:
            charge = state.bucket.take(amount, now)
            if charge:
                on_spent(AccountCharge(account, charge), now)
                return
        timer = self._outbox.call_at(
            now + timeout_s,
            lambda when: self._give_up(account, when),
        )
        state.waits.append(_Wait(amount, on_spent, timer, now))
        self._serve(account, state, now)

    def refund(self, spent: AccountCharge, unused: float, now: float) -> None:
        """Credit what a request did not use of its tokens."""
        state = self._accounts.get(spent.account)
        if state:
            self._replay(state, now)
            state.bucket.refund(
                spent.charge,
                min(unused, spent.amount),
                now,
            )

    def retry_after(self, account: AccountName, amount: float) -> float:
        """Return in how many seconds the fleet has accrued an amount."""
        limits = self._limits_of(account)
        if limits is None or limits.rate <= 0:
            return 60.0
        return min(60.0, max(0.05, amount / limits.rate))

    def on_ask(self, vm: VmName, ask: TokenAsk, now: float) -> None:
        """Lend what is not needed here before it is there."""
        state = self._state(ask.account, now)
        granted = 0.0
        known = (vm, ask.ask) in self._given
        if state and not known and state.yields_to(ask, now):
            self._return_loans(state)
            granted = state.bucket.lend(ask.amount, now)
            timer = self._outbox.call_at(
                now + LOAN_S * (1 + CLOCK_DRIFT),
                lambda when: self._settle(vm, ask.ask, 0, when),
            )
            self._given[vm, ask.ask] = _Given(ask.account, granted, timer)
        self._outbox.send(vm, TokenGrant(ask.ask, ask.account, granted))

    def on_grant(self, vm: VmName, grant: TokenGrant, now: float) -> None:
        """Add a loan and serve the requests that wait."""
        state = self._accounts.get(grant.account)
        if state is None:
            return
        asked_at = state.asks.pop(grant.ask, None)
        if asked_at is None:
            return
        if grant.amount <= 0 or now >= asked_at + LOAN_S:
            return
        until = asked_at + LOAN_S
        state.loans.append(_Loan(vm, grant.ask, grant.amount, until))
        self._serve(grant.account, state, now)

    def on_settle(self, vm: VmName, settle: TokenSettle, now: float) -> None:
        """Take back what a borrower did not spend."""
        self._settle(vm, settle.ask, settle.unused, now)

    def _settle(self, vm: VmName, ask: str, unused: float, now: float) -> None:
        given = self._given.pop((vm, ask), None)
        if given is None:
            return
        given.timer.cancel()
        state = self._state(given.account, now)
        if state:
            state.bucket.settle(given.amount, now)
            state.bucket.put_back(min(unused, given.amount), now)

    def _state(self, account: AccountName, now: float) -> _AccountRate | None:
        limits = self._limits_of(account)
        state = self._accounts.get(account)
        if limits is None:
            return None
        if state is None:
            state = self._new_state(limits, now)
            self._accounts[account] = state
        self._replay(state, now)
        if limits != state.limits:
            state.limits = limits
            self._set_share(state, self._share.fraction(now), now)
        return state

    def _new_state(self, limits: RateLimits, now: float) -> _AccountRate:
        """Return the state as if it had been kept since the VM's start."""
        self._share.fraction(now)
        started_at = self._share.started_at
        bucket = TokenBucket(rate=0, cap=0, now=started_at)
        state = _AccountRate(bucket, limits)
        state.position = self._share.first_position
        return state

    def _replay(self, state: _AccountRate, now: float) -> None:
        fraction = self._share.fraction(now)
        if state.position == self._share.position:
            return
        changes = self._share.changes_after(state.position)
        if changes is None:
            state.bucket.level = 0
            self._set_share(state, fraction, now)
        else:
            for change in changes:
                self._set_share(state, change.fraction, change.at)
        state.position = self._share.position

    def _set_share(
        self,
        state: _AccountRate,
        fraction: float,
        now: float,
    ) -> None:
        state.bucket.set_share(
            rate=state.limits.rate * fraction,
            cap=max(state.limits.least_cap, state.limits.burst * fraction),
            now=now,
        )

    def _serve(
        self,
        account: AccountName,
        state: _AccountRate,
        now: float,
    ) -> None:
        self._replay(state, now)
        self._drop_expired(state, now)
        while state.waits:
            spent = self._take(account, state, now)
            if spent is None:
                break
            wait = state.waits.popleft()
            wait.timer.cancel()
            wait.on_spent(spent, now)
        if state.waits:
            self._ask_lenders(account, state, now)
        else:
            self._return_loans(state)

    def _take(
        self,
        account: AccountName,
        state: _AccountRate,
        now: float,
    ) -> AccountCharge | None:
        amount = state.waits[0].amount
        state.bucket.advance(now)
        own = min(amount, state.bucket.level)
        if own + state.borrowed() < amount:
            return None
        charge = state.bucket.take(own, now)
        if charge is None:
            return None
        self._use_loans(state, amount - own)
        # Borrowed tokens count as if they had passed through the bucket.
        return AccountCharge(account, charge._replace(amount=amount))

    def _use_loans(self, state: _AccountRate, amount: float) -> None:
        while amount > 0 and state.loans:
            loan = state.loans.pop(0)
            used = min(amount, loan.amount)
            amount -= used
            if used < loan.amount:
                rest = loan._replace(amount=loan.amount - used)
                state.loans.insert(0, rest)
            else:
                self._outbox.send(loan.lender, TokenSettle(loan.ask, 0))

    def _return_loans(self, state: _AccountRate) -> None:
        # Kept loans would fill the bucket, and a full bucket loses refunds.
        for loan in state.loans:
            settle = TokenSettle(loan.ask, loan.amount)
            self._outbox.send(loan.lender, settle)
        state.loans.clear()

    def _drop_expired(self, state: _AccountRate, now: float) -> None:
        state.loans = [loan for loan in state.loans if now < loan.until]
        state.asks = {
            ask: asked_at
            for ask, asked_at in state.asks.items()
            if now < asked_at + LOAN_S
        }

    def _ask_lenders(
        self,
        account: AccountName,
        state: _AccountRate,
        now: float,
    ) -> None:
        if now - state.asked_at < ASK_AGAIN_S:
            return
        state.asked_at = now
        state.bucket.advance(now)
        needed = state.waits[0].amount - state.bucket.level
        amount = max(0.0, needed)
        for vm in list(self._lenders(account, now))[:MAX_LENDERS]:
            self._seq += 1
            ask = f'{self._boot}.{self._seq}'
            state.asks[ask] = now
            waited_s = now - state.waits[0].since
            self._outbox.send(vm, TokenAsk(ask, account, amount, waited_s))
        self._outbox.call_at(
            now + ASK_AGAIN_S,
            lambda when: self._ask_again(account, state, when),
        )

    def _ask_again(
        self,
        account: AccountName,
        state: _AccountRate,
        now: float,
    ) -> None:
        """Give back what was not enough, so that others can use it."""
        self._return_loans(state)
        self._serve(account, state, now)

    def _give_up(self, account: AccountName, now: float) -> None:
        state = self._accounts[account]
        self._serve(account, state, now)
        expired = [wait for wait in state.waits if wait.timer.has_fired()]
        for wait in expired:
            state.waits.remove(wait)
            wait.on_spent(None, now)
        if expired:
            self._serve(account, state, now)
