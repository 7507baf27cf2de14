"""Counts, at an entry VM, the requests that targets began to run."""

from collections import Counter
from typing import Final, NamedTuple

from .._types import AccountName, VmName
from ._config import UsageWindows
from ._exchange import UsageExchange
from ._records import VmUsage, WindowUsage
from ._worktimes import WorkTimes

MAX_RUNS: Final = 4_096  # requests, until the time is known
# A window is closed this long after its end: a response that has just come
# may tell of work that began before.
CLOSE_LAG_S: Final = 0.5


class _Run(NamedTuple):
    account: AccountName
    began_at: float  # s


class UsageCounter:
    """An entry VM's counts by window and client account.

    The time comes from the relay, not from the VM's own clock: a window that
    was opened too early would take the counts of all up to then.
    """

    def __init__(
        self, vm: VmName, incarnation: int, windows: UsageWindows
    ) -> None:
        self.exchange = UsageExchange()
        self.work_times = WorkTimes()
        self._vm = vm
        self._incarnation = incarnation
        self._windows = windows
        self._open_window = 0
        self._counts: dict[int, Counter[AccountName]] = {}
        self._runs: list[_Run] = []

    def record(self, account: AccountName, began_at: float, now: float) -> None:
        """Count a request that began to run at a time, in s."""
        if len(self._runs) < MAX_RUNS:
            self._runs.append(_Run(account, began_at))
        self._advance(now)

    def reports(self, ask: int, now: float) -> tuple[VmUsage, ...]:
        """Return what to report with the sync request of this number."""
        if not self.exchange.is_due(now) or not self._advance(now):
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
            if window >= self._open_window
        }
        return self.exchange.reports(ask, now)

    def _advance(self, now: float) -> bool:
        """Count the runs, and open the present window.

        A small step back of the time opens no closed window again. A larger
        one corrects a time that was wrong.
        """
        utc_s = self.exchange.clock.utc(now)
        if utc_s is None:
            return False
        for account, began_at in self._runs:
            began_in = self._windows.window_at(utc_s - (now - began_at))
            self._count(max(began_in, self._open_window), account)
        self._runs.clear()
        window = self._windows.window_at(utc_s - CLOSE_LAG_S)
        if self._open_window != window + 1:
            self._open_window = window
        return True

    def _count(self, window: int, account: AccountName) -> None:
        counts = self._counts.setdefault(window, Counter())
        counts[account] += 1
