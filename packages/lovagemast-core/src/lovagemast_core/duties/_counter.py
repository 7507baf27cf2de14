"""Counts, at an entry VM, the requests that targets began to run."""

from collections import Counter

from .._types import AccountName, VmName
from ._clock import SteadyClock
from ._config import UsageWindows
from ._exchange import UsageExchange
from ._records import VmUsage, WindowUsage


class UsageCounter:
    """An entry VM's counts by window and client account.

    The time comes from the relay. Until it is known, which is before the VM
    has a configuration to serve by, its own clock must do.
    """

    def __init__(
        self,
        vm: VmName,
        incarnation: int,
        windows: UsageWindows,
        own_clock: SteadyClock,
    ) -> None:
        self.exchange = UsageExchange()
        self.total = 0
        self._vm = vm
        self._incarnation = incarnation
        self._windows = windows
        self._own_clock = own_clock
        self._open_window = 0
        self._counts: dict[int, Counter[AccountName]] = {}

    def record(self, account: AccountName, wall_s: float, now: float) -> None:
        """Count a request that has begun to run."""
        self._advance(wall_s, now)
        counts = self._counts.setdefault(self._open_window, Counter())
        counts[account] += 1
        self.total += 1

    def reports(
        self, ask: int, wall_s: float, now: float
    ) -> tuple[VmUsage, ...]:
        """Return what to report with the sync request of this number."""
        self._advance(wall_s, now)
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

    def _advance(self, wall_s: float, now: float) -> None:
        """Open the present window; a closed one is not opened again."""
        own_s = self._own_clock.read(wall_s, now)
        utc_s = self.exchange.clock.utc(now) or own_s
        window = self._windows.window_at(utc_s)
        self._open_window = max(self._open_window, window)
