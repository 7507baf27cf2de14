"""Socket options that detect unreachable peers, and address parsing."""

import asyncio
import socket
import struct
from typing import Final

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_500  # for unacknowledged data
LISTEN_BACKLOG: Final = 512
NO_LINGER: Final = struct.pack('ii', 1, 0)  # enabled, for 0 s
# Connections that are accepted before those accepted earlier are counted.
ACCEPT_BATCH: Final = 8


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose peer is unreachable."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def discard_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the close of a connection reset it and drop its send buffer."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


def extend_backlog(listener: asyncio.Server) -> None:
    """Let more connections wait for being accepted than are at a time.

    The event loop has one number for both.
    """
    for sock in listener.sockets:
        with sock.dup() as duplicate:
            duplicate.listen(LISTEN_BACKLOG)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)
