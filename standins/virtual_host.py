"""Parts of a virtual fleet: callers' answers, disks and VMs."""

from typing import NamedTuple

from lovagemast_core import (
    Event,
    Node,
    PersistLog,
    Refusal,
    RosterEntry,
    StoredLog,
)


class Answer:
    """What a caller has received for one request."""

    def __init__(self, at: float) -> None:
        self.sent_at = at
        self.first_at: float | None = None
        self.ended_at: float | None = None
        self.status = 0
        self.chunks: list[bytes] = []
        self.complete = False
        self.refusal: Refusal | None = None
        self.end_count = 0


class Disk:
    """What a control VM's disk holds; only synced writes last."""

    def __init__(self, identity: str) -> None:
        self.stored = StoredLog(identity)

    def write(self, effect: PersistLog) -> None:
        """Apply one batch whole."""
        stored = self.stored
        snapshot = stored.snapshot
        entries = list(stored.entries)
        if effect.snapshot:
            snapshot = effect.snapshot
            entries = [
                entry
                for entry in entries
                if entry.log_index > snapshot.last_index
            ]
        if effect.truncate_from is not None:
            entries = [
                entry
                for entry in entries
                if entry.log_index < effect.truncate_from
            ]
        entries += effect.entries
        self.stored = StoredLog(
            stored.identity,
            effect.hard_state or stored.hard_state,
            snapshot,
            tuple(entries),
        )


class Host:
    """One VM: its node, its disk and its clock."""

    def __init__(self, entry: RosterEntry) -> None:
        self.entry = entry
        self.node: Node | None = None
        self.disk: Disk | None = None
        self.boot_count = 0
        self.rate = 1.0  # seconds of its clock per second
        self.offset = 0.0  # s
        self.tick_at = float('inf')
        self.backlog: list[Event] | None = None  # while the VM is frozen

    def clock(self, now: float) -> float:
        """Return the VM's own time."""
        return now * self.rate + self.offset

    def real(self, local: float) -> float:
        """Return the time at which the VM's clock shows ``local``."""
        return (local - self.offset) / self.rate


class Faults(NamedTuple):
    """Chances of each fate of a message between VMs."""

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0  # longest extra delay, which also reorders
