"""Lets the C library return the memory of large bodies to the kernel.

By default, it takes ever larger blocks from its heap once a large one was
freed. Bodies that grow at a time then leave gaps that none of them fits in, so
that the process uses much more memory than its bodies have.
"""

import ctypes
from typing import Final

# Parameters of mallopt(3).
M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
# Larger blocks are mapped by themselves. The buffers of reads, 256 KiB, stay
# on the heap, as mapping them each time would cost more.
MAPPED_BYTES: Final = 327_680
TRIM_BYTES: Final = 4_194_304  # kept at the end of the heap


def limit_heap(memory_mb: float | None) -> bool:
    """Map large blocks by themselves; return whether the library can.

    Nothing changes if the memory of the VM isn't known.
    """
    if memory_mb is None:
        return False
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
        and mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
    )
