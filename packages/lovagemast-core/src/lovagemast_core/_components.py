"""Builds the controllers of a node and wires them together."""

import random
from collections.abc import Iterable
from typing import Final

from ._config import NodeConfig
from ._messages import TargetFacts, TargetNews
from ._outbox import Outbox
from ._timeline import EventKind
from ._types import AccountName, VmName
from .agreement._agreement import Agreement
from .ownership._crashdetector import CrashDetector
from .ownership._loadscheduler import STORE_ACCOUNT, LoadScheduler, store_limits
from .ownership._owner import OwnerController
from .ownership._ownership import OwnershipController
from .placement._directory import Directory
from .placement._placer import Placer
from .rates._rates import RateController, RateLimits
from .rates._shares import SHARE_RENEWAL_INTERVAL_S, ShareHolder
from .requests._requests import RequestController

SUMMARY_INTERVAL_S: Final = 0.25
EXPIRY_CHECK_INTERVAL_S: Final = 1.0


class NodeComponents:
    """All controllers of a node, and its periodic tasks."""

    def __init__(self, cfg: NodeConfig, rng: random.Random) -> None:
        now = cfg.started_at
        self.cfg = cfg
        self.outbox = Outbox(cfg.entry.vm, rng)
        self.agreement = Agreement(cfg, self.outbox)
        self.published = self.agreement.published
        self.share = ShareHolder(self.outbox, cfg.boot, now)
        self.rates = RateController(
            self.outbox,
            self.share,
            self._limits_of,
            self._lenders,
            cfg.boot,
        )
        self.directory = Directory()
        self._build_owner(now)
        self.requests = RequestController(
            self.outbox,
            self.published,
            self.agreement.proposals,
            self.rates,
            self._placer(),
            cfg.boot,
        )
        for task in (
            self._request_share_renewal,
            self._send_summaries,
            self._drop_stale_targets,
        ):
            self.outbox.call_at(now, task)

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests to this VM."""
        if self.is_draining() or self.published.state.revision == 0:
            return False
        return not self.published.index.zone_is_out(self.cfg.entry.zone)

    def is_draining(self) -> bool:
        """Return whether operators or a shutdown drain this VM."""
        configured = self.cfg.entry.vm in self.published.index.cfg.draining_vms
        return self.requests.is_draining() or configured

    def on_published_changed(self, now: float) -> None:
        """Apply a newer published state."""
        own = self.agreement.own_entry()
        self.share.set_floor(own.floor if own else 0, now)
        self.owner.on_config_changed()
        self.update_draining(now)

    def update_draining(self, now: float) -> None:
        """Release targets when a drain starts, acquire them when it ends."""
        draining = self.is_draining()
        if draining != self.agreement.draining:
            self.agreement.draining = draining
            self.ownership.set_draining(draining, now)
            self.agreement.membership.send_heartbeat(now)

    def on_target_announced(self, facts: TargetFacts, now: float) -> None:
        """Handle a target's announcement and forward it if it is new."""
        if self.update_target_facts(facts, now):
            for vm in self.agreement.membership.alive_peers(now):
                self.outbox.send(vm, TargetNews(facts))

    def update_target_facts(self, facts: TargetFacts, now: float) -> bool:
        """Record an announcement; return whether it was new."""
        known = self.directory.get(facts.target)
        was_leaving = known.facts.leaving if known else None
        if not self.directory.update_facts(facts, now):
            return False
        self.owner.update_facts(facts)
        if facts.leaving != was_leaving:
            kind = EventKind.TARGET_JOINED
            if facts.leaving:
                kind = EventKind.TARGET_LEFT
            self.outbox.record(
                now,
                kind,
                f'{facts.pool} in {facts.zone}',
                target=facts.target,
            )
        return True

    def _build_owner(self, now: float) -> None:
        membership = self.agreement.membership
        self.owner = OwnerController(
            self.outbox,
            membership,
            CrashDetector(self.outbox, self.agreement.proposals),
            lambda zone: self.published.index.zone_is_out(zone),
            self.cfg.policy.eviction_score,
            self.cfg.boot,
        )
        self.owner.orders.load_scheduler = LoadScheduler(
            self.rates,
            self.owner.orders.start_load,
            self._may_load,
        )
        self.ownership = OwnershipController(
            self.outbox,
            self.cfg.entry,
            self.published,
            membership,
            self.directory,
            self.owner,
            now,
        )

    def _placer(self) -> Placer:
        return Placer(
            self.published,
            self.agreement.membership,
            self.directory,
            self.cfg.policy.placement,
            self.cfg.entry.zone,
        )

    def _limits_of(self, account: AccountName) -> RateLimits | None:
        index = self.published.index
        if account == STORE_ACCOUNT:
            return store_limits(index.cfg.store)
        known = index.accounts.get(account)
        if known is None:
            return None
        return RateLimits(known.rate_tokens_s, known.burst_tokens)

    def _lenders(self, account: AccountName, now: float) -> Iterable[VmName]:
        lends = self.cfg.policy.lends_tokens or account == STORE_ACCOUNT
        if not lends:
            return ()
        peers = self.agreement.membership.alive_peers(now)
        self.outbox.rng.shuffle(peers)
        return peers

    def _may_load(self, in_flight: int, now: float) -> bool:
        elsewhere = self.directory.peer_loads(self.cfg.entry.vm, now)
        limit = self.published.index.cfg.store.loads_in_flight
        return in_flight + elsewhere < limit

    def _request_share_renewal(self, now: float) -> None:
        leader = self.agreement.find_leader()
        ask = self.share.renewal_ask(now, idle=not self.is_ready())
        self.outbox.send(leader, ask)
        self.outbox.call_at(
            now + SHARE_RENEWAL_INTERVAL_S, self._request_share_renewal
        )

    def _send_summaries(self, now: float) -> None:
        summaries = self.owner.summaries(now)
        if summaries.summaries:
            peers = self.agreement.membership.alive_peers(now)
            for vm in (self.cfg.entry.vm, *peers):
                self.outbox.send(vm, summaries)
        self.outbox.call_at(now + SUMMARY_INTERVAL_S, self._send_summaries)

    def _drop_stale_targets(self, now: float) -> None:
        for target in self.directory.drop_stale(now):
            self.ownership.drop_target(target, now)
        self.outbox.call_at(
            now + EXPIRY_CHECK_INTERVAL_S,
            self._drop_stale_targets,
        )
