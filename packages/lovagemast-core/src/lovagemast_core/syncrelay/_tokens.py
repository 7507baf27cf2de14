"""Splits the tokens that the leader issues to a relay among entry VMs.

A relay asks the leader for what its entry VMs wish beyond what it still
holds, and passes each lot on at once. What nobody wishes any more stays in
the relay for a short time, so its failure loses little.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from .._types import AccountName, VmName
from ..targets import TokenLot, TokenWish
from ._pool import TokenPool

# After which a grant that the entry VM has not confirmed counts as received.
UNCONFIRMED_TTL_S: Final = 1.0


class _Wish(NamedTuple):
    since: float  # s; the oldest wishes are granted first
    tokens: float
    ahead: float

    def reduced_by(self, tokens: float, ahead: float) -> '_Wish':
        """Return what remains after a grant."""
        return self._replace(
            tokens=self.tokens - tokens, ahead=self.ahead - ahead
        )


class _Grant(NamedTuple):
    at: float  # s
    number: int  # of the reply that carries it
    account: AccountName
    tokens: float


class TokenSplitter:
    """The wishes of a relay's entry VMs, and tokens not passed on yet.

    A token leaves the pool when it is granted, and is granted once. Grants
    that an entry VM had not received when it sent its wishes are deducted
    from them, so that they are not granted twice.
    """

    def __init__(self) -> None:
        self._wishes: dict[AccountName, dict[VmName, _Wish]] = defaultdict(dict)
        self._grants: dict[VmName, list[_Grant]] = {}
        self._pools: dict[AccountName, TokenPool] = defaultdict(TokenPool)
        self._short: dict[AccountName, float] = {}  # expected wait, s

    def set_wishes(
        self,
        vm: VmName,
        wishes: tuple[TokenWish, ...],
        seen: int,
        now: float,
    ) -> None:
        """Replace an entry VM's wishes.

        ``seen`` is the number of the newest reply that it had received.
        """
        self._confirm_grants(vm, seen, now)
        earlier = {
            account: by_vm.pop(vm)
            for account, by_vm in self._wishes.items()
            if vm in by_vm
        }
        for wish in wishes:
            known = earlier.get(wish.account)
            remaining = self._deduct_unconfirmed(vm, wish)
            if remaining.tokens + remaining.ahead > 0:
                self._wishes[wish.account][vm] = _Wish(
                    known.since if known else now,
                    remaining.tokens,
                    remaining.ahead,
                )

    def remove(self, vm: VmName) -> None:
        """Forget an entry VM."""
        self._grants.pop(vm, None)
        for by_vm in self._wishes.values():
            by_vm.pop(vm, None)

    def add(self, lots: tuple[TokenLot, ...], now: float) -> None:
        """Add lots that the leader has issued."""
        for lot in lots:
            if lot.short:
                self._short[lot.account] = lot.wait_s
            if lot.tokens > 0:
                self._pools[lot.account].add(lot.tokens, now - lot.age_s)

    def total_wishes(self, now: float) -> tuple[TokenWish, ...]:
        """Return what to request from the leader."""
        totals = []
        for account, by_vm in self._wishes.items():
            pooled = self._pools[account].total(now)
            tokens = sum(wish.tokens for wish in by_vm.values())
            ahead = sum(wish.ahead for wish in by_vm.values())
            missing = max(0.0, tokens - pooled)
            missing_ahead = max(0.0, ahead - (pooled - tokens + missing))
            if missing + missing_ahead > 0:
                totals.append(TokenWish(account, missing, missing_ahead))
        return tuple(totals)

    def needs_tokens(self) -> bool:
        """Return whether queued requests of an entry VM wait for tokens."""
        return any(
            wish.tokens > 0
            for by_vm in self._wishes.values()
            for wish in by_vm.values()
        )

    def distribute(self, now: float) -> dict[VmName, list[TokenLot]]:
        """Grant the pooled tokens and return the lots of each entry VM.

        Wishes for queued requests are granted whole, the oldest first. The
        rest is split in proportion to what is wished ahead. An entry VM is
        told of a shortage if its queued requests get less than they need.
        """
        granted: dict[VmName, list[TokenLot]] = defaultdict(list)
        for account, by_vm in self._wishes.items():
            pool = self._pools[account]
            is_short = account in self._short
            if not by_vm or not (is_short or pool.total(now) > 0):
                continue
            for vm, lot in self._split(account, by_vm, now):
                granted[vm].append(lot)
        self._short.clear()
        return granted

    def record_grant(
        self,
        vm: VmName,
        lots: list[TokenLot],
        number: int,
        now: float,
    ) -> None:
        """Record which reply carries lots to an entry VM."""
        grants = self._grants.setdefault(vm, [])
        grants.extend(
            _Grant(now, number, lot.account, lot.tokens) for lot in lots
        )

    def _confirm_grants(self, vm: VmName, seen: int, now: float) -> None:
        self._grants[vm] = [
            grant
            for grant in self._grants.get(vm, [])
            if grant.number > seen and now - grant.at < UNCONFIRMED_TTL_S
        ]

    def _deduct_unconfirmed(self, vm: VmName, wish: TokenWish) -> TokenWish:
        """Return a wish less what is on its way to the entry VM."""
        on_the_way = sum(
            grant.tokens
            for grant in self._grants[vm]
            if grant.account == wish.account
        )
        tokens = max(0.0, wish.tokens - on_the_way)
        on_the_way -= wish.tokens - tokens
        ahead = max(0.0, wish.ahead - on_the_way)
        return wish._replace(tokens=tokens, ahead=ahead)

    def _split(
        self,
        account: AccountName,
        by_vm: dict[VmName, _Wish],
        now: float,
    ) -> Iterator[tuple[VmName, TokenLot]]:
        pool = self._pools[account]
        age_s = pool.age_s(now)
        granted = {
            vm: pool.take(wish.tokens, now)
            for vm, wish in sorted(by_vm.items(), key=_wished_since)
        }
        part = _part_of_ahead(pool.total(now), by_vm.values())
        for vm, tokens in granted.items():
            wish = by_vm[vm]
            extra = pool.take(part * wish.ahead, now)
            by_vm[vm] = wish.reduced_by(tokens, extra)
            is_unmet = account in self._short and tokens < wish.tokens
            if tokens + extra > 0 or is_unmet:
                yield (
                    vm,
                    TokenLot(
                        account,
                        tokens + extra,
                        is_unmet,
                        age_s,
                        self._short.get(account, 0.0),
                    ),
                )


def _wished_since(wish: tuple[VmName, _Wish]) -> float:
    return wish[1].since


def _part_of_ahead(tokens: float, wishes: Iterable[_Wish]) -> float:
    """Return the fraction of what is wished ahead that tokens suffice for."""
    ahead = sum(wish.ahead for wish in wishes)
    return min(1.0, tokens / ahead) if ahead else 0.0
