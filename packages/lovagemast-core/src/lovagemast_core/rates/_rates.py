"""Enforces each client account's rate and burst across all VMs.

Each VM charges requests to its own share. A VM that is short of tokens
borrows from other VMs: the lender deducts the tokens first and reserves as
much of its capacity until the borrower reports what it did not spend, or
until the loan has expired.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._messages import TokenAsk, TokenGrant, TokenSettle
from .._outbox import Outbox, Timer
from .._types import AccountName, VmName
from ._bucket import Charge, TokenBucket
from ._shares import MAX_CLOCK_DRIFT, ShareHolder

LOAN_VALID_S: Final = 1.0
LOAN_RETRY_INTERVAL_S: Final = 0.06
MAX_LENDERS: Final = 8


class RateLimits(NamedTuple):
    """An account's limits, summed over all VMs."""

    rate: float  # tokens/s
    burst: float  # tokens
    min_capacity: float = 0.0  # tokens; least bucket capacity at each VM


class AccountCharge(NamedTuple):
    """Tokens charged to an account for one request."""

    account: AccountName
    charge: Charge

    @property
    def amount(self) -> float:
        """Return the number of tokens charged."""
        return self.charge.amount


ChargeCallback = Callable[[AccountCharge | None, float], None]


class _Loan(NamedTuple):
    lender: VmName
    ask: str
    amount: float
    until: float  # s


class _LentTokens(NamedTuple):
    account: AccountName
    amount: float
    timer: Timer


class _Waiter:
    """A charge that waits for tokens."""

    def __init__(
        self,
        amount: float,
        on_charged: ChargeCallback,
        timer: Timer,
        now: float,
    ) -> None:
        self.amount = amount
        self.queued_at = now  # s
        self.on_charged = on_charged
        self.timer = timer


class _AccountState:
    """One account's bucket, waiting charges and loans at this VM."""

    def __init__(self, bucket: TokenBucket, limits: RateLimits) -> None:
        self.bucket = bucket
        self.limits = limits
        self.position = 0
        self.waiters: deque[_Waiter] = deque()
        self.loans: list[_Loan] = []
        self.asked_at = float('-inf')
        self.asks: dict[str, float] = {}

    def may_lend_to(self, ask: TokenAsk, now: float) -> bool:
        """Return whether the borrower has waited longer than all charges."""
        return (
            not self.waiters or ask.waited_s > now - self.waiters[0].queued_at
        )

    def borrowed(self) -> float:
        """Return the number of borrowed tokens not spent yet."""
        return sum(loan.amount for loan in self.loans)


class RateController:
    """Charges, borrows and lends the tokens of all client accounts."""

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
        self._accounts: dict[AccountName, _AccountState] = {}
        self._lent: dict[tuple[VmName, str], _LentTokens] = {}
        self._seq = 0

    def spend(
        self,
        account: AccountName,
        amount: float,
        on_charged: ChargeCallback,
        *,
        timeout_s: float,
        now: float,
    ) -> None:
        """Charge an account; call back with the charge.

        The callback gets ``None`` if the tokens did not become available
        within ``timeout_s``, the amount exceeds the account's burst or the
        account is unknown.
        """
        state = self._state(account, now)
        if state is None or amount > state.limits.burst:
            on_charged(None, now)
            return
        if not state.waiters:
            charge = state.bucket.take(amount, now)
            if charge:
                on_charged(AccountCharge(account, charge), now)
                return
        timer = self._outbox.call_at(
            now + timeout_s,
            lambda when: self._on_timeout(account, when),
        )
        state.waiters.append(_Waiter(amount, on_charged, timer, now))
        self._serve_waiters(account, state, now)

    def refund(
        self,
        account_charge: AccountCharge,
        unused: float,
        now: float,
    ) -> None:
        """Refund the tokens that a request did not use."""
        state = self._accounts.get(account_charge.account)
        if state:
            self._apply_share_changes(state, now)
            state.bucket.refund(
                account_charge.charge,
                min(unused, account_charge.amount),
                now,
            )

    def retry_after(self, account: AccountName, amount: float) -> float:
        """Return the time in which an amount accrues fleet-wide, in s.

        The result is bounded, as it is used as a retry delay.
        """
        limits = self._limits_of(account)
        if limits is None or limits.rate <= 0:
            return 60.0
        return min(60.0, max(0.05, amount / limits.rate))

    def on_ask(self, vm: VmName, ask: TokenAsk, now: float) -> None:
        """Lend tokens, unless charges of this VM have waited longer."""
        state = self._state(ask.account, now)
        granted = 0.0
        known = (vm, ask.ask) in self._lent
        if state and not known and state.may_lend_to(ask, now):
            self._return_loans(state)
            granted = state.bucket.lend(ask.amount, now)
            timer = self._outbox.call_at(
                now + LOAN_VALID_S * (1 + MAX_CLOCK_DRIFT),
                lambda when: self._settle(vm, ask.ask, 0, when),
            )
            self._lent[vm, ask.ask] = _LentTokens(ask.account, granted, timer)
        self._outbox.send(vm, TokenGrant(ask.ask, ask.account, granted))

    def on_grant(self, vm: VmName, grant: TokenGrant, now: float) -> None:
        """Record a loan and serve waiting charges."""
        state = self._accounts.get(grant.account)
        if state is None:
            return
        asked_at = state.asks.pop(grant.ask, None)
        if asked_at is None:
            return
        if grant.amount <= 0 or now >= asked_at + LOAN_VALID_S:
            return
        until = asked_at + LOAN_VALID_S
        state.loans.append(_Loan(vm, grant.ask, grant.amount, until))
        self._serve_waiters(grant.account, state, now)

    def on_settle(self, vm: VmName, settle: TokenSettle, now: float) -> None:
        """Take back the tokens that a borrower did not spend."""
        self._settle(vm, settle.ask, settle.unused, now)

    def _settle(self, vm: VmName, ask: str, unused: float, now: float) -> None:
        lent = self._lent.pop((vm, ask), None)
        if lent is None:
            return
        lent.timer.cancel()
        state = self._state(lent.account, now)
        if state:
            state.bucket.settle(lent.amount, now)
            state.bucket.deposit(min(unused, lent.amount), now)

    def _state(self, account: AccountName, now: float) -> _AccountState | None:
        limits = self._limits_of(account)
        state = self._accounts.get(account)
        if limits is None:
            return None
        if state is None:
            state = self._new_state(limits, now)
            self._accounts[account] = state
        self._apply_share_changes(state, now)
        if limits != state.limits:
            state.limits = limits
            self._set_share(state, self._share.fraction(now), now)
        return state

    def _new_state(self, limits: RateLimits, now: float) -> _AccountState:
        """Return a state that covers the share's recorded history.

        It is as if the account had been tracked from the start, so that a
        bucket that is created on first use has accrued its tokens.
        """
        self._share.fraction(now)
        started_at = self._share.started_at
        bucket = TokenBucket(rate=0, capacity=0, now=started_at)
        state = _AccountState(bucket, limits)
        state.position = self._share.first_position
        return state

    def _apply_share_changes(self, state: _AccountState, now: float) -> None:
        fraction = self._share.fraction(now)
        if state.position == self._share.position:
            return
        changes = self._share.changes_since(state.position)
        if changes is None:
            state.bucket.level = 0
            self._set_share(state, fraction, now)
        else:
            for change in changes:
                self._set_share(state, change.fraction, change.at)
        state.position = self._share.position

    def _set_share(
        self,
        state: _AccountState,
        fraction: float,
        now: float,
    ) -> None:
        state.bucket.set_share(
            rate=state.limits.rate * fraction,
            capacity=max(
                state.limits.min_capacity,
                state.limits.burst * fraction,
            ),
            now=now,
        )

    def _serve_waiters(
        self,
        account: AccountName,
        state: _AccountState,
        now: float,
    ) -> None:
        self._apply_share_changes(state, now)
        self._drop_expired(state, now)
        while state.waiters:
            account_charge = self._take_for_waiter(account, state, now)
            if account_charge is None:
                break
            waiter = state.waiters.popleft()
            waiter.timer.cancel()
            waiter.on_charged(account_charge, now)
        if state.waiters:
            self._request_loans(account, state, now)
        else:
            self._return_loans(state)

    def _take_for_waiter(
        self,
        account: AccountName,
        state: _AccountState,
        now: float,
    ) -> AccountCharge | None:
        amount = state.waiters[0].amount
        state.bucket.advance(now)
        own = min(amount, state.bucket.level)
        if own + state.borrowed() < amount:
            return None
        charge = state.bucket.take(own, now)
        if charge is None:
            return None
        self._spend_loans(state, amount - own)
        # For refunds, borrowed tokens count as taken from this bucket.
        return AccountCharge(account, charge._replace(amount=amount))

    def _spend_loans(self, state: _AccountState, amount: float) -> None:
        while amount > 0 and state.loans:
            loan = state.loans.pop(0)
            used = min(amount, loan.amount)
            amount -= used
            if used < loan.amount:
                rest = loan._replace(amount=loan.amount - used)
                state.loans.insert(0, rest)
            else:
                self._outbox.send(loan.lender, TokenSettle(loan.ask, 0))

    def _return_loans(self, state: _AccountState) -> None:
        # Keeping unspent loans would fill the bucket and forfeit refunds.
        for loan in state.loans:
            settle = TokenSettle(loan.ask, loan.amount)
            self._outbox.send(loan.lender, settle)
        state.loans.clear()

    def _drop_expired(self, state: _AccountState, now: float) -> None:
        state.loans = [loan for loan in state.loans if now < loan.until]
        state.asks = {
            ask: asked_at
            for ask, asked_at in state.asks.items()
            if now < asked_at + LOAN_VALID_S
        }

    def _request_loans(
        self,
        account: AccountName,
        state: _AccountState,
        now: float,
    ) -> None:
        if now - state.asked_at < LOAN_RETRY_INTERVAL_S:
            return
        state.asked_at = now
        state.bucket.advance(now)
        needed = state.waiters[0].amount - state.bucket.level
        amount = max(0.0, needed)
        for vm in list(self._lenders(account, now))[:MAX_LENDERS]:
            self._seq += 1
            ask = f'{self._boot}.{self._seq}'
            state.asks[ask] = now
            waited_s = now - state.waiters[0].queued_at
            self._outbox.send(vm, TokenAsk(ask, account, amount, waited_s))
        self._outbox.call_at(
            now + LOAN_RETRY_INTERVAL_S,
            lambda when: self._retry_loans(account, state, when),
        )

    def _retry_loans(
        self,
        account: AccountName,
        state: _AccountState,
        now: float,
    ) -> None:
        """Return insufficient loans for others to use and borrow again."""
        self._return_loans(state)
        self._serve_waiters(account, state, now)

    def _on_timeout(self, account: AccountName, now: float) -> None:
        state = self._accounts[account]
        self._serve_waiters(account, state, now)
        expired = [
            waiter for waiter in state.waiters if waiter.timer.has_fired()
        ]
        for waiter in expired:
            state.waiters.remove(waiter)
            waiter.on_charged(None, now)
        if expired:
            self._serve_waiters(account, state, now)
