"""The leader's controller: targets, adapters, tokens and entry VMs."""

from typing import Final, NamedTuple

from .._state import PublishedState
from .._types import TargetName, VmName
from ..adapters import (
    AdapterLabel,
    AdapterPlanner,
    Order,
    OrderOutcome,
    TargetReport,
)
from ..deployment import DeploymentIndex
from ..quota import ISSUE_LEASE_S, QuotaBounds, TokenIssuer
from ..targets import (
    RegisteredTarget,
    SyncAsk,
    SyncReply,
    TargetHeartbeat,
    TargetRecord,
    TargetRegistry,
)
from ._holders import HolderHealth, OrderHolders
from ._relays import OrderRelays

# Below the election timeout, so that no other VM leads meanwhile.
LEASE_S: Final = 0.5
ENTRY_SILENT_S: Final = 2.0
# A record is made once for all entry VMs that ask within this long; times in
# it are late by as much.
RECORD_AGE_S: Final = 0.03


class _KeptRecord(NamedTuple):
    stamp: int
    made_at: float  # s
    record: TargetRecord

    def is_fresh(self, stamp: int, now: float) -> bool:
        """Return whether the record still says what is known."""
        return self.stamp == stamp and now - self.made_at < RECORD_AGE_S


class FleetController:
    """Serves entry VMs and engines while this VM leads a term.

    Tokens and orders are given out only within the leader's lease. Orders
    go through the VMs that hold the engines.
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
        self._vm = vm
        self.holders = OrderHolders(takeover_s)
        self.health = HolderHealth()
        self.relays = OrderRelays()
        self._term = 0
        self._led_since = 0.0
        self._orders_at = 0.0  # s, from when some engine gets orders
        self._entries: dict[VmName, float] = {}
        self._records: dict[TargetName, _KeptRecord] = {}
        self._index: DeploymentIndex | None = None
        self._published = PublishedState()

    @property
    def term(self) -> int:
        """Return the term that is led, or was led last."""
        return self._term

    def lead(
        self,
        term: int,
        control: tuple[VmName, ...],
        now: float,
    ) -> None:
        """Begin a term with the control VMs that vote."""
        if term == self._term:
            return
        self._term = term
        self._led_since = now
        self.health.restart(control, now)
        self.relays.restart()
        self._records.clear()
        self.registry.restart()
        self.planner.reset()
        self.issuer.restart()
        self._entries.clear()

    def follow_published(
        self,
        published: PublishedState,
        index: DeploymentIndex | None,
    ) -> None:
        """Use a newer published state."""
        self._published = published
        self._index = index
        self.planner.engines.newest_versions = {
            (named.model, named.adapter): named.version
            for named in published.adapter_versions
        }
        self.planner.engines.zones_out = frozenset(published.zones_out)
        for registered in self.registry.all():
            self._follow_engine(registered.heartbeat, registered.received_at)

    def on_heartbeat(self, heartbeat: TargetHeartbeat, now: float) -> bool:
        """Take a target's heartbeat; return whether it was news."""
        if not self.registry.record_heartbeat(heartbeat, now):
            return False
        self._follow_engine(heartbeat, now)
        return True

    def on_departure(self, target: TargetName, now: float) -> None:
        """Take a target off the list."""
        self.registry.depart(target, now)
        self.planner.remove_engine(target)

    def on_ask(
        self,
        ask: SyncAsk,
        quorum_age_s: float,
        now: float,
    ) -> SyncReply:
        """Take an entry VM's ask and answer it."""
        self._entries[ask.vm] = now
        self.planner.record_wishes(ask.wishes, now)
        self.planner.record_uses(ask.vm, ask.uses, now)
        self.planner.record_unreachable(ask.shut, now)
        for text in ask.missing:
            target, _, label = text.partition(' ')
            self.planner.record_missing(
                target,
                AdapterLabel.from_text(label),
                now,
            )
            self.registry.touch(target)
        reply = self.updates_for(ask, quorum_age_s, now)
        if quorum_age_s > ISSUE_LEASE_S or self._index is None:
            return reply
        lots = self.issuer.issue(ask.tokens, self._index.accounts, now)
        return reply._replace(lots=lots)

    def updates_for(
        self,
        ask: SyncAsk,
        quorum_age_s: float,
        now: float,
    ) -> SyncReply:
        """Return what an entry VM does not know yet."""
        known = ask.stamp if ask.term == self._term else 0
        published = self._published
        self._entries = {
            vm: at
            for vm, at in self._entries.items()
            if now - at < ENTRY_SILENT_S
        }
        known_vm = ask.vm in self._entries
        everything = self.registry.all()
        return SyncReply(
            ask.ask,
            leads=True,
            leader=self._vm,
            term=self._term,
            quorum_age_s=quorum_age_s,
            published=published if published.version > ask.version else None,
            stamp=self.registry.stamp,
            targets=tuple(
                self._record(one, now)
                for one in everything
                if one.stamp > known
            ),
            present=tuple(one.heartbeat.target for one in everything),
            entries=len(self._entries),
            rank=sorted(self._entries).index(ask.vm) if known_vm else 0,
            led_s=now - self._led_since,
            orders_in_s=max(0.0, self._orders_at - now),
        )

    def expire(self, now: float) -> list[TargetName]:
        """Drop silent targets and return them."""
        silent = self.registry.expire(now)
        for target in silent:
            self.planner.remove_engine(target)
        return silent

    def plan(self, quorum_age_s: float, now: float) -> list[Order]:
        """Return the orders to send now."""
        if quorum_age_s > LEASE_S:
            return []
        waits = {
            engine.target: self._wait_of(engine.target, now)
            for engine in self.planner.engines
        }
        self._orders_at = now + min(waits.values(), default=0.0)
        blocked = frozenset(
            target for target, wait_s in waits.items() if wait_s > 0
        )
        fence = self.holders.fence(self._term)
        orders = self.planner.plan(fence, now, blocked)
        for order in orders:
            if not order.load:
                self.registry.touch(order.target)
        return orders

    def on_order_answered(self, outcome: OrderOutcome, now: float) -> None:
        """Take an order's outcome."""
        if self.planner.record_outcome(outcome, now):
            self.registry.touch(outcome.order.target)

    def on_report(self, report: TargetReport, now: float) -> None:
        """Take an engine's report."""
        if self.planner.record_report(report, now):
            self.registry.touch(report.target)

    def _wait_of(self, target: TargetName, now: float) -> float:
        """Return how long an engine gets no order, in s."""
        holder = self.holders.holder(target)
        if holder == self._vm or self.relays.can_send(holder, now):
            return self.holders.wait_s(target, now)
        return self.holders.replacement_s

    def _follow_engine(
        self,
        heartbeat: TargetHeartbeat,
        received_at: float,
    ) -> None:
        pools = self._index.pools if self._index else {}
        self.planner.update_engine(
            heartbeat, pools.get(heartbeat.pool), received_at
        )

    def _record(self, known: RegisteredTarget, now: float) -> TargetRecord:
        """Return a target's record, the same one to all that ask now."""
        target = known.heartbeat.target
        kept = self._records.get(target)
        if kept and kept.is_fresh(known.stamp, now):
            return kept.record
        made = self._make_record(known, now)
        self._records[target] = _KeptRecord(known.stamp, now, made)
        return made

    def _make_record(self, known: RegisteredTarget, now: float) -> TargetRecord:
        heartbeat = known.heartbeat
        engine = self.planner.get(heartbeat.target)
        return TargetRecord(
            heartbeat.target,
            heartbeat.pool,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.incarnation,
            heartbeat.slots,
            heartbeat.leaving,
            max(0.0, heartbeat.cold_s - (now - known.received_at)),
            tuple(engine.models) if engine else heartbeat.models,
            engine.resident_adapters(now) if engine else (),
        )
