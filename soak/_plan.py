"""Draws a series of faults from a seed."""

import random
from enum import StrEnum
from typing import Final, NamedTuple

SPACING_S: Final = (0.3, 2.5)  # between the beginnings of two faults
LENGTH_S: Final = (0.5, 4.0)
WIPE_PAUSE_S: Final = 12.0  # a lost disk is replaced within this time


class Kind(StrEnum):
    """What is done to a process, a worker or the path to it."""

    KILL = 'kill'  # SIGKILL, and started again
    FREEZE = 'freeze'  # SIGSTOP, then SIGCONT
    TERM = 'term'  # SIGTERM, and started again
    HUP = 'hup'
    WIPE = 'wipe'  # SIGKILL, and started again with an empty disk
    CRASH = 'crash'  # a worker ends; another incarnation takes its address
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    ONE_WAY = 'one-way'  # what a worker answers does not arrive
    CONFIG = 'config'  # the operator changes the configuration


CONTROL_KINDS: Final = (Kind.KILL, Kind.FREEZE, Kind.TERM, Kind.HUP, Kind.WIPE)
ENTRY_KINDS: Final = (Kind.KILL, Kind.FREEZE, Kind.TERM, Kind.HUP)
WORKER_KINDS: Final = (
    Kind.CRASH,
    Kind.DELAY,
    Kind.RESET,
    Kind.SILENCE,
    Kind.ONE_WAY,
)


class Fault(NamedTuple):
    """One fault; times in s since the faults began."""

    at: float
    kind: Kind
    who: str  # a process or a worker, empty for the operator
    for_s: float

    @property
    def ends_at(self) -> float:
        """Return when the fault is over."""
        return self.at + self.for_s


class Cast(NamedTuple):
    """Who may be hit."""

    control: tuple[str, ...]
    entries: tuple[str, ...]
    workers: tuple[str, ...]


def draw_faults(seed: int, cast: Cast, seconds: float) -> list[Fault]:
    """Return faults in series, which overlap but spare a quorum.

    One control VM is down at a time, as the deployment tolerates the loss of
    one, and one entry VM goes on.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = 0.0
    while True:
        at += rng.uniform(*SPACING_S)
        if at >= seconds:
            return faults
        fault = _draw(rng, cast, at)
        if not _is_too_much(fault, faults, cast):
            faults.append(fault)


def _draw(rng: random.Random, cast: Cast, at: float) -> Fault:
    groups = (
        (cast.control, CONTROL_KINDS),
        (cast.entries, ENTRY_KINDS),
        (cast.workers, WORKER_KINDS),
        (('',), (Kind.CONFIG,)),
    )
    members, kinds = rng.choice(groups)
    kind = rng.choice(kinds)
    return Fault(at, kind, rng.choice(members), rng.uniform(*LENGTH_S))


def _is_too_much(fault: Fault, earlier: list[Fault], cast: Cast) -> bool:
    """Return whether a fault would hit what another one still holds."""
    for members in (cast.control, cast.entries, cast.workers):
        if fault.who not in members:
            continue
        return any(
            one.who in members and fault.at < _recovered_at(one)
            for one in earlier
        )
    return False


def _recovered_at(fault: Fault) -> float:
    pause_s = WIPE_PAUSE_S if fault.kind is Kind.WIPE else 2.0
    return fault.ends_at + pause_s
