"""The software versions of each pool that may have begun open streams."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import SoftwareVersion

MAX_VERSIONS: Final = 16  # of a pool; targets of others still serve
CHECK_INTERVAL_S: Final = 1.0  # while no target has changed
MIN_CHECK_INTERVAL_S: Final = 0.2  # a check visits all targets


class PoolSoftware(NamedTuple):
    """A pool's software versions, in service now or until lately."""

    pool: str
    versions: tuple[SoftwareVersion, ...]  # sorted


class SetSoftware(NamedTuple):
    """Replaces what is stored of a pool's software versions."""

    pool: str
    versions: tuple[SoftwareVersion, ...]


class TargetSoftware(NamedTuple):
    """The software version of one target."""

    pool: str
    software: SoftwareVersion


class SoftwareTracker:
    """Proposes the versions of pools while this control VM leads.

    A version is stored from its first target on, and until no stream that it
    began can still be resumed. It is replicated, so that it survives a loss
    of all memory.
    """

    def __init__(self) -> None:
        self._seen: dict[TargetSoftware, float] = {}  # s, last in service
        self._checked_at = 0.0
        self._stamp = -1

    def start_term(self) -> None:
        """Forget when versions were last seen, at the start of a term."""
        self._seen.clear()
        self._stamp = -1

    def is_due(self, stamp: int, now: float) -> bool:
        """Return whether to compare anew; ``stamp`` is that of targets."""
        has_changed = stamp != self._stamp
        interval_s = MIN_CHECK_INTERVAL_S if has_changed else CHECK_INTERVAL_S
        return now - self._checked_at >= interval_s

    def propose(
        self,
        stored: tuple[PoolSoftware, ...],
        targets: Iterable[TargetSoftware],
        *,
        stamp: int,
        retention_s: float,
        now: float,
    ) -> list[SetSoftware]:
        """Return the changes to store."""
        self._checked_at = now
        self._stamp = stamp
        known = [
            TargetSoftware(one.pool, version)
            for one in stored
            for version in one.versions
        ]
        for former in known:
            self._seen.setdefault(former, now)
        self._seen.update(dict.fromkeys(targets, now))
        self._seen = {
            one: at for one, at in self._seen.items() if now - at <= retention_s
        }
        wanted = self._by_pool()
        current = {one.pool: one.versions for one in stored}
        return [
            SetSoftware(pool, wanted.get(pool, ()))
            for pool in sorted({*wanted, *current})
            if wanted.get(pool, ()) != current.get(pool, ())
        ]

    def _by_pool(self) -> dict[str, tuple[SoftwareVersion, ...]]:
        versions: dict[str, list[SoftwareVersion]] = defaultdict(list)
        for one in self._seen:
            versions[one.pool].append(one.software)
        return {
            pool: tuple(sorted(found)[:MAX_VERSIONS])
            for pool, found in versions.items()
        }


def set_software(
    stored: tuple[PoolSoftware, ...], command: SetSoftware
) -> tuple[PoolSoftware, ...]:
    """Return what is stored after a change."""
    others = [one for one in stored if one.pool != command.pool]
    if command.versions:
        others.append(PoolSoftware(command.pool, command.versions))
    return tuple(sorted(others))
