"""Tests of quotas: no more is spent than rate, burst and slack allow."""

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
    """Entry VMs that spend what one leader after another hands out."""

    def __init__(self, rate: float, vms: int) -> None:
        self.account = make_account(rate)
        self.issuer = TokenIssuer(BOUNDS)
        self.holders = [LocalTokens(BOUNDS) for _vm in range(vms)]
        self.spent: list[tuple[float, float]] = []
        self.leaderless_until = 0.0

    def elect(self, now: float) -> None:
        """Replace the leader; none hands out tokens for a lease's time."""
        self.issuer.reset()
        self.leaderless_until = now + 0.25

    def step(self, costs: list[float], now: float) -> None:
        """Let each VM try one request, then ask the leader."""
        accounts = {self.account.name: self.account}
        for holder, cost in zip(self.holders, costs, strict=True):
            holder.record_demand(self.account, cost, now)
            if holder.spend(self.account, cost, now):
                self.spent.append((now, cost))
            if now < self.leaderless_until:
                continue
            wishes = holder.wishes(accounts, len(self.holders), now)
            for lot in self.issuer.issue(wishes, accounts, now):
                holder.add(lot, now)

    def most_in_window(self) -> float:
        """Return the most that was spent in any window."""
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
        """Heavy demand with elections stays within what is allowed."""
        rng = random.Random(seed)
        fleet = Fleet(rate, vms)
        now = 100.0
        for _step in range(160):
            now += STEP_S
            if rng.random() < 0.02:
                fleet.elect(now)
            fleet.step([rng.uniform(50, 8_000) for _vm in range(vms)], now)
        allowed = (rate * WINDOW_S + rate) * OVERAGE + SLACK
        assert fleet.most_in_window() <= allowed

    def test_usual_demand_is_served(self) -> None:
        """Demand of half the rate is not refused once tokens flow."""
        fleet = Fleet(20_000.0, 4)
        now = 100.0
        for _step in range(100):
            now += STEP_S
            fleet.step([250.0] * 4, now)
        assert len(fleet.spent) >= 0.97 * 4 * 100


class TestHolder:
    def test_lot_expires(self) -> None:
        """Tokens that were not spent in time are gone."""
        holder = LocalTokens(BOUNDS)
        account = make_account(1_000.0)
        holder.add(TokenLot('acme', 500.0), 10.0)
        assert not holder.spend(account, 400.0, 14.5)

    def test_waiting_request_is_wished_for(self) -> None:
        """A request larger than the usual holding is asked for whole."""
        holder = LocalTokens(STRICT)
        account = make_account(1_000.0)
        holder.add_waiting(account, 5_000.0, 10.0)
        wishes = holder.wishes({'acme': account}, 6, 10.0)
        assert wishes[0].tokens == pytest.approx(5_000.0)

    def test_refund_can_be_spent_again(self) -> None:
        """What a request was charged that did not run is not lost."""
        holder = LocalTokens(STRICT)
        account = make_account(1_000.0)
        holder.add(TokenLot('acme', 500.0), 10.0)
        assert holder.spend(account, 500.0, 10.0)
        assert not holder.spend(account, 400.0, 11.0)
        holder.refund(account, 500.0, 10.0, 11.0)
        assert holder.spend(account, 400.0, 11.0)

    def test_refund_expires(self) -> None:
        """Tokens do not live longer because they were refunded."""
        holder = LocalTokens(STRICT)
        account = make_account(1_000.0)
        holder.refund(account, 500.0, 10.0, 11.0)
        assert not holder.spend(account, 400.0, 14.5)

    def test_no_limit(self) -> None:
        """An account without a rate is never held back."""
        account = make_account(0.0)
        assert LocalTokens(BOUNDS).spend(account, 1e9, 10.0)

    def test_empty_bucket_is_told(self) -> None:
        """A VM learns that the bucket had less than it asked for."""
        issuer = TokenIssuer(STRICT)
        account = make_account(1_000.0)
        accounts = {account.name: account}
        wishes = (TokenWish(account.name, 5_000.0),)
        holder = LocalTokens(STRICT)
        for lot in issuer.issue(wishes, accounts, 10.0):
            holder.add(lot, 10.0)
        assert holder.is_short(account, 10.0)
        assert not holder.is_short(account, 11.0)


class TestIssuer:
    def test_waiting_requests_go_first(self) -> None:
        """The last quarter of a bucket is not held ahead."""
        issuer = TokenIssuer(STRICT)
        account = make_account(1_000.0)
        accounts = {account.name: account}
        issuer.issue((), accounts, 10.0)
        kept = 0.25 * STRICT.bucket_capacity(account)
        greedy = TokenWish(account.name, 0.0, 1_000.0)
        lots = issuer.issue((greedy,), accounts, 10.0)
        assert lots[0].tokens == pytest.approx(250.0 - kept)
        assert not issuer.issue((greedy,), accounts, 10.0)
        needy = TokenWish(account.name, kept, 0.0)
        lots = issuer.issue((needy,), accounts, 10.0)
        assert lots[0].tokens == pytest.approx(kept)

    def test_no_shortage_for_what_is_ahead(self) -> None:
        """A bucket that serves all who wait is not called empty."""
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
        """Under twice the rate, nearly all of the rate is spent."""
        rate = 8_000.0
        fleet = Fleet(rate, 6)
        rng = random.Random(5)
        now = 100.0
        accounts = {fleet.account.name: fleet.account}
        for _step in range(600):
            now += STEP_S
            holder = rng.choice(fleet.holders)
            cost = rng.uniform(500, 2_700)
            holder.record_demand(fleet.account, cost, now)
            holder.add_waiting(fleet.account, cost, now)
            for one in fleet.holders:
                wishes = one.wishes(accounts, 6, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    one.add(lot, now)
            if holder.spend(fleet.account, cost, now):
                fleet.spent.append((now, cost))
            holder.add_waiting(fleet.account, -cost, now)
        spent = sum(cost for at, cost in fleet.spent if at > 110.0)
        assert spent >= 0.9 * rate * 50

    def test_rare_requests_waste_nothing(self) -> None:
        """With many VMs, tokens do not lie idle in each of them."""
        rate = 20_000.0
        fleet = Fleet(rate, 60)
        accounts = {fleet.account.name: fleet.account}
        rng = random.Random(5)
        now = 100.0
        refused = 0
        for _step in range(2_000):
            now += 0.05  # 20 requests a second, 0.8 of the rate
            holder = rng.choice(fleet.holders)
            cost = rng.uniform(400, 1_200)
            holder.record_demand(fleet.account, cost, now)
            holder.add_waiting(fleet.account, cost, now)
            for one in fleet.holders:
                wishes = one.wishes(accounts, 60, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    one.add(lot, now)
            refused += not holder.spend(fleet.account, cost, now)
            holder.add_waiting(fleet.account, -cost, now)
        assert refused < 0.02 * 2_000


class TestBridge:
    @pytest.mark.parametrize('rate', [8_000.0, 20_000.0, 50_000.0])
    def test_election_refuses_nothing(self, rate: float) -> None:
        """Half of the rate is served while a leader is replaced."""
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
            holder = rng.choice(fleet.holders)
            cost = rate * 0.05 * rng.uniform(0.2, 0.8)
            holder.record_demand(fleet.account, cost, now)
            spent = holder.spend(fleet.account, cost, now)
            if step >= 60:  # the first requests find no tokens yet
                served += spent
                asked += 1
            if now < fleet.leaderless_until:
                continue
            for one in fleet.holders:
                wishes = one.wishes(accounts, 6, now)
                for lot in fleet.issuer.issue(wishes, accounts, now):
                    one.add(lot, now)
        assert served >= 0.97 * asked
