"""The waiting requests of all pools of an entry VM, and what ranks them.

Pools whose targets report their pace are served in order; in the others each
waiting request polls.
"""

import random
import secrets
from typing import Final

from lovagemast_core.deployment import DeploymentIndex
from lovagemast_core.entry import (
    ExpectedReturns,
    FirstEventTimes,
    WaitingRequest,
    WaitQueue,
    account_weights,
)

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._codec import TargetResponseMetadata
from ._jsonlog import JsonLog
from ._metrics import EntryMetrics
from ._poolqueue import PoolQueue

# A token of the output holds a slot for a step of the whole batch, one of the
# prompt is processed along with others.
OUTPUT_TOKEN_WORK: Final = 8.0
# Callers state the tokens; more than any model takes would only distort sums.
MAX_WORK: Final = 1e7
# Around the expected wait: requests refused at the same moment would return
# at the same moment.
JITTER: Final = (0.75, 1.25)
MAX_RETRY_AFTER_S: Final = 4.0
MIN_RETRY_AFTER_S: Final = 0.1


class PoolQueues:
    """Queues of the pools that are served in order, and their common state."""

    def __init__(self, log: JsonLog, metrics: EntryMetrics) -> None:
        self.polling = WaitQueue()  # of the pools that are not
        self.first_events = FirstEventTimes()
        self._log = log
        self._metrics = metrics
        self._queues: dict[str, PoolQueue] = {}
        self._returns = ExpectedReturns()
        self._rng = random.Random(secrets.randbits(64))
        self._weights: dict[str, float] = {}

    def queue_of(self, pool: str) -> PoolQueue | None:
        """Return the queue of a pool, ``None`` if it isn't served in order."""
        return self._queues.get(pool)

    def record_response(
        self, pool: str, response: TargetResponseMetadata
    ) -> None:
        """Serve a pool in order from now on if its target reports its pace.

        A figure that can't be read (NaN) is no report.
        """
        has_pace = response.pace is not None and response.pace > 0
        if has_pace and pool not in self._queues:
            self.serve_in_order(pool)

    def serve_in_order(self, pool: str) -> None:
        """Serve the requests that wait for a pool in order from now on."""
        self._queues[pool] = PoolQueue(
            lambda counts: self._metrics.set_waiting(pool, counts)
        )
        self._log.write('queue', 'pool is served in order', pool=pool)

    def notify(self, pool: str) -> None:
        """Look for requests to wake, as a slot of a pool may be free."""
        queue = self._queues.get(pool)
        if queue:
            queue.notify()

    def notify_all(self) -> None:
        """Look for requests to wake in all pools."""
        for queue in self._queues.values():
            queue.notify()

    def rank(
        self, admitted: AdmittedRequest, queue: PoolQueue
    ) -> WaitingRequest:
        """Return what decides the place of a request in a pool's queue."""
        now = now_s()
        first_at = None
        if admitted.subjects:
            first_at = self._returns.take(admitted.subjects[-1], now)
        returns = first_at is not None
        if first_at is None:
            first_at = admitted.arrived_at
        route = admitted.route
        sent_by = route.objective_s - self.first_events.expected_s(
            route.name, route.objective_s
        )
        name = admitted.account_name or ''
        return WaitingRequest(
            name,
            self._weights.get(name, 1.0),
            admitted.queue_priority,
            admitted.arrived_at,
            first_at + sent_by,
            admitted.deadline,
            _work_of(admitted) or queue.order.shares.mean_work(now),
            returns,
        )

    def set_index(self, index: DeploymentIndex) -> None:
        """Use the weights of the accounts of a configuration."""
        self._weights = account_weights(index.accounts.values())
        for pool in set(self._queues) - set(index.pools):
            if not self._queues[pool]:
                self._queues.pop(pool)

    def refuse_early(
        self, admitted: AdmittedRequest, wait_s: float, now: float
    ) -> float:
        """Count a request that is refused at once; return its Retry-After."""
        retry_after_s = wait_s * self._rng.uniform(*JITTER)
        retry_after_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)
        )
        self._metrics.record_early_refusal(
            admitted.pool.name, admitted.queue_priority
        )
        if admitted.subjects:
            self._returns.add(
                admitted.subjects[-1], admitted.arrived_at, retry_after_s, now
            )
        return retry_after_s


def _work_of(admitted: AdmittedRequest) -> float:
    """Return the work that a request is expected to be, 0 if not known."""
    metadata = admitted.metadata
    prompt = metadata.prompt_tokens
    output = max(0.0, (metadata.tokens or 0.0) - prompt)
    return min(MAX_WORK, prompt + OUTPUT_TOKEN_WORK * output)
