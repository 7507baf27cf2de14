"""Tells whether an operator's order was overtaken by a newer one.

An order may be on its way for seconds: in a link between VMs that stalls, or
with a VM that is suspended. Operators give it up and send others meanwhile, at
another VM. Each proposal therefore names the last log entry that its proposer
had applied, its basis: whatever the log holds after that for the same conflict
key is newer than the order.
"""

from typing import TypeAlias

from .._commands import Command, RemoveVm, SetRoster, SetZoneOut
from ..quarantine._state import ClearSubjects, TargetCrash
from ._log import ReplicatedLog

ConflictKey: TypeAlias = tuple[str, str]  # kind and name of what changes


def is_overtaken(log: ReplicatedLog, command: Command, basis: int) -> bool:
    """Return whether the log has something newer for a command's keys.

    Entries up to the snapshot aren't known any more and count as newer.
    """
    keys = _conflict_keys(command)
    if not keys:
        return False
    if basis < log.snapshot.last_index:
        return True
    newer = log.entries_from(basis + 1, log.last_index)
    return any(keys & _conflict_keys(entry.command) for entry in newer)


def _conflict_keys(command: Command) -> frozenset[ConflictKey]:
    """Return what a command changes, if their order matters.

    Other commands name what they replace, or the highest one takes effect.
    """
    match command:
        case SetZoneOut(zone):
            return frozenset((('zone', zone),))
        case RemoveVm(vm):
            return frozenset((('vm', vm),))
        case SetRoster(_, roster):
            return frozenset(('vm', entry.vm) for entry in roster)
        case ClearSubjects(subjects) | TargetCrash(_, _, subjects):
            return frozenset(('subject', subject) for subject in subjects)
    return frozenset()
