"""The VMs of the fleet, as control replicas agree on them."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from .._types import VmName, ZoneName

FLOOR_FRACTION: Final = 0.3  # of each account's rate, kept by VMs in isolation


class RosterEntry(NamedTuple):
    """One VM of the fleet.

    ``eligible`` VMs may own targets of their zone. ``floor`` is the
    fraction of each account's rate that the VM keeps while cut off.
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
    """Return the entry of a VM."""
    return next((entry for entry in roster if entry.vm == vm), None)


def with_entry(roster: Roster, entry: RosterEntry) -> Roster:
    """Return the roster with a VM added or moved, sorted by name.

    A known VM keeps what only control replicas may change.
    """
    known = find_entry(roster, entry.vm)
    if known is None or known.zone != entry.zone:
        entry = entry._replace(eligible=False, floor=0)
    else:
        entry = entry._replace(eligible=known.eligible, floor=known.floor)
    others = [other for other in roster if other.vm != entry.vm]
    return tuple(sorted([*others, entry]))


def without_vm(roster: Roster, vm: VmName) -> Roster:
    """Return the roster without a VM that operators declared dead."""
    return tuple(entry for entry in roster if entry.vm != vm)


def next_roster(
    roster: Roster,
    is_set_aside: Callable[[RosterEntry], bool],
    *,
    in_force: bool,
) -> Roster:
    """Return the roster's next safe step, or the roster itself.

    VMs that are set aside get no floor.

    Floors first shrink to the fair part everywhere. They grow, and VMs
    become eligible, only after every VM has the shrunk roster in force:
    so no two VMs ever count the same part of a rate as theirs, and every
    VM of a zone asks a newcomer for consent before it can own a target.
    """
    serving = sum(1 for entry in roster if not is_set_aside(entry))
    fair = FLOOR_FRACTION / serving if serving else 0.0
    floors = {
        entry.vm: 0.0 if is_set_aside(entry) else fair for entry in roster
    }
    shrunk = tuple(
        entry._replace(floor=min(entry.floor, floors[entry.vm]))
        for entry in roster
    )
    if shrunk != roster:
        return shrunk
    if not in_force:
        return roster
    return tuple(
        entry._replace(floor=floors[entry.vm], eligible=True)
        for entry in roster
    )


def zone_peers(roster: Roster, vm: VmName) -> tuple[VmName, ...]:
    """Return the other VMs in the zone of a VM."""
    own = find_entry(roster, vm)
    if own is None:
        return ()
    return tuple(
        entry.vm
        for entry in roster
        if entry.zone == own.zone and entry.vm != vm
    )
