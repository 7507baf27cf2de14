"""Ownership of targets by leases with consent.

A VM owns a target while it holds the consent of all VMs of its zone or of
a majority of the control VMs. The two kinds of quorum need not meet: the
owner's own consent is part of both, and every candidate belongs to the
zone, so a zone cut off whole keeps its owners and a VM cut off alone
loses its targets.
"""

from typing import Final, NamedTuple

from .._messages import FenceSeen, LeaseAsk, LeaseRelease, LeaseReply
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import TargetName, VmName
from ..agreement._progress import majority_of
from ..rates._shares import CLOCK_DRIFT

LEASE_S: Final = 3.0
RENEW_S: Final = 0.8
PROMISE_S: Final = LEASE_S * (1 + CLOCK_DRIFT)
FENCES_PER_S: Final = 1000
MAX_ROUNDS: Final = 8


class _Promise(NamedTuple):
    vm: VmName
    round: int
    until: float  # s
    fence: int


class LeaseVoter:
    """Gives consent to at most one owner of a target at a time."""

    def __init__(self, now: float) -> None:
        self._promises: dict[TargetName, _Promise] = {}
        self._silent_until = now + PROMISE_S

    def on_ask(self, vm: VmName, ask: LeaseAsk, now: float) -> LeaseReply:
        """Answer a round; a VM just restarted refuses all of it.

        What it had promised before the restart has then run out.
        """
        refused = []
        fences = []
        for target, fence in ask.fences:
            known = self._promises.get(target)
            if not self._may_promise(vm, known, now):
                refused.append(target)
                continue
            fence = max(fence, known.fence if known else 0)
            self._promises[target] = _Promise(
                vm,
                ask.round,
                now + PROMISE_S,
                fence,
            )
            fences.append(FenceSeen(target, fence))
        return LeaseReply(ask.round, tuple(refused), tuple(fences))

    def on_release(self, vm: VmName, release: LeaseRelease) -> None:
        """Take a promise back, unless the holder has renewed it since."""
        for target in release.targets:
            known = self._promises.get(target)
            if known and known.vm == vm and known.round <= release.round:
                self._promises[target] = known._replace(until=float('-inf'))

    def _may_promise(
        self,
        vm: VmName,
        known: _Promise | None,
        now: float,
    ) -> bool:
        if now < self._silent_until:
            return False
        return known is None or known.vm == vm or now >= known.until


class Lease(NamedTuple):
    """Ownership of a target until a time by this VM's clock."""

    target: TargetName
    fence: int
    until: float  # s


class Electorate(NamedTuple):
    """The VMs whose consent counts, this VM included in each."""

    zone: tuple[VmName, ...]
    control: tuple[VmName, ...]


class _Round:
    """One question to all voters, and the answers so far."""

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
        self._next_round = int(now * FENCES_PER_S) + 1
        self._fences: dict[TargetName, int] = {}
        self._released_round: dict[TargetName, int] = {}

    def ask(
        self,
        wanted: list[TargetName],
        electorate: Electorate,
        now: float,
    ) -> None:
        """Start a round for all targets that this VM is to own."""
        if not wanted:
            return
        number = self._next_round
        self._next_round += 1
        self._rounds[number] = _Round(tuple(wanted), now)
        self._rounds.pop(number - MAX_ROUNDS, None)
        fences = tuple(
            FenceSeen(target, self._fences.get(target, 0)) for target in wanted
        )
        for vm in dict.fromkeys((*electorate.zone, *electorate.control)):
            self._outbox.send(vm, LeaseAsk(number, fences))

    def on_reply(
        self,
        vm: VmName,
        reply: LeaseReply,
        electorate: Electorate,
        now: float,
    ) -> list[Lease]:
        """Count an answer; return the leases that it newly gains."""
        current = self._rounds.get(reply.round)
        if current is None:
            return []
        current.replies[vm] = reply
        for target, fence in reply.fences:
            self._fences[target] = max(fence, self._fences.get(target, 0))
        gained = []
        for target in current.targets:
            released = self._released_round.get(target, 0)
            if released < reply.round and _has_consent(
                target,
                current,
                electorate,
            ):
                gained += self._extend(target, current.sent_at, now)
        return gained

    def drop_expired(self, now: float) -> list[TargetName]:
        """Return the targets whose lease has just run out."""
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
        electorate: Electorate,
        now: float,
    ) -> None:
        """Give leases up, so that another VM can follow at once."""
        held = tuple(target for target in targets if target in self.leases)
        if not held:
            return
        for target in held:
            self.leases.pop(target)
            self._released_round[target] = self._next_round - 1
            self._outbox.record(
                now,
                EventKind.LEASE_LOST,
                'released',
                target=target,
            )
        last_round = self._next_round - 1
        for vm in dict.fromkeys((*electorate.zone, *electorate.control)):
            self._outbox.send(vm, LeaseRelease(last_round, held))

    def _extend(
        self,
        target: TargetName,
        sent_at: float,
        now: float,
    ) -> list[Lease]:
        until = sent_at + LEASE_S
        known = self.leases.get(target)
        if known is not None:
            later = max(until, known.until)
            self.leases[target] = known._replace(until=later)
            return []
        if now >= until:
            return []
        fence = self._fences.get(target, 0) + 1
        fence = max(fence, int(now * FENCES_PER_S))
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
    electorate: Electorate,
) -> bool:
    consenting = {
        vm
        for vm, reply in current.replies.items()
        if target not in reply.refused
    }
    if not electorate.zone or electorate.zone[0] not in consenting:
        return False
    if consenting.issuperset(electorate.zone):
        return True
    in_control = [vm for vm in electorate.control if vm in consenting]
    return len(in_control) >= majority_of(len(electorate.control))
