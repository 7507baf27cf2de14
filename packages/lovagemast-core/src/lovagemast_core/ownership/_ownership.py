"""Decides which targets of its zone this VM should own."""

from typing import Final

from .._messages import LeaseAsk, LeaseRelease, LeaseReply
from .._outbox import Outbox
from .._types import TargetName, VmName
from ..agreement._membership import Membership
from ..agreement._published import PublishedController
from ..agreement._roster import RosterEntry, find_entry, zone_peers
from ..placement._directory import Directory
from ..placement._placement import rendezvous_weight
from ._leases import (
    LEASE_RENEWAL_INTERVAL_S,
    Lease,
    LeaseHolder,
    LeaseQuorums,
    LeaseVoter,
)
from ._owner import OwnerController

REBALANCE_DELAY_S: Final = 5.0


class OwnershipController:
    """Holds leases on the targets that rendezvous hashing assigns to this VM.

    A target that ranks another VM first is released only after some time,
    so that a short change of membership does not move its ownership.
    """

    def __init__(
        self,
        outbox: Outbox,
        entry: RosterEntry,
        published: PublishedController,
        membership: Membership,
        directory: Directory,
        owner: OwnerController,
        now: float,
    ) -> None:
        self.draining = False
        self._outbox = outbox
        self._entry = entry
        self._published = published
        self._membership = membership
        self._directory = directory
        self._owner = owner
        self._voter = LeaseVoter(now)
        self._holder = LeaseHolder(outbox, now)
        self._outranked_since: dict[TargetName, float] = {}
        outbox.call_at(now, self._renew)

    def on_ask(self, vm: VmName, ask: LeaseAsk, now: float) -> None:
        """Answer a VM's lease request."""
        self._outbox.send(vm, self._voter.on_ask(vm, ask, now))

    def on_release(self, vm: VmName, release: LeaseRelease) -> None:
        """Withdraw the consents that a VM has released."""
        self._voter.on_release(vm, release)

    def on_reply(self, vm: VmName, reply: LeaseReply, now: float) -> None:
        """Record a lease reply and start to own the targets acquired."""
        acquired = self._holder.on_reply(vm, reply, self._quorums(), now)
        for lease in acquired:
            self._take_over(lease, now)
        for lease in self._holder.leases.values():
            self._owner.extend_lease(lease)

    def set_draining(self, draining: bool, now: float) -> None:
        """Enter or leave draining, in which this VM owns no targets."""
        self.draining = draining
        if draining:
            self._release(list(self._holder.leases), now)

    def drop_target(self, target: TargetName, now: float) -> None:
        """Release the lease on a target that no longer exists."""
        self._release([target], now)

    def _renew(self, now: float) -> None:
        self._expire(now)
        wanted = [] if self.draining else self._targets_to_own(now)
        self._holder.start_round(wanted, self._quorums(), now)
        leases = self._holder.leases.values()
        if leases:
            earliest = min(lease.until for lease in leases)
            self._outbox.call_at(earliest, self._expire)
        self._outbox.call_at(now + LEASE_RENEWAL_INTERVAL_S, self._renew)

    def _expire(self, now: float) -> None:
        for target in self._holder.drop_expired(now):
            self._owner.remove_target(target, now)

    def _targets_to_own(self, now: float) -> list[TargetName]:
        own = find_entry(self._published.state.roster, self._entry.vm)
        if own is None or not own.eligible:
            return []
        candidates = self._candidates(now)
        wanted = []
        outranked = []
        for known in self._directory.in_zone(self._entry.zone):
            target = known.facts.target
            first = max(
                candidates,
                key=lambda vm: rendezvous_weight(target, vm),
            )
            if first == self._entry.vm:
                self._outranked_since.pop(target, None)
                wanted.append(target)
            elif target in self._holder.leases:
                wanted.append(target)
                since = self._outranked_since.setdefault(target, now)
                if now - since > REBALANCE_DELAY_S:
                    outranked.append(target)
        self._release(outranked, now)
        return [target for target in wanted if target not in outranked]

    def _candidates(self, now: float) -> list[VmName]:
        return [
            entry.vm
            for entry in self._published.state.roster
            if entry.zone == self._entry.zone
            and entry.eligible
            and self._membership.is_alive(entry.vm, now)
            and not self._membership.is_draining(entry.vm)
        ]

    def _quorums(self) -> LeaseQuorums:
        roster = self._published.state.roster
        own = self._entry.vm
        return LeaseQuorums(
            (own, *zone_peers(roster, own)),
            tuple(entry.vm for entry in roster if entry.control),
        )

    def _take_over(self, lease: Lease, now: float) -> None:
        known = self._directory.get(lease.target)
        pool = None
        if known:
            pool = self._published.index.pools.get(known.facts.pool)
        if known is None or pool is None:
            self._release([lease.target], now)
            return
        vms = [entry.vm for entry in self._published.state.roster]
        self._owner.add_target(
            lease,
            known.facts,
            pool,
            vms,
            known.summary,
            now,
        )

    def _release(self, targets: list[TargetName], now: float) -> None:
        if not targets:
            return
        for target in targets:
            self._owner.remove_target(target, now)
            self._outranked_since.pop(target, None)
        self._holder.release(targets, self._quorums(), now)
