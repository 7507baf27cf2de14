"""Benchmark of the processor time of ``Node.handle`` by kind of event."""

import json
import sys
import time
from collections import defaultdict
from typing import Any, Final

from lovagemast_core import DEFAULT_POLICY, Event, PeerReceived

from .deployment import Deployment
from .workload import Workload

SEED: Final = 1
P95: Final = 0.95
MAX_KINDS: Final = 12  # with the largest total time


class TimedDeployment(Deployment):
    """A deployment that measures the time of each event."""

    def __init__(self, workload: Workload) -> None:
        super().__init__(workload, SEED, DEFAULT_POLICY)
        self.times_by_kind: dict[str, list[float]] = defaultdict(list)
        feed = self.fleet._feed

        def timed(vm: str, event: Event) -> None:
            started = time.perf_counter()
            feed(vm, event)
            elapsed_s = time.perf_counter() - started
            self.times_by_kind[_kind(event)].append(elapsed_s)

        self.fleet._feed = timed  # type: ignore[method-assign]


def run_handle() -> dict[str, Any]:
    """Return the median and p95 in us, including the simulator's overhead."""
    deployment = TimedDeployment(Workload.from_name('skovgaard'))
    deployment.run()
    times_by_kind = deployment.times_by_kind
    all_times_s = [one for times in times_by_kind.values() for one in times]
    slowest_kinds = sorted(
        times_by_kind, key=lambda kind: -sum(times_by_kind[kind])
    )[:MAX_KINDS]
    return {
        'all': _summary(all_times_s),
        **{kind: _summary(times_by_kind[kind]) for kind in slowest_kinds},
    }


def _kind(event: Event) -> str:
    if isinstance(event, PeerReceived):
        return type(event.message).__name__
    return type(event).__name__


def _summary(times_s: list[float]) -> dict[str, float]:
    ranked = sorted(times_s)
    return {
        'events': len(ranked),
        'median_us': round(ranked[len(ranked) // 2] * 1e6, 1),
        'p95_us': round(ranked[int(P95 * (len(ranked) - 1))] * 1e6, 1),
    }


if __name__ == '__main__':
    json.dump(run_handle(), sys.stdout, indent=2)
    sys.stdout.write('\n')
