"""Fleet control by the leader: targets, adapters, tokens, relays."""

from typing import Final, NamedTuple

from .._state import PublishedState
from .._types import TargetName, VmName, ZoneName
from ..adapters import (
    AdapterLabel,
    AdapterPlanner,
    Order,
    OrderOutcome,
    TargetReport,
)
from ..deployment import DeploymentIndex, PoolSpec
from ..documents import DocumentSender
from ..quarantine import JudgeCrash, LastHeartbeat, QuarantineController
from ..quota import ISSUE_LEASE_S, QuotaBounds, TokenIssuer
from ..scaling import RelayLoads
from ..streams import SetSoftware, SoftwareTracker, TargetSoftware, retention_s
from ..syncrelay import NOTHING, PeerOffers, describe_published
from ..targetlimits import SendBounds, TargetLimits
from ..targets import (
    RelayInfo,
    SyncAsk,
    SyncReply,
    TargetHeartbeat,
    TargetRegistry,
)
from ._holders import HolderHealth, OrderHolders
from ._recordcache import RecordCache
from ._relays import RELAY_HELLO_TTL_S, RelaySender
from ._sharedloads import SharedLoads

# Shorter than the election timeout, so that no other VM can lead meanwhile.
LEADER_LEASE_S: Final = 0.5
RELAY_TIMEOUT_S: Final = 2.0  # without a sync, until a relay is dropped


class _RelayStatus(NamedTuple):
    synced_at: float  # s
    zone: ZoneName
    entries: int  # entry VMs that sync with the relay


class FleetController:
    """Serves relays and plans orders to engines while this VM leads.

    Tokens and orders are issued only within the leader's lease. An order is
    sent by the control VM that is the holder of its engine.
    """

    def __init__(
        self,
        vm: VmName,
        *,
        takeover_s: float,
        quota: QuotaBounds,
    ) -> None:
        self.registry = TargetRegistry()
        self.planner = AdapterPlanner()
        self.issuer = TokenIssuer(quota)
        self.limits = TargetLimits()
        self.tolerances = TargetLimits()  # of rejections
        self._send_issuer = TokenIssuer(SendBounds())
        self._vm = vm
        self.holders = OrderHolders(takeover_s)
        self.health = HolderHealth()
        self.relays = RelaySender()
        self._term = 0
        self._leader_since = 0.0
        self._orders_allowed_at = 0.0  # s, when the first engine gets orders
        self._relays: dict[VmName, _RelayStatus] = {}
        self._records = RecordCache(self.planner)
        self._loads = SharedLoads()
        self._index: DeploymentIndex | None = None
        self._published = PublishedState()
        self._documents = DocumentSender()
        self.quarantine = QuarantineController()
        self.relay_loads = RelayLoads()
        self._software = SoftwareTracker()
        self._peers = PeerOffers()  # of all relays

    @property
    def term(self) -> int:
        """Return the term that this VM leads, or the last one it led."""
        return self._term

    @property
    def pools(self) -> tuple[PoolSpec, ...]:
        """Return the pools of the configuration."""
        return self._index.deployment.pools if self._index else ()

    def led_s(self, now: float) -> float:
        """Return for how long this VM has led."""
        return now - self._leader_since

    def start_term(
        self,
        term: int,
        control: tuple[VmName, ...],
        now: float,
    ) -> None:
        """Reset all state for a new term with the voting control VMs."""
        if term == self._term:
            return
        self._term = term
        self._leader_since = now
        self.health.reset(control, now)
        self.relays.reset()
        self._records.clear()
        self.registry.reset()
        self.planner.reset()
        self.issuer.reset()
        self.limits.clear()
        self.tolerances.clear()
        self._send_issuer.reset()
        self.quarantine.start_term(now)
        self._software.start_term()
        self._relays.clear()
        self.relay_loads.clear()

    def apply_published(
        self,
        published: PublishedState,
        index: DeploymentIndex | None,
    ) -> None:
        """Apply a newer published state."""
        self._published = published
        self._documents.put(published.revision, published.document)
        self._index = index
        self.planner.engines.newest_versions = {
            (named.model, named.adapter): named.version
            for named in published.adapter_versions
        }
        self.planner.engines.zones_out = frozenset(published.zones_out)
        for registered in self.registry.all_targets():
            self._update_engine(registered.heartbeat, registered.received_at)

    def on_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> bool:
        """Handle a target's heartbeat; return whether it is recorded.

        One that names no pool of the configuration names no target.
        """
        if self._index and heartbeat.pool not in self._index.pools:
            return False
        if not self.registry.record_heartbeat(heartbeat, now):
            return False
        self._update_engine(heartbeat, now)
        return True

    def on_departure(self, target: TargetName, wall_ms: int, now: float) -> int:
        """Remove a target that has deregistered and return its incarnation.

        ``wall_ms`` is the present time in ms since the epoch.
        """
        self.planner.remove_engine(target)
        incarnation = self.registry.remove(target, wall_ms, now)
        self._retain_limits(now)
        return incarnation

    def on_ask(
        self,
        ask: SyncAsk,
        quorum_age_s: float,
        now: float,
    ) -> SyncReply:
        """Handle a relay's sync request and return the reply.

        The reply holds tokens only while the leader's lease is valid.
        """
        self._relays[ask.vm] = _RelayStatus(now, ask.zone, ask.entries)
        self.relay_loads.record(ask, now)
        self._peers.add(ask.peers, now)
        self.planner.record_wishes(ask.wishes, now)
        if ask.has_uses:
            self.planner.record_uses(ask.vm, ask.uses, now)
        self.planner.record_unreachable(ask.shut, now)
        self.limits.merge(ask.limits, now)
        self.tolerances.merge(ask.tolerances, now)
        for text in ask.missing:
            target, _, label = text.partition(' ')
            self.planner.record_missing(
                target,
                AdapterLabel.from_text(label),
                now,
            )
            self.registry.mark_changed(target)
        reply = self.updates_for(ask, quorum_age_s, now)
        if ask.document:
            part = self._documents.part_for(ask.document)
            reply = reply._replace(document=part)
        if ask.has_uses:
            loads = self._loads.update(
                self.registry.names(), self.planner.requests_at
            )
            reply = reply._replace(loads=loads)
        if quorum_age_s > ISSUE_LEASE_S or self._index is None:
            return reply
        return reply._replace(
            lots=self.issuer.issue(
                ask.tokens, self._index.accounts, now, ask.vm
            ),
            send_lots=self._send_issuer.issue(
                ask.sends, self.limits.accounts(), now, ask.vm
            ),
        )

    def has_updates_for(self, ask: SyncAsk) -> bool:
        """Return whether a relay lacks a change that it is to know of."""
        held = (ask.epoch, ask.stamp, ask.limit_stamp, ask.tolerance_stamp)
        if held != (
            self._term,
            self.registry.stamp,
            self.limits.stamp,
            self.tolerances.stamp,
        ):
            return True
        is_newer = self._published.version > ask.version
        return is_newer or self.quarantine.state.version > ask.quarantine

    def updates_for(
        self,
        ask: SyncAsk,
        quorum_age_s: float,
        now: float,
    ) -> SyncReply:
        """Return a reply with all changes that a relay does not know."""
        is_current = ask.epoch == self._term
        known_stamp = ask.stamp if is_current else 0
        limit_stamp = ask.limit_stamp if is_current else 0
        tolerance_stamp = ask.tolerance_stamp if is_current else 0
        removals = self.registry.removals
        is_complete = known_stamp == 0 or known_stamp < removals.horizon
        since = 0 if is_complete else known_stamp
        self._drop_silent_relays(now)
        ranked = sorted(self._relays)
        sent = NOTHING
        if self._published.version > ask.version:
            sent = describe_published(
                self._published, ask, self._documents.digest
            )
        return SyncReply(
            ask.ask,
            serves=True,
            leader=self._vm,
            term=self._term,
            quorum_age_s=quorum_age_s,
            published=sent.published,
            digest=sent.digest,
            epoch=self._term,
            stamp=self.registry.stamp,
            targets=tuple(
                self._records.record_of(registered, now)
                for registered in self.registry.changed_since(since)
            ),
            removed=removals.since(known_stamp),
            is_complete=is_complete,
            entries=sum(relay.entries for relay in self._relays.values()),
            led_s=self.led_s(now),
            orders_in_s=max(0.0, self._orders_allowed_at - now),
            rank=ranked.index(ask.vm) if ask.vm in self._relays else 0,
            relays=tuple(RelayInfo(vm, self._relays[vm].zone) for vm in ranked),
            quarantine=self.quarantine.newer_than(ask.quarantine),
            limits=self.limits.changed_since(limit_stamp, now),
            limit_stamp=self.limits.stamp,
            tolerances=self.tolerances.changed_since(tolerance_stamp, now),
            tolerance_stamp=self.tolerances.stamp,
            peers=self._peers.newest() if ask.wants_peers else (),
        )

    def expire(self, now: float) -> list[TargetName]:
        """Remove targets without recent heartbeats and return them."""
        expired = self.registry.expire(now)
        for target in expired:
            self.planner.remove_engine(target)
        if expired:
            self._retain_limits(now)
        return expired

    def judge_crashes(self, now: float) -> list[JudgeCrash]:
        """Return what heartbeats tell of the crashes that were reported."""
        return self.quarantine.judge_crashes(self._last_heartbeat, now)

    def software_changes(self, now: float) -> list[SetSoftware]:
        """Return the changes of pools' software versions to commit."""
        stamp = self.registry.stamp
        if not self._software.is_due(stamp, now):
            return []
        heartbeats = (one.heartbeat for one in self.registry.all_targets())
        return self._software.propose(
            self._published.software,
            [TargetSoftware(one.pool, one.software) for one in heartbeats],
            stamp=stamp,
            retention_s=retention_s(self._index),
            now=now,
        )

    def plan(self, quorum_age_s: float, now: float) -> list[Order]:
        """Return the orders to send now; none without a valid lease."""
        if quorum_age_s > LEADER_LEASE_S:
            return []
        waits: dict[TargetName, float] = {}
        if not self.holders.can_all_send(self._can_send, now):
            waits = {
                engine.target: self._order_delay_s(engine.target, now)
                for engine in self.planner.engines
            }
        self._orders_allowed_at = now + min(waits.values(), default=0.0)
        blocked = frozenset(
            target for target, wait_s in waits.items() if wait_s > 0
        )
        self.planner.engines.set_limits(
            self.limits.current(),
            self._send_issuer.exhausted(self.limits.accounts(), now),
        )
        fence = self.holders.fencing_token(self._term)
        orders = self.planner.plan(fence, now, blocked)
        for order in orders:
            if not order.load:
                self.registry.mark_changed(order.target)
        return orders

    def on_order_answered(self, outcome: OrderOutcome, now: float) -> None:
        """Handle the outcome of an order."""
        if self.planner.record_outcome(outcome, now):
            self.registry.mark_changed(outcome.order.target)

    def on_report(self, report: TargetReport, now: float) -> None:
        """Handle an engine's status report."""
        if self.planner.record_report(report, now):
            self.registry.mark_changed(report.target)

    def _last_heartbeat(self, target: TargetName) -> LastHeartbeat | None:
        registered = self.registry.get(target)
        if registered is None:
            return None
        incarnation = registered.heartbeat.incarnation
        received_at = registered.received_at
        return LastHeartbeat(incarnation, received_at, registered.ends_at)

    def _retain_limits(self, now: float) -> None:
        present = self.registry.names()
        self.limits.retain(present, now)
        self.tolerances.retain(present, now)

    def _drop_silent_relays(self, now: float) -> None:
        self._relays = {
            vm: relay
            for vm, relay in self._relays.items()
            if now - relay.synced_at < RELAY_TIMEOUT_S
        }

    def _can_send(self, holder: VmName, now: float) -> bool:
        return holder == self._vm or self.relays.can_send(holder, now)

    def _order_delay_s(self, target: TargetName, now: float) -> float:
        """Return how long an engine must not get orders, in s."""
        holder = self.holders.holder_of(target)
        if self._can_send(holder, now):
            return self.holders.takeover_wait_s(target, now)
        hello_wait_s = self._leader_since + RELAY_HELLO_TTL_S - now
        if hello_wait_s > 0:  # a holder has had no time to report yet
            return max(hello_wait_s, self.holders.takeover_wait_s(target, now))
        return self.holders.replacement_s

    def _update_engine(
        self,
        heartbeat: TargetHeartbeat,
        received_at: float,
    ) -> None:
        pools = self._index.pools if self._index else {}
        self.planner.update_engine(
            heartbeat, pools.get(heartbeat.pool), received_at
        )
