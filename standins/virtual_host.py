"""The VMs, disks and received responses of a virtual fleet."""

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
    """The response that a caller has received so far."""

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
    """The synced content of a control VM's disk, which survives crashes."""

    def __init__(self, identity: str) -> None:
        self.stored = StoredLog(identity)

    def write(self, effect: PersistLog) -> None:
        """Apply one batch of writes atomically."""
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
        self.rate = 1.0  # of its clock relative to virtual time
        self.offset = 0.0  # s, of its clock
        self.tick_at = float('inf')
        self.backlog: list[Event] | None = None  # queued while the VM is frozen

    def clock(self, now: float) -> float:
        """Return the VM's clock reading at a virtual time."""
        return now * self.rate + self.offset

    def virtual_time(self, local: float) -> float:
        """Return the virtual time at which the VM's clock reads ``local``."""
        return (local - self.offset) / self.rate


class Faults(NamedTuple):
    """Fault probabilities of a message between VMs."""

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0  # maximum extra delay, which also reorders
