"""The replicated list of the fleet's VMs."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._types import VmName, ZoneName

# Fraction of each account's rate that all VMs may spend without the leader.
FLOOR_FRACTION: Final = 0.3


class RosterEntry(NamedTuple):
    """One VM of the fleet.

    ``control`` VMs run a replica. ``eligible`` VMs may own targets of their
    zone. ``floor`` is the fraction of each account's rate that the VM may
    spend while it cannot reach the leader.
    """

    vm: VmName
    zone: ZoneName
    address: str  # host:port for other VMs
    admin: str = ''  # host:port of the administration API
    control: bool = False
    eligible: bool = False
    floor: float = 0.0


Roster = tuple[RosterEntry, ...]


def find_entry(roster: Iterable[RosterEntry], vm: VmName) -> RosterEntry | None:
    """Return the entry of a VM, if it is on the roster."""
    return next((entry for entry in roster if entry.vm == vm), None)


def with_entry(roster: Roster, entry: RosterEntry) -> Roster:
    """Return the roster with an entry added or replaced, sorted by name.

    ``eligible`` and ``floor``, which only the leader sets, are kept for a
    known VM and reset for a new one or one that has moved to another zone.
    """
    known = find_entry(roster, entry.vm)
    if known is None or known.zone != entry.zone:
        entry = entry._replace(eligible=False, floor=0)
    else:
        entry = entry._replace(eligible=known.eligible, floor=known.floor)
    others = [other for other in roster if other.vm != entry.vm]
    return tuple(sorted([*others, entry]))


def without_vm(roster: Roster, vm: VmName) -> Roster:
    """Return the roster without a VM that operators have removed."""
    return tuple(entry for entry in roster if entry.vm != vm)


def next_roster(
    roster: Roster,
    is_out_of_service: Callable[[RosterEntry], bool],
    *,
    is_acknowledged: bool,
) -> Roster:
    """Return the next safe roster change, or the roster itself.

    The floor is split evenly between the VMs in service; VMs out of service
    get none. ``is_acknowledged`` tells whether every VM holds this roster.

    Floors are lowered first. They are raised, and VMs become eligible, only
    after every VM has acknowledged the lowered roster: so no part of a rate
    is ever assigned to two VMs, and by the time a new VM can own a target,
    every VM of its zone asks it for consent.
    """
    in_service = sum(1 for entry in roster if not is_out_of_service(entry))
    equal_floor = FLOOR_FRACTION / in_service if in_service else 0.0
    floors = {
        entry.vm: 0.0 if is_out_of_service(entry) else equal_floor
        for entry in roster
    }
    lowered = tuple(
        entry._replace(floor=min(entry.floor, floors[entry.vm]))
        for entry in roster
    )
    if lowered != roster:
        return lowered
    if not is_acknowledged:
        return roster
    return tuple(
        entry._replace(floor=floors[entry.vm], eligible=True)
        for entry in roster
    )


def zone_peers(roster: Roster, vm: VmName) -> tuple[VmName, ...]:
    """Return the other VMs of a VM's zone."""
    own = find_entry(roster, vm)
    if own is None:
        return ()
    return tuple(
        entry.vm
        for entry in roster
        if entry.zone == own.zone and entry.vm != vm
    )
