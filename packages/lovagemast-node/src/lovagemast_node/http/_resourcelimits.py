"""Derives the limits of a process from those of its VM."""

from typing import Final, NamedTuple

from ._bodybudget import MAX_BODIES_BYTES, BodyBudget
from ._connectiontable import ConnectionTable

MIB: Final = 1_048_576
# A VM with this much memory, or more, keeps as many bodies as one whose memory
# isn't known. Smaller ones keep less, in proportion to what the process itself
# leaves: it has 40 to 50 MB without requests.
FULL_MEMORY_MB: Final = 300
PROCESS_MEMORY_MB: Final = 60
# One request and one response of the largest sizes, in calm.
MIN_BODIES_BYTES: Final = 16 * MIB
# For heads and small bodies, of the memory of the VM.
SMALL_FRACTION: Final = 0.1
# Of the descriptors of the VM. The rest is for targets, other VMs and files,
# and for connections that are being accepted.
ACCEPTED_FRACTION: Final = 5 / 8
IDLE_FRACTION: Final = 1 / 8  # connections to targets that are kept


class ServerLimits(NamedTuple):
    """Limits on the size and duration of requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# For pages that are only read.
READ_ONLY_LIMITS: Final = ServerLimits(max_body_bytes=0)


class VmLimits(NamedTuple):
    """The limits of a VM, as far as they are known."""

    memory_mb: float | None = None
    max_fds: float | None = None

    def make_budget(self, max_bytes: int = MAX_BODIES_BYTES) -> BodyBudget:
        """Return the memory that messages may use, and large ones at most."""
        if self.memory_mb is None:
            return BodyBudget(max_bytes)
        spare_mb = self.memory_mb - PROCESS_MEMORY_MB
        part = min(1.0, spare_mb / (FULL_MEMORY_MB - PROCESS_MEMORY_MB))
        bodies = max(MIN_BODIES_BYTES, int(MAX_BODIES_BYTES * part))
        bodies = min(bodies, max_bytes)
        small = int(self.memory_mb * SMALL_FRACTION * MIB)
        return BodyBudget(bodies, small)

    def make_connection_table(self) -> ConnectionTable:
        """Return a table of the connections that are accepted."""
        if self.max_fds is None:
            return ConnectionTable()
        return ConnectionTable(max(1, int(self.max_fds * ACCEPTED_FRACTION)))

    @property
    def max_idle(self) -> int | None:
        """Return how many idle connections to targets are kept."""
        if self.max_fds is None:
            return None
        return max(1, int(self.max_fds * IDLE_FRACTION))
