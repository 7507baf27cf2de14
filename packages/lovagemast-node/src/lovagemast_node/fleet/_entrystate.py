"""What all requests of an entry VM share."""

import asyncio
import random
import secrets
from collections.abc import Callable

from lovagemast_core.deployment import RouteSpec
from lovagemast_core.entry import (
    BatchLimit,
    ColdStartLimiter,
    FleetView,
    PrefillLimit,
    RetryBudget,
    TargetHealth,
)
from lovagemast_core.quota import LocalTokens

from ..http import TargetPool
from ._dialect import EdgeDialect
from ._lines import LineLog
from ._metrics import EntryMetrics
from ._settings import EntrySettings
from ._work import WorkBook


class EntryState:
    """The view of the fleet, the limits, and connections to targets."""

    def __init__(
        self,
        cfg: EntrySettings,
        dialect: EdgeDialect,
        log: LineLog,
        ask_leader: Callable[[], None],
    ) -> None:
        self.cfg = cfg
        self.dialect = dialect
        self.log = log
        self.ask_leader = ask_leader
        self.view = FleetView()
        self.health = TargetHealth()
        self.tokens = LocalTokens(cfg.quota)
        self.work = WorkBook()
        self.pool = TargetPool()
        self.cold = ColdStartLimiter()
        self.batch = BatchLimit()
        self.prefill = PrefillLimit()
        self.metrics = EntryMetrics()
        self.retries = RetryBudget(
            cfg.retry_ratio,
            cfg.retry_slack,
            cfg.retry_window_s,
        )
        self._rng = random.Random(secrets.randbits(64))
        self._news: asyncio.Future[None] | None = None

    def pick_pool(self, route: RouteSpec) -> str:
        """Return the pool for a request, by the route's weights."""
        splits = [split for split in route.splits if split.weight > 0]
        if len(splits) == 1:
            return splits[0].pool
        weights = [split.weight for split in splits]
        return self._rng.choices(splits, weights)[0].pool

    def is_confirmed(self, now: float) -> bool:
        """Return whether keys were confirmed by a quorum lately enough."""
        limit_s = self.cfg.key_age_s
        return limit_s is None or self.view.age(now) < limit_s

    async def wait_for_news(self, timeout_s: float) -> None:
        """Wait until the leader sends news, for a short time at most."""
        if self._news is None or self._news.done():
            self._news = asyncio.get_running_loop().create_future()
        await asyncio.wait((self._news,), timeout=timeout_s)

    def announce_news(self) -> None:
        """Wake the requests that wait for news."""
        if self._news and not self._news.done():
            self._news.set_result(None)
