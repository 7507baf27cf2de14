"""Merges usage counts of entry VMs, at relays and at the leader."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from .._types import VmName
from ._records import AccountCount, UsageReport, VmUsage, WindowUsage

MAX_WINDOWS: Final = 64  # per incarnation; the newest are kept
LIVE_WINDOWS: Final = 3  # without a report, until a VM is taken to be gone
# Incarnations without counts are forgotten after this many windows.
IDLE_WINDOWS: Final = 12
MAX_INCARNATIONS: Final = 8_192
MAX_ACCOUNTS: Final = 4_096  # per window

_Incarnation = tuple[VmName, int]


class _Counts:
    """The counts of one incarnation, with stamps of their changes."""

    def __init__(self) -> None:
        self.open_window = 0
        self.stamp = 0  # of the newest change
        self.windows: dict[int, tuple[int, dict[str, int]]] = {}

    def merge(self, usage: VmUsage, floor: int, stamp: int) -> bool:
        """Merge cumulative counts; return whether anything is new."""
        is_new = usage.open_window > self.open_window
        self.open_window = max(self.open_window, usage.open_window)
        for reported in usage.windows:
            if reported.window > floor and self._merge_window(reported, stamp):
                is_new = True
        while len(self.windows) > MAX_WINDOWS:
            self.windows.pop(min(self.windows))
        if is_new:
            self.stamp = stamp
        return is_new

    def drop_to(self, floor: int) -> None:
        """Drop the windows up to one."""
        self.windows = {
            window: known
            for window, known in self.windows.items()
            if window > floor
        }

    def _merge_window(self, reported: WindowUsage, stamp: int) -> bool:
        _stamp, known = self.windows.get(reported.window, (0, {}))
        merged = dict(known)
        for account, count in zip(
            reported.accounts[:MAX_ACCOUNTS], reported.counts, strict=False
        ):
            merged[account] = max(count, merged.get(account, 0))
        if merged == known:
            return False
        self.windows[reported.window] = (stamp, merged)
        return True


class UsageLedger:
    """The counts of all incarnations of entry VMs, after the last commit.

    Counts are cumulative, so that a report that arrives twice or late adds
    nothing.
    """

    def __init__(self) -> None:
        self.stamp = 0
        self.floor = 0  # windows up to this one are committed
        self._counts: dict[_Incarnation, _Counts] = {}

    def clear(self) -> None:
        """Forget all counts."""
        self._counts.clear()

    def add(self, usages: Iterable[VmUsage]) -> None:
        """Merge reports."""
        for usage in usages:
            name = (usage.vm, usage.incarnation)
            counts = self._counts.get(name)
            if counts is None:
                if len(self._counts) >= MAX_INCARNATIONS:
                    continue
                counts = self._counts.setdefault(name, _Counts())
            if counts.merge(usage, self.floor, self.stamp + 1):
                self.stamp += 1

    def set_floor(self, floor: int) -> None:
        """Forget the windows that are committed, and idle incarnations."""
        if floor <= self.floor:
            return
        self.floor = floor
        for name, counts in list(self._counts.items()):
            counts.drop_to(floor)
            is_idle = counts.open_window + IDLE_WINDOWS < floor
            if is_idle and not counts.windows:
                self._counts.pop(name)

    def changed_since(self, stamp: int) -> tuple[VmUsage, ...]:
        """Return the counts that are newer than a stamp."""
        return tuple(
            VmUsage(
                vm,
                incarnation,
                counts.open_window,
                tuple(
                    WindowUsage(window, tuple(known), tuple(known.values()))
                    for window, (changed_at, known) in counts.windows.items()
                    if changed_at > stamp
                ),
            )
            for (vm, incarnation), counts in self._counts.items()
            if counts.stamp > stamp
        )

    def oldest_window(self) -> int | None:
        """Return the oldest window that has counts."""
        windows = [
            window
            for counts in self._counts.values()
            for window in counts.windows
        ]
        return min(windows, default=None)

    def unclosed_vms(self, window: int) -> list[VmName]:
        """Return the VMs that may still count in a window.

        A VM without a recent report is taken to be gone.
        """
        newest: dict[VmName, int] = {}
        for (vm, _incarnation), counts in self._counts.items():
            newest[vm] = max(counts.open_window, newest.get(vm, 0))
        return sorted(
            vm
            for vm, open_window in newest.items()
            if window - LIVE_WINDOWS <= open_window <= window
        )

    def report(self, window: int) -> UsageReport:
        """Return the sums of a window."""
        sums: Counter[str] = Counter()
        for counts in self._counts.values():
            _stamp, known = counts.windows.get(window, (0, {}))
            sums.update(known)
        return UsageReport(
            window,
            tuple(
                AccountCount(account, sums[account])
                for account in sorted(sums)
                if sums[account] > 0
            ),
        )
