"""Pings that bound the silence of gRPC connections.

Sends tell nothing of a connection whose other end is gone: the kernel, or a
proxy, takes their bytes. Pings are answered by the other process.
"""

from typing import Final

from grpclib.config import Configuration

# Between control VMs: an election needs the links, and takes under a second.
LINK_PING_INTERVAL_S: Final = 0.3
LINK_PING_TIMEOUT_S: Final = 0.7
PING_INTERVAL_S: Final = 1.0
PING_TIMEOUT_S: Final = 1.0
# Incoming connections, of which a VM may have many.
SERVER_PING_INTERVAL_S: Final = 2.0
SERVER_PING_TIMEOUT_S: Final = 2.0
# Of one stream, unread. It bounds how far a ping waits behind a message, and
# how long a link is without an update of the window while one is on its way.
STREAM_WINDOW_BYTES: Final = 262_144
# The library sends no ping within this part of the interval after the last.
MIN_SPACING: Final = 0.5


# Of a connection that the other side pings.
READ_CONFIG: Final = Configuration(http2_stream_window_size=STREAM_WINDOW_BYTES)


def ping_config(interval_s: float, timeout_s: float) -> Configuration:
    """Return settings of a connection that is closed if pings fail.

    A silent one is closed after ``interval_s`` and ``timeout_s``, at the
    latest.
    """
    return Configuration(
        _keepalive_time=interval_s,
        _keepalive_timeout=timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=interval_s * MIN_SPACING,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )
