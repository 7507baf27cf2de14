"""Draws a schedule of faults from a seed."""

import random
from enum import StrEnum
from typing import Final, NamedTuple

SPACING_S: Final = (0.3, 2.5)  # between the starts of two faults
DURATION_S: Final = (0.5, 4.0)
LIMIT_DURATION_S: Final = (5.0, 15.0)
LIMITS_PER_S: Final = (0.4, 1.0, 2.5)
CUT_DURATION_S: Final = (0.5, 6.0)
WIPE_RECOVERY_S: Final = 12.0  # a wiped replica is replaced within this time


class Cut(StrEnum):
    """How an entry VM's connections to targets are cut."""

    NONE = ''
    SILENT = 'silent'  # nothing arrives, in either direction
    RESET = 'reset'  # open ones are reset, new ones are refused
    REFUSED = 'refused'  # new ones are refused, open ones live on


CUTS: Final = (Cut.SILENT, Cut.RESET, Cut.REFUSED)


class FaultKind(StrEnum):
    """A fault of a process, a worker or the connection to a worker."""

    KILL = 'kill'  # SIGKILL, then a restart
    FREEZE = 'freeze'  # SIGSTOP, then SIGCONT
    TERM = 'term'  # SIGTERM, then a restart
    HUP = 'hup'
    WIPE = 'wipe'  # SIGKILL, then a restart with an empty disk
    CRASH = 'crash'  # the worker ends; a new incarnation takes its address
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    ONE_WAY = 'one-way'  # nothing from the worker arrives
    CONFIG = 'config'  # an operator changes the configuration


CONTROL_KINDS: Final = (
    FaultKind.KILL,
    FaultKind.FREEZE,
    FaultKind.TERM,
    FaultKind.HUP,
    FaultKind.WIPE,
)
ENTRY_KINDS: Final = (
    FaultKind.KILL,
    FaultKind.FREEZE,
    FaultKind.TERM,
    FaultKind.HUP,
)
WORKER_KINDS: Final = (
    FaultKind.CRASH,
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.SILENCE,
    FaultKind.ONE_WAY,
)


class Fault(NamedTuple):
    """One fault; times in s since the start of the schedule."""

    at: float
    kind: FaultKind
    component: str  # process or worker, empty for an operator
    duration_s: float

    @property
    def ends_at(self) -> float:
        """Return when the fault ends."""
        return self.at + self.duration_s


class Components(NamedTuple):
    """The processes and workers that faults may affect."""

    control: tuple[str, ...]
    entries: tuple[str, ...]
    workers: tuple[str, ...]


class LimitSpan(NamedTuple):
    """A span, in s, in which a worker names a limit for its requests."""

    at: float
    duration_s: float
    component: str
    per_s: float


class CutSpan(NamedTuple):
    """A span, in s, in which an entry VM reaches no target."""

    at: float
    duration_s: float
    component: str
    how: Cut


def draw_limits(
    seed: int, components: Components, seconds: float
) -> list[LimitSpan]:
    """Draw the limits that the first worker names, one after the other."""
    rng = random.Random(f'limits {seed}')
    spans = []
    at = rng.uniform(*SPACING_S)
    while at < seconds:
        duration_s = rng.uniform(*LIMIT_DURATION_S)
        per_s = rng.choice(LIMITS_PER_S)
        spans.append(LimitSpan(at, duration_s, components.workers[0], per_s))
        at += duration_s + rng.uniform(*SPACING_S)
    return spans


def draw_cuts(
    seed: int, components: Components, seconds: float
) -> list[CutSpan]:
    """Draw when entry VMs reach no target; never all at a time.

    Cuts overlap with all other faults, also of the VM that is not cut off.
    """
    rng = random.Random(f'cuts {seed}')
    spans = []
    at = rng.uniform(*SPACING_S)
    while at < seconds:
        duration_s = rng.uniform(*CUT_DURATION_S)
        vm = rng.choice(components.entries)
        spans.append(CutSpan(at, duration_s, vm, rng.choice(CUTS)))
        at += duration_s + rng.uniform(*SPACING_S)
    return spans


def draw_faults(
    seed: int, components: Components, seconds: float
) -> list[Fault]:
    """Return faults in order of time that leave a quorum running.

    Faults may overlap, but only one control VM is affected at a time, since
    the deployment tolerates the loss of one, and one entry VM keeps running.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 0.0
    while True:
        at += rng.uniform(*SPACING_S)
        if at >= seconds:
            return faults
        fault = _draw(rng, components, at)
        if not _overlaps_in_group(fault, faults, components):
            faults.append(fault)


def _draw(rng: random.Random, components: Components, at: float) -> Fault:
    groups = (
        (components.control, CONTROL_KINDS),
        (components.entries, ENTRY_KINDS),
        (components.workers, WORKER_KINDS),
        (('',), (FaultKind.CONFIG,)),
    )
    members, kinds = rng.choice(groups)
    kind = rng.choice(kinds)
    return Fault(at, kind, rng.choice(members), rng.uniform(*DURATION_S))


def _overlaps_in_group(
    fault: Fault, earlier: list[Fault], components: Components
) -> bool:
    """Return whether another fault in the same group is not over yet."""
    for members in (components.control, components.entries, components.workers):
        if fault.component not in members:
            continue
        return any(
            one.component in members and fault.at < _recovered_at(one)
            for one in earlier
        )
    return False


def _recovered_at(fault: Fault) -> float:
    pause_s = WIPE_RECOVERY_S if fault.kind is FaultKind.WIPE else 2.0
    return fault.ends_at + pause_s
