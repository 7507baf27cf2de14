"""Quorum-based leases for the exclusive ownership of targets.

A VM owns a target while it holds the consent of all VMs of its zone or of
a majority of the control VMs. The two kinds of quorum need not intersect:
the owner's own consent is part of both, and only VMs of the zone can become
owners. A zone that is partitioned as a whole therefore keeps its owners,
and a VM that is partitioned alone loses its targets.
"""

from typing import Final, NamedTuple

from .._messages import FenceSeen, LeaseAsk, LeaseRelease, LeaseReply
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import TargetName, VmName
from ..agreement._progress import majority_of
from ..rates._shares import MAX_CLOCK_DRIFT

OWNERSHIP_LEASE_S: Final = 3.0
LEASE_RENEWAL_INTERVAL_S: Final = 0.8
CONSENT_VALID_S: Final = OWNERSHIP_LEASE_S * (1 + MAX_CLOCK_DRIFT)
FENCE_TICKS_PER_S: Final = 1000  # tokens follow the clock across restarts
MAX_OPEN_ROUNDS: Final = 8


class _Consent(NamedTuple):
    vm: VmName
    round: int
    until: float  # s
    fence: int


class LeaseVoter:
    """Grants consent for each target to at most one VM at a time."""

    def __init__(self, now: float) -> None:
        self._consents: dict[TargetName, _Consent] = {}
        self._refuse_until = now + CONSENT_VALID_S

    def on_ask(self, vm: VmName, ask: LeaseAsk, now: float) -> LeaseReply:
        """Answer a lease round with consent or refusal for each target.

        A VM that has just restarted refuses everything until all consents
        from before the restart, which are not stored, have expired.
        """
        refused = []
        fences = []
        for target, fence in ask.fences:
            known = self._consents.get(target)
            if not self._may_consent(vm, known, now):
                refused.append(target)
                continue
            fence = max(fence, known.fence if known else 0)
            self._consents[target] = _Consent(
                vm,
                ask.round,
                now + CONSENT_VALID_S,
                fence,
            )
            fences.append(FenceSeen(target, fence))
        return LeaseReply(ask.round, tuple(refused), tuple(fences))

    def on_release(self, vm: VmName, release: LeaseRelease) -> None:
        """Withdraw consents, unless the holder has renewed them since."""
        for target in release.targets:
            known = self._consents.get(target)
            if known and known.vm == vm and known.round <= release.round:
                self._consents[target] = known._replace(until=float('-inf'))

    def _may_consent(
        self,
        vm: VmName,
        known: _Consent | None,
        now: float,
    ) -> bool:
        if now < self._refuse_until:
            return False
        return known is None or known.vm == vm or now >= known.until


class Lease(NamedTuple):
    """Ownership of a target until a time on this VM's clock."""

    target: TargetName
    fence: int
    until: float  # s


class LeaseQuorums(NamedTuple):
    """The VMs that vote on leases.

    ``zone`` starts with this VM, whose own consent is always required.
    """

    zone: tuple[VmName, ...]
    control: tuple[VmName, ...]


class _Round:
    """A lease request to all voters, and the replies so far."""

    def __init__(self, targets: tuple[TargetName, ...], now: float) -> None:
        self.targets = targets
        self.sent_at = now
        self.replies: dict[VmName, LeaseReply] = {}


class LeaseHolder:
    """Acquires, renews and releases this VM's leases."""

    def __init__(self, outbox: Outbox, now: float) -> None:
        self.leases: dict[TargetName, Lease] = {}
        self._outbox = outbox
        self._rounds: dict[int, _Round] = {}
        self._next_round = int(now * FENCE_TICKS_PER_S) + 1
        self._fences: dict[TargetName, int] = {}
        self._released_rounds: dict[TargetName, int] = {}

    def start_round(
        self,
        wanted: list[TargetName],
        quorums: LeaseQuorums,
        now: float,
    ) -> None:
        """Request consent for all targets that this VM should own."""
        if not wanted:
            return
        number = self._next_round
        self._next_round += 1
        self._rounds[number] = _Round(tuple(wanted), now)
        self._rounds.pop(number - MAX_OPEN_ROUNDS, None)
        fences = tuple(
            FenceSeen(target, self._fences.get(target, 0)) for target in wanted
        )
        for vm in dict.fromkeys((*quorums.zone, *quorums.control)):
            self._outbox.send(vm, LeaseAsk(number, fences))

    def on_reply(
        self,
        vm: VmName,
        reply: LeaseReply,
        quorums: LeaseQuorums,
        now: float,
    ) -> list[Lease]:
        """Record a voter's reply; return the leases newly acquired by it."""
        current = self._rounds.get(reply.round)
        if current is None:
            return []
        current.replies[vm] = reply
        for target, fence in reply.fences:
            self._fences[target] = max(fence, self._fences.get(target, 0))
        acquired = []
        for target in current.targets:
            released = self._released_rounds.get(target, 0)
            if released < reply.round and _has_consent(
                target,
                current,
                quorums,
            ):
                acquired += self._acquire_or_extend(
                    target,
                    current.sent_at,
                    now,
                )
        return acquired

    def drop_expired(self, now: float) -> list[TargetName]:
        """Remove expired leases and return their targets."""
        expired = [
            lease.target for lease in self.leases.values() if now >= lease.until
        ]
        for target in expired:
            self.leases.pop(target)
            self._outbox.record(
                now,
                EventKind.LEASE_LOST,
                'ran out',
                target=target,
            )
        return expired

    def release(
        self,
        targets: list[TargetName],
        quorums: LeaseQuorums,
        now: float,
    ) -> None:
        """Give up leases, so that another VM can acquire them at once."""
        held = tuple(target for target in targets if target in self.leases)
        if not held:
            return
        for target in held:
            self.leases.pop(target)
            self._released_rounds[target] = self._next_round - 1
            self._outbox.record(
                now,
                EventKind.LEASE_LOST,
                'released',
                target=target,
            )
        last_round = self._next_round - 1
        for vm in dict.fromkeys((*quorums.zone, *quorums.control)):
            self._outbox.send(vm, LeaseRelease(last_round, held))

    def _acquire_or_extend(
        self,
        target: TargetName,
        sent_at: float,
        now: float,
    ) -> list[Lease]:
        until = sent_at + OWNERSHIP_LEASE_S
        known = self.leases.get(target)
        if known is not None:
            later = max(until, known.until)
            self.leases[target] = known._replace(until=later)
            return []
        if now >= until:
            return []
        fence = self._fences.get(target, 0) + 1
        fence = max(fence, int(now * FENCE_TICKS_PER_S))
        self._fences[target] = fence
        lease = Lease(target, fence, until)
        self.leases[target] = lease
        self._outbox.record(
            now,
            EventKind.LEASE_GAINED,
            f'fence {fence}',
            target=target,
        )
        return [lease]


def _has_consent(
    target: TargetName,
    current: _Round,
    quorums: LeaseQuorums,
) -> bool:
    consenting = {
        vm
        for vm, reply in current.replies.items()
        if target not in reply.refused
    }
    if not quorums.zone or quorums.zone[0] not in consenting:
        return False
    if consenting.issuperset(quorums.zone):
        return True
    in_control = [vm for vm in quorums.control if vm in consenting]
    return len(in_control) >= majority_of(len(quorums.control))
