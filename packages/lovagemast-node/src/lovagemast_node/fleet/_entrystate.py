"""State that all requests of an entry VM share."""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Final

from lovagemast_core.deployment import RouteSpec
from lovagemast_core.duties import UsageCounter
from lovagemast_core.entry import (
    LONG_AGO_S,
    BatchLimit,
    ColdStartLimiter,
    DrainWindow,
    FleetView,
    PathMonitor,
    PeerDirectory,
    PrefillLimit,
    RejectionGuard,
    RetryBudget,
    SendLimiter,
    TargetHealth,
)
from lovagemast_core.quarantine import QuarantineGuard
from lovagemast_core.quota import LocalTokens
from lovagemast_core.streams import StreamLookups, StreamReports

from .._clock import now_s, wall_ms
from ..http import TargetPool
from ._codec import EntryCodec
from ._connectionlimits import ConnectionLimits
from ._jsonlog import JsonLog
from ._loadtracker import LoadTracker
from ._metrics import EntryMetrics
from ._pathprober import PathProber
from ._peerchannels import PeerChannels
from ._poolqueues import PoolQueues
from ._settings import EntrySettings
from ._targetpaces import PaceTracker

# Between the checks of requests that wait, if nothing wakes them.
POLL_INTERVAL_S: Final = 0.05


class EntryState:
    """The fleet view, limits, metrics and target connections of an entry VM.

    ``started_at`` is when its process has started, in s.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        codec: EntryCodec,
        log: JsonLog,
        request_sync: Callable[[], None],
        started_at: float = LONG_AGO_S,
    ) -> None:
        self.cfg = cfg
        self.codec = codec
        self.log = log
        self.request_sync = request_sync
        self.view = FleetView()
        self.health = TargetHealth()
        self.prober = PathProber(self)
        self.peers = PeerChannels(
            PeerDirectory(cfg.vm, cfg.zone), cfg.peer_port
        )
        self.tokens = LocalTokens(cfg.quota)
        self.metrics = EntryMetrics()
        self._limits = ConnectionLimits(cfg.limits, log, self.metrics.registry)
        self.pool = TargetPool(self._limits.bodies, cfg.limits.max_idle)
        self.cold = ColdStartLimiter()
        self.sends = SendLimiter()
        self.rejections = RejectionGuard()
        self.batch = BatchLimit()
        self.prefill = PrefillLimit()
        self.guard = QuarantineGuard(cfg.vm)
        self.streams = StreamReports()
        self.lookups = StreamLookups()
        self.load = LoadTracker(PaceTracker(log, self.metrics))
        self.queues = PoolQueues(log, self.metrics)
        self.retries = RetryBudget(
            cfg.retry_ratio,
            cfg.retry_slack,
            cfg.retry_window_s,
            started_at,
        )
        self.drain: DrainWindow | None = None  # once told to stop
        self._usage = _make_usage_counter(cfg)
        self.time_limits: set[asyncio.Timeout] = set()  # of requests
        self._rng = random.Random(secrets.randbits(64))
        self._update: asyncio.Future[None] | None = None

    @property
    def limits(self) -> ConnectionLimits:
        """Return what the connections of this process may hold."""
        return self._limits

    @property
    def paths(self) -> PathMonitor:
        """Return which pools are in reach."""
        return self.prober.paths

    @property
    def usage(self) -> UsageCounter | None:
        """Return the counter of usage, if usage is reported."""
        return self._usage

    def pick_pool(self, route: RouteSpec) -> str:
        """Pick a pool at random by the weights of the route's traffic split."""
        splits = [split for split in route.splits if split.weight > 0]
        if len(splits) == 1:
            return splits[0].pool
        weights = [split.weight for split in splits]
        return self._rng.choices(splits, weights)[0].pool

    def are_keys_confirmed(self, now: float) -> bool:
        """Return whether a quorum confirmed the API keys recently enough."""
        limit_s = self.cfg.key_age_s
        return limit_s is None or self.view.age(now) < limit_s

    def start_drain(self, window: DrainWindow) -> None:
        """Let the requests in progress end with the window at the latest."""
        self.drain = window
        # Time limits are readings of the event loop's clock.
        loop_now = asyncio.get_running_loop().time()
        ends_at = loop_now + window.ends_at - now_s()
        for limit in self.time_limits:
            when = limit.when()
            if when is not None and when > ends_at:
                limit.reschedule(ends_at)

    async def wait_for_update(self, timeout_s: float) -> None:
        """Wait for an update from the leader, ``timeout_s`` at most.

        Prompt tokens that are released at a target count as an update too.
        """
        if self._update is None or self._update.done():
            self._update = asyncio.get_running_loop().create_future()
        await asyncio.wait((self._update,), timeout=timeout_s)

    def notify_update(self) -> None:
        """Wake all requests that wait for an update.

        Those that wait in order for a target are woken only if they can be
        sent.
        """
        if self._update and not self._update.done():
            self._update.set_result(None)
        self.queues.notify_all()


def _make_usage_counter(cfg: EntrySettings) -> UsageCounter | None:
    """Return a counter if usage is to be reported.

    Its counts are those of an incarnation of the process, which is named by
    its start.
    """
    if cfg.cloud is None or not cfg.cloud.duties.has_metering:
        return None
    return UsageCounter(cfg.vm, wall_ms(), cfg.cloud.duties.windows)
