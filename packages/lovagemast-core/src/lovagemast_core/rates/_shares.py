"""Splits every client account's rate among the VMs.

A VM's share is a fraction of every account's rate and burst. Its floor is
set in the roster and stays while the VM is cut off; the leased part comes
from the leader and ends by itself. The fractions that VMs may use never
add up to more than one: a part is granted anew only after its holder has
acknowledged the loss or its lease has run out at the slowest clock.
"""

from typing import Final, NamedTuple

from .._messages import ShareAsk, ShareGrant
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import VmName
from ..agreement._roster import FLOOR_FRACTION

LEASE_S: Final = 4.0
SHARE_RENEWAL_INTERVAL_S: Final = 0.7
CLOCK_DRIFT: Final = 0.05  # fraction by which two clocks may differ
LEADER_MARGIN_S: Final = 1.5  # a deposed leader may grant this much longer
LEASED_PART: Final = 1.0 - FLOOR_FRACTION
SMALLEST_STEP: Final = 1e-6
MAX_HISTORY: Final = 64


class _Holding(NamedTuple):
    boot: str
    epoch: int
    at_most: float  # fraction that the VM may be using
    until: float  # s, by the leader's clock
    idle: bool


class ShareAllocator:
    """Grants leased fractions while this VM leads."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._holdings: dict[VmName, _Holding] = {}
        self._grow_at = float('inf')

    def start(self, now: float) -> None:
        """Begin to lead, not knowing what the last leader granted."""
        self._holdings.clear()
        self._grow_at = now + LEASE_S * (1 + CLOCK_DRIFT) + LEADER_MARGIN_S

    def on_ask(self, vm: VmName, ask: ShareAsk, now: float) -> None:
        """Renew a VM's lease, with more or less than it asks for."""
        holding = self._merge(self._holdings.get(vm), ask)
        others = sum(
            other.at_most
            for name, other in self._holdings.items()
            if name != vm and other.until > now
        )
        free = max(0.0, LEASED_PART - others)
        wanted = ask.leased
        if ask.idle:
            wanted = 0.0
        elif now >= self._grow_at:
            wanted = self._fair(vm, now)
        leased = min(wanted, free)
        epoch = holding.epoch + 1
        self._holdings[vm] = _Holding(
            ask.boot,
            epoch,
            max(holding.at_most, leased),
            now + LEASE_S * (1 + CLOCK_DRIFT),
            ask.idle,
        )
        self._outbox.send(vm, ShareGrant(epoch, leased, LEASE_S))

    def _merge(self, known: _Holding | None, ask: ShareAsk) -> _Holding:
        fresh = _Holding(ask.boot, ask.epoch, ask.leased, 0, ask.idle)
        if known is None or ask.boot > known.boot:
            return fresh
        if ask.boot == known.boot and ask.epoch == known.epoch:
            return fresh
        return _Holding(
            known.boot,
            max(known.epoch, ask.epoch),
            max(known.at_most, ask.leased),
            0,
            ask.idle,
        )

    def _fair(self, vm: VmName, now: float) -> float:
        live = [
            name
            for name, holding in self._holdings.items()
            if name != vm and holding.until > now and not holding.idle
        ]
        return LEASED_PART / (len(live) + 1)


class ShareChange(NamedTuple):
    """From a time on, the VM's share is this fraction."""

    at: float  # s
    fraction: float


class ShareHolder:
    """Holds this VM's share and keeps the history that buckets replay."""

    def __init__(self, outbox: Outbox, boot: str, now: float) -> None:
        self.leased = 0.0
        self.floor = 0.0
        self._outbox = outbox
        self._boot = boot
        self._epoch = 0
        self._until = now
        self._asked_at = now
        self._first_kept = 0
        self._history = [ShareChange(now, 0.0)]

    def renewal_ask(self, now: float, *, idle: bool) -> ShareAsk:
        """Return the message that asks the leader for a renewal."""
        self.expire(now)
        self._asked_at = now
        valid_s = max(0.0, self._until - now)
        return ShareAsk(self._boot, self._epoch, self.leased, valid_s, idle)

    def on_grant(self, grant: ShareGrant, now: float) -> None:
        """Take a newer grant; it counts from when it was asked for."""
        self.expire(now)
        if grant.epoch <= self._epoch:
            return
        self._epoch = grant.epoch
        self._until = self._asked_at + grant.lease_s
        self.leased = grant.leased if now < self._until else 0.0
        self._note(now)

    def set_floor(self, floor: float, now: float) -> None:
        """Take the floor that the roster in force gives this VM."""
        self.expire(now)
        if floor != self.floor:
            self.floor = floor
            self._note(now)

    def expire(self, now: float) -> None:
        """End the lease if its time has passed."""
        if self.leased and now >= self._until:
            self.leased = 0.0
            self._note(self._until)

    def fraction(self, now: float) -> float:
        """Return the share of every account's rate that is in use now."""
        self.expire(now)
        return self._history[-1].fraction

    def changes_after(self, position: int) -> tuple[ShareChange, ...] | None:
        """Return the changes from a position on, ``None`` if forgotten."""
        if position < self._first_kept:
            return None
        return tuple(self._history[position - self._first_kept :])

    @property
    def position(self) -> int:
        """Return the position after the last change."""
        return self._first_kept + len(self._history)

    @property
    def first_position(self) -> int:
        """Return the position of the first change that is still known."""
        return self._first_kept

    @property
    def started_at(self) -> float:
        """Return the time of the first change that is still known."""
        return self._history[0].at

    def _note(self, at: float) -> None:
        fraction = self.floor + self.leased
        former = self._history[-1]
        if abs(fraction - former.fraction) < SMALLEST_STEP:
            return
        self._history.append(ShareChange(max(at, former.at), fraction))
        while len(self._history) > MAX_HISTORY:
            self._history.pop(0)
            self._first_kept += 1
        self._outbox.record(
            at,
            EventKind.SHARE_CHANGED,
            f'{fraction:.4f} of every rate',
        )
