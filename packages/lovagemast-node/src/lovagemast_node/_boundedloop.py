"""An event loop in which no connection of any library takes a whole turn.

``lovagemastd`` talks HTTP with a library whose protocols read as much as a
socket holds.
"""

import asyncio
from typing import Any

from .http import READ_BYTES


class BoundedReadsLoop(asyncio.SelectorEventLoop):
    """An event loop whose transports read ``READ_BYTES`` at most in a turn."""

    def _make_socket_transport(self, *args: Any, **options: Any) -> Any:
        make: Any = super()._make_socket_transport  # type: ignore[misc]
        transport = make(*args, **options)
        transport.max_size = READ_BYTES
        return transport
