"""Tests of quotas: spending stays within rate, burst and slack."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core.deployment import AccountSpec
from lovagemast_core.quota import LocalTokens, QuotaBounds, TokenIssuer
from lovagemast_core.targets import TokenLot, TokenWish

SLACK = 17_000.0
WINDOW_S = 8.0
OVERAGE = 1.1
BOUNDS = QuotaBounds(0.1, WINDOW_S, SLACK)
STRICT = QuotaBounds(0.0, WINDOW_S, 0.0)
STEP_S = 0.1


def make_account(rate: float) -> AccountSpec:
    """Return an account whose burst is one second of its rate."""
    return AccountSpec('acme', ('k',), None, rate, rate, True, 100.0)


class Fleet:
    """Entry VMs that spend the tokens issued by successive leaders."""

    def __init__(self, rate: float, vms: int) -> None:
        self.account = make_account(rate)
        self.issuer = TokenIssuer(BOUNDS)
        self.vm_tokens = [LocalTokens(BOUNDS) for _vm in range(vms)]
        self.spent: list[tuple[float, float]] = []
        self.leaderless_until = 0.0

    def elect(self, now: float) -> None:
        """Replace the leader; no tokens are issued for the lease time."""
        self.issuer.reset()
        self.leaderless_until = now + 0.25

    def step(self, costs: list[float], now: float) -> None:
        """Try one request at each VM, then sync with the leader."""
        accounts = {self.account.name: self.account}
        for tokens, cost in zip(self.vm_tokens, costs, strict=True):
            tokens.record_demand(self.account, cost, now)
            if tokens.spend(self.account, cost, now):
                self.spent.append((now, cost))
            if now < self.leaderless_until:
                continue
            wishes = tokens.wishes(accounts, len(self.vm_tokens), now)
            for lot in self.issuer.issue(wishes, accounts, now):
                tokens.add(lot, now)

    def max_spent_in_window(self) -> float:
        """Return the maximum spent in any window."""
        sums = [
            sum(cost for at, cost in self.spent if 0 <= at - start < WINDOW_S)
            for start, _cost in self.spent
        ]
        return max(sums, default=0.0)


class TestBound:
    @settings(max_examples=25, deadline=None)
    @given(
        rate=st.sampled_from([4_200.0, 20_000.0, 52_907.0]),
        vms=st.integers(1, 12),
        seed=st.integers(0, 2**32),
    )
    def test_never_over_quota(self, rate: float, vms: int, seed: int) -> None:
        """Spending stays within the quota under overload and elections."""
        rng = random.Random(seed)
        fleet = Fleet(rate, vms)
        now = 100.0
        for _step in range(160):
            now += STEP_S
            if rng.random() < 0.02:
                fleet.elect(now)
            fleet.step([rng.uniform(50, 8_000) for _vm in range(vms)], now)
        allowed = (rate * WINDOW_S + rate) * OVERAGE + SLACK
        assert fleet.max_spent_in_window() <= allowed

    def test_usual_demand_is_served(self) -> None:
        """Demand of half the rate is admitted once tokens are held."""
        fleet = Fleet(20_000.0, 4)
        now = 100.0
        for _step in range(100):
            now += STEP_S
            fleet.step([250.0] * 4, now)
        assert len(fleet.spent) >= 0.97 * 4 * 100


class TestHolder:
    def test_lot_expires(self) -> None:
        """Tokens that are not spent in time expire."""
        tokens = LocalTokens(BOUNDS)
        account = make_account(1_000.0)
        tokens.add(TokenLot('acme', 500.0), 10.0)
        assert not tokens.spend(account, 400.0, 14.5)

    def test_waiting_request_is_asked_for(self) -> None:
        """The tokens for a large queued request are requested in full."""
        tokens = LocalTokens(STRICT)
        account = make_account(1_000.0)
        tokens.add_waiting(account, 5_000.0, 10.0)
        wishes = tokens.wishes({'acme': account}, 6, 10.0)
        assert wishes[0].tokens == pytest.approx(5_000.0)

    def test_refund_can_be_spent_again(self) -> None:
        """The cost of a request that did not run can be spent again."""
        tokens = LocalTokens(STRICT)
        account = make_account(1_000.0)
        tokens.add(TokenLot('acme', 500.0), 10.0)
        assert tokens.spend(account, 500.0, 10.0)
        assert not tokens.spend(account, 400.0, 11.0)
        tokens.refund(account, 500.0, 10.0, 11.0)
        assert tokens.spend(account, 400.0, 11.0)

    def test_refund_expires(self) -> None:
        """A refund does not extend the lifetime of tokens."""
        tokens = LocalTokens(STRICT)
        account = make_account(1_000.0)
        tokens.refund(account, 500.0, 10.0, 11.0)
        assert not tokens.spend(account, 400.0, 14.5)

    def test_no_limit(self) -> None:
        """An account without a rate is not limited."""
        account = make_account(0.0)
        assert LocalTokens(BOUNDS).spend(account, 1e9, 10.0)

    def test_shortage_is_reported(self) -> None:
        """A lot reports that the bucket held less than was requested."""
        issuer = TokenIssuer(STRICT)
        account = make_account(1_000.0)
        accounts = {account.name: account}
        wishes = (TokenWish(account.name, 5_000.0),)
        tokens = LocalTokens(STRICT)
        for lot in issuer.issue(wishes, accounts, 10.0):
            tokens.add(lot, 10.0)
        assert tokens.is_short(account, 10.0)
        assert not tokens.is_short(account, 11.0)


class TestIssuer:
    def test_waiting_requests_go_first(self) -> None:
        """The last quarter of a bucket is reserved for queued requests."""
        issuer = TokenIssuer(STRICT)
        account = make_account(1_000.0)
        accounts = {account.name: account}
        issuer.issue((), accounts, 10.0)
        reserved = 0.25 * STRICT.bucket_capacity(account)
        prefetch = TokenWish(account.name, 0.0, 1_000.0)
        lots = issuer.issue((prefetch,), accounts, 10.0)
        assert lots[0].tokens == pytest.approx(250.0 - reserved)
        assert not issuer.issue((prefetch,), accounts, 10.0)
        queued = TokenWish(account.name, reserved, 0.0)
        lots = issuer.issue((queued,), accounts, 10.0)
        assert lots[0].tokens == pytest.approx(reserved)

    def test_prefetch_is_no_shortage(self) -> None:
        """A bucket that covers all queued requests reports no shortage."""
        issuer = TokenIssuer(STRICT)
        account = make_account(1_000.0)
        accounts = {account.name: account}
        issuer.issue((), accounts, 10.0)
        wish = TokenWish(account.name, 10.0, 5_000.0)
        lots = issuer.issue((wish,), accounts, 20.0)
        assert not lots[0].short
        assert lots[0].tokens > 10.0


class TestScarcity:
    def test_scarce_tokens_are_used(self) -> None:
        """At twice the rate, nearly all of the rate is spent."""
        rate = 8_000.0
        fleet = Fleet(rate, 6)
        rng = random.Random(5)
        now = 100.0
        accounts = {fleet.account.name: fleet.account}
        for _step in range(600):
            now += STEP_S
            tokens = rng.choice(fleet.vm_tokens)
            cost = rng.uniform(500, 2_700)
            tokens.record_demand(fleet.account, cost, now)
            tokens.add_waiting(fleet.account, cost, now)
            for local in fleet.vm_tokens:
                wishes = local.wishes(accounts, 6, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    local.add(lot, now)
            if tokens.spend(fleet.account, cost, now):
                fleet.spent.append((now, cost))
            tokens.add_waiting(fleet.account, -cost, now)
        spent = sum(cost for at, cost in fleet.spent if at > 110.0)
        assert spent >= 0.9 * rate * 50

    def test_rare_requests_are_served(self) -> None:
        """Tokens held ahead at many VMs cause few refusals."""
        rate = 20_000.0
        fleet = Fleet(rate, 60)
        accounts = {fleet.account.name: fleet.account}
        rng = random.Random(5)
        now = 100.0
        refused = 0
        for _step in range(2_000):
            now += 0.05  # 20 requests a second, 0.8 of the rate
            tokens = rng.choice(fleet.vm_tokens)
            cost = rng.uniform(400, 1_200)
            tokens.record_demand(fleet.account, cost, now)
            tokens.add_waiting(fleet.account, cost, now)
            for local in fleet.vm_tokens:
                wishes = local.wishes(accounts, 60, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    local.add(lot, now)
            refused += not tokens.spend(fleet.account, cost, now)
            tokens.add_waiting(fleet.account, -cost, now)
        assert refused < 0.02 * 2_000


class TestBridge:
    @pytest.mark.parametrize('rate', [8_000.0, 20_000.0, 50_000.0])
    def test_election_refuses_nothing(self, rate: float) -> None:
        """Half of the rate is admitted while a leader is replaced."""
        fleet = Fleet(rate, 6)
        rng = random.Random(7)
        now = 100.0
        asked = 0
        served = 0
        accounts = {fleet.account.name: fleet.account}
        for step in range(200):
            now += 0.05
            if step == 100:
                fleet.issuer.reset()
                fleet.leaderless_until = now + 1.0
            tokens = rng.choice(fleet.vm_tokens)
            cost = rate * 0.05 * rng.uniform(0.2, 0.8)
            tokens.record_demand(fleet.account, cost, now)
            spent = tokens.spend(fleet.account, cost, now)
            if step >= 60:  # the first requests find no tokens yet
                served += spent
                asked += 1
            if now < fleet.leaderless_until:
                continue
            for local in fleet.vm_tokens:
                wishes = local.wishes(accounts, 6, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    local.add(lot, now)
        assert served >= 0.97 * asked
