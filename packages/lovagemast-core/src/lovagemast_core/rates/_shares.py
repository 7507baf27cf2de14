"""Divides the rates of all client accounts among the VMs.

A VM's share is a fraction of each account's rate and burst. Its floor is
set in the roster and remains valid while the VM is partitioned; the leased
part is granted by the leader and expires. The fractions in use never add up
to more than one: a leased part is granted to another VM only after its
holder has acknowledged the reduction or its lease has expired even by the
slowest clock.
"""

from typing import Final, NamedTuple

from .._messages import ShareAsk, ShareGrant
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import VmName
from ..agreement._roster import FLOOR_FRACTION

SHARE_LEASE_S: Final = 4.0
SHARE_RENEWAL_INTERVAL_S: Final = 0.7
MAX_CLOCK_DRIFT: Final = 0.05  # relative difference in rate of two clocks
DEPOSED_LEADER_MARGIN_S: Final = 1.5  # a deposed leader may still grant
LEASED_FRACTION: Final = 1.0 - FLOOR_FRACTION
MIN_FRACTION_CHANGE: Final = 1e-6
MAX_HISTORY: Final = 64


class _VmLease(NamedTuple):
    boot: str
    epoch: int
    max_fraction: float  # upper bound of what the VM may be using
    until: float  # s, on the leader's clock
    idle: bool


class ShareAllocator:
    """Grants the leased fractions while this VM is the leader."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._leases: dict[VmName, _VmLease] = {}
        self._may_grow_at = float('inf')

    def start(self, now: float) -> None:
        """Start as leader without knowledge of earlier grants.

        Until those have expired, no VM gets more than it already has.
        """
        self._leases.clear()
        self._may_grow_at = (
            now
            + SHARE_LEASE_S * (1 + MAX_CLOCK_DRIFT)
            + DEPOSED_LEADER_MARGIN_S
        )

    def on_ask(self, vm: VmName, ask: ShareAsk, now: float) -> None:
        """Renew a VM's lease, with a larger or smaller fraction."""
        vm_lease = self._merge(self._leases.get(vm), ask)
        others = sum(
            other.max_fraction
            for name, other in self._leases.items()
            if name != vm and other.until > now
        )
        free = max(0.0, LEASED_FRACTION - others)
        wanted = ask.leased
        if ask.idle:
            wanted = 0.0
        elif now >= self._may_grow_at:
            wanted = self._equal_fraction(vm, now)
        leased = min(wanted, free)
        epoch = vm_lease.epoch + 1
        self._leases[vm] = _VmLease(
            ask.boot,
            epoch,
            max(vm_lease.max_fraction, leased),
            now + SHARE_LEASE_S * (1 + MAX_CLOCK_DRIFT),
            ask.idle,
        )
        self._outbox.send(vm, ShareGrant(epoch, leased, SHARE_LEASE_S))

    def _merge(self, known: _VmLease | None, ask: ShareAsk) -> _VmLease:
        fresh = _VmLease(ask.boot, ask.epoch, ask.leased, 0, ask.idle)
        if known is None or ask.boot > known.boot:
            return fresh
        if ask.boot == known.boot and ask.epoch == known.epoch:
            return fresh
        return _VmLease(
            known.boot,
            max(known.epoch, ask.epoch),
            max(known.max_fraction, ask.leased),
            0,
            ask.idle,
        )

    def _equal_fraction(self, vm: VmName, now: float) -> float:
        live = [
            name
            for name, vm_lease in self._leases.items()
            if name != vm and vm_lease.until > now and not vm_lease.idle
        ]
        return LEASED_FRACTION / (len(live) + 1)


class ShareChange(NamedTuple):
    """A change of the VM's share to a fraction at a time."""

    at: float  # s
    fraction: float


class ShareHolder:
    """Holds this VM's share and its history.

    Token buckets are updated lazily: each applies the share changes since
    its last use, for which positions in the history are numbered.
    """

    def __init__(self, outbox: Outbox, boot: str, now: float) -> None:
        self.leased = 0.0
        self.floor = 0.0
        self._outbox = outbox
        self._boot = boot
        self._epoch = 0
        self._until = now
        self._asked_at = now
        self._first_position = 0
        self._history = [ShareChange(now, 0.0)]

    def renewal_ask(self, now: float, *, idle: bool) -> ShareAsk:
        """Return the message that asks the leader to renew the lease."""
        self.expire(now)
        self._asked_at = now
        valid_s = max(0.0, self._until - now)
        return ShareAsk(self._boot, self._epoch, self.leased, valid_s, idle)

    def on_grant(self, grant: ShareGrant, now: float) -> None:
        """Apply a newer grant, whose lease starts when it was requested."""
        self.expire(now)
        if grant.epoch <= self._epoch:
            return
        self._epoch = grant.epoch
        self._until = self._asked_at + grant.lease_s
        self.leased = grant.leased if now < self._until else 0.0
        self._record_change(now)

    def set_floor(self, floor: float, now: float) -> None:
        """Set the floor that the current roster assigns to this VM."""
        self.expire(now)
        if floor != self.floor:
            self.floor = floor
            self._record_change(now)

    def expire(self, now: float) -> None:
        """Drop the leased part if its lease has expired."""
        if self.leased and now >= self._until:
            self.leased = 0.0
            self._record_change(self._until)

    def fraction(self, now: float) -> float:
        """Return the fraction of each account's rate that is in use now."""
        self.expire(now)
        return self._history[-1].fraction

    def changes_since(self, position: int) -> tuple[ShareChange, ...] | None:
        """Return the changes from a position on, or ``None`` if discarded."""
        if position < self._first_position:
            return None
        return tuple(self._history[position - self._first_position :])

    @property
    def position(self) -> int:
        """Return the position after the last change."""
        return self._first_position + len(self._history)

    @property
    def first_position(self) -> int:
        """Return the position of the oldest change in the history."""
        return self._first_position

    @property
    def started_at(self) -> float:
        """Return the time of the oldest change in the history."""
        return self._history[0].at

    def _record_change(self, at: float) -> None:
        fraction = self.floor + self.leased
        previous = self._history[-1]
        if abs(fraction - previous.fraction) < MIN_FRACTION_CHANGE:
            return
        self._history.append(ShareChange(max(at, previous.at), fraction))
        while len(self._history) > MAX_HISTORY:
            self._history.pop(0)
            self._first_position += 1
        self._outbox.record(
            at,
            EventKind.SHARE_CHANGED,
            f'{fraction:.4f} of every rate',
        )
