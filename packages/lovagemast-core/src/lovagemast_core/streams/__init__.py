"""Which software version began a stream, and who remembers it.

A stream may go on only at a target of the software version that began it.
Its client may resume it at any entry VM, also after the one that served it
was lost, so entry VMs report the streams that begin to their relays, and each
control VM copies what its relay learns to others.
"""

from ._directory import StreamDirectory, StreamMessage
from ._lookups import StreamLookups
from ._records import (
    FoundStream,
    StreamAnswer,
    StreamCopies,
    StreamOrigin,
    StreamQuery,
    StreamStart,
    stream_key,
)
from ._reports import StreamReports
from ._software import (
    PoolSoftware,
    SetSoftware,
    SoftwareTracker,
    TargetSoftware,
)
from ._table import StreamTable, retention_s

__all__ = [
    'FoundStream',
    'PoolSoftware',
    'SetSoftware',
    'SoftwareTracker',
    'StreamAnswer',
    'StreamCopies',
    'StreamDirectory',
    'StreamLookups',
    'StreamMessage',
    'StreamOrigin',
    'StreamQuery',
    'StreamReports',
    'StreamStart',
    'StreamTable',
    'TargetSoftware',
    'retention_s',
    'stream_key',
]
