"""Bounds that a scheduler with full information reaches on a workload."""

import heapq
from bisect import bisect_right
from typing import Final

from standins.virtual_target import LOAD_S, STEP_GROWTH, STEP_S

from .workload import Arrival, Workload

NEVER: Final = float('inf')


def ideal_admissions(workload: Workload, arrivals: list[Arrival]) -> list[bool]:
    """Return which arrivals a central token bucket per account admits.

    On arrival it charges the tokens that the request is going to use.
    """
    count = len(workload.accounts)
    levels = [workload.burst(account) for account in range(count)]
    times = [0.0 for _ in range(count)]
    admitted = []
    for arrival in arrivals:
        account = arrival.account
        accrued = (arrival.at - times[account]) * workload.rate(account)
        full = workload.burst(account)
        level = min(full, levels[account] + accrued)
        cost = arrival.cost(workload.prompt_tokens)
        admitted.append(cost <= level)
        levels[account] = level - cost if cost <= level else level
        times[account] = arrival.at
    return admitted


def clairvoyant_stalls(
    workload: Workload,
    arrivals: list[Arrival],
    preloaded: list[str],
) -> list[float]:
    """Return each request's wait for a load under optimal eviction.

    A single cache with the slots of all engines evicts the adapter whose next
    use is farthest in the future. Loads start in order at the store's rate
    and run at full speed. During the zone outage the slots of that zone are
    missing; they come back empty.
    """
    use_times: dict[str, list[float]] = {}
    for arrival in arrivals:
        use_times.setdefault(arrival.adapter, []).append(arrival.at)
    slots = workload.engines * workload.adapter_slots
    lost_slots = workload.engines_in_zone(workload.zone_out)
    lost_slots *= workload.adapter_slots
    out_at, _gone_at, back_at = workload.zone_out_s
    ready_at = dict.fromkeys(preloaded[:slots], 0.0)
    eviction_heap = [
        (-_next_use(use_times, name, 0), name) for name in ready_at
    ]
    heapq.heapify(eviction_heap)
    store = _Store(workload.store_loads_per_s, workload.vms)
    stalls = []
    for arrival in arrivals:
        name = arrival.adapter
        capacity = (
            slots - lost_slots if out_at <= arrival.at < back_at else slots
        )
        while len(ready_at) > capacity:
            _evict(eviction_heap, ready_at, use_times, arrival.at)
        if name not in ready_at:
            if len(ready_at) >= capacity:
                _evict(eviction_heap, ready_at, use_times, arrival.at)
            ready_at[name] = store.load(arrival.at)
        stalls.append(max(0.0, ready_at[name] - arrival.at))
        next_use = _next_use(use_times, name, arrival.at)
        heapq.heappush(eviction_heap, (-next_use, name))
    return stalls


def ideal_mean_batch(workload: Workload, arrivals: list[Arrival]) -> float:
    """Return the mean batch size if every engine had every adapter.

    Each request goes to the engine with the fewest calls.
    """
    ends: list[list[float]] = [[] for _ in range(workload.engines)]
    busy_s = 0.0
    batch_s = 0.0
    for arrival in arrivals:
        for calls in ends:
            while calls and calls[0] <= arrival.at:
                heapq.heappop(calls)
        calls = min(ends, key=len)
        batch = len(calls) + 1
        step = STEP_S * (1 + STEP_GROWTH * (batch - 1))
        duration_s = arrival.used_tokens * step
        start = arrival.at
        if batch > workload.max_in_flight:
            start = calls[0]
        last_end = max(calls, default=start)
        busy_s += max(0.0, start + duration_s - max(start, last_end))
        batch_s += duration_s
        heapq.heappush(calls, start + duration_s)
    return batch_s / busy_s if busy_s else 0.0


class _Store:
    """A weight store that starts loads at a limited rate, with bursts."""

    def __init__(self, loads_per_s: float, burst: int) -> None:
        self._interval_s = 1 / loads_per_s
        self._burst = burst
        self._starts: list[float] = []

    def load(self, now: float) -> float:
        """Return when a load that is requested now finishes."""
        start = now
        if len(self._starts) >= self._burst:
            earliest = (
                self._starts[-self._burst] + self._burst * self._interval_s
            )
            start = max(now, earliest, self._starts[-1])
        self._starts.append(start)
        return start + LOAD_S


def _next_use(
    use_times: dict[str, list[float]], name: str, now: float
) -> float:
    times = use_times.get(name, [])
    position = bisect_right(times, now)
    return times[position] if position < len(times) else NEVER


def _evict(
    eviction_heap: list[tuple[float, str]],
    ready_at: dict[str, float],
    use_times: dict[str, list[float]],
    now: float,
) -> None:
    while eviction_heap:
        next_use, name = heapq.heappop(eviction_heap)
        if name in ready_at and -next_use == _next_use(use_times, name, now):
            ready_at.pop(name)
            return
