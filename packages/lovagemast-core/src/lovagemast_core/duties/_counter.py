"""Counts, at an entry VM, the requests that targets began to run."""

from collections import Counter
from typing import Final, NamedTuple

from .._types import AccountName, VmName
from ._config import UsageWindows
from ._exchange import UsageExchange
from ._records import VmUsage, WindowUsage

MAX_EARLY: Final = 4_096  # requests, until the time is known


class _Early(NamedTuple):
    account: AccountName
    at: float  # s


class UsageCounter:
    """An entry VM's counts by window and client account.

    The time comes from the relay, not from the VM's own clock: a window that
    was opened too early would take the counts of all up to then.
    """

    def __init__(
        self, vm: VmName, incarnation: int, windows: UsageWindows
    ) -> None:
        self.exchange = UsageExchange()
        self._vm = vm
        self._incarnation = incarnation
        self._windows = windows
        self._open_window = 0
        self._counts: dict[int, Counter[AccountName]] = {}
        self._early: list[_Early] = []

    def record(self, account: AccountName, now: float) -> None:
        """Count a request that has begun to run."""
        if self._is_time_known(now):
            self._count(self._open_window, account)
        elif len(self._early) < MAX_EARLY:
            self._early.append(_Early(account, now))

    def reports(self, ask: int, now: float) -> tuple[VmUsage, ...]:
        """Return what to report with the sync request of this number."""
        if not self._is_time_known(now):
            return ()
        windows = tuple(
            WindowUsage(window, tuple(counts), tuple(counts.values()))
            for window, counts in self._counts.items()
        )
        usage = VmUsage(self._vm, self._incarnation, self._open_window, windows)
        self.exchange.ledger.add((usage,))
        self._counts = {  # closed windows are final, and in the ledger
            window: counts
            for window, counts in self._counts.items()
            if window == self._open_window
        }
        return self.exchange.reports(ask, now)

    def _is_time_known(self, now: float) -> bool:
        """Open the present window.

        A small step back of the time opens no closed window again. A larger
        one corrects a time that was wrong.
        """
        utc_s = self.exchange.clock.utc(now)
        if utc_s is None:
            return False
        window = self._windows.window_at(utc_s)
        if self._open_window != window + 1:
            self._open_window = window
        for account, at in self._early:
            began_in = self._windows.window_at(utc_s - (now - at))
            self._count(began_in, account)
        self._early.clear()
        return True

    def _count(self, window: int, account: AccountName) -> None:
        counts = self._counts.setdefault(window, Counter())
        counts[account] += 1
