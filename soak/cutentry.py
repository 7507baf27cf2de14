"""Runs an entry VM whose paths to all targets can be cut.

The first argument names a file. While it holds the name of a ``Cut``, the VM
reaches no target: other VMs, callers and control VMs notice nothing.
"""

import asyncio
import os
import sys
import weakref
from pathlib import Path
from typing import Final

from lovagemast_node.fleet import EntryServer, _entrystate
from lovagemast_node.http import ConnectFailed, _client, _targetpool
from lovagemast_platform._entry import PlatformEntryCodec
from lovagemast_platform._settings import SettingsFile

from ._plan import Cut

POLL_INTERVAL_S: Final = 0.02
USER_TIMEOUT_S: Final = 2.5  # until the kernel gives up on unread bytes


class CutSwitch:
    """The cut in force, and all open connections to targets."""

    def __init__(self, path: Path) -> None:
        self.cut = Cut.NONE
        self.connections: weakref.WeakSet[CutConnection] = weakref.WeakSet()
        self._path = path

    async def watch(self) -> None:
        """Apply what the file says until cancelled."""
        while True:
            text = self._path.read_text() if self._path.exists() else ''
            self._apply(Cut(text.strip()))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _apply(self, cut: Cut) -> None:
        if cut is self.cut:
            return
        self.cut = cut
        if cut is Cut.RESET:
            for conn in list(self.connections):
                conn.reset()


SWITCH: Final = CutSwitch(Path(sys.argv[1]))


class CutConnection(_client.TargetConnection):
    """A connection to a target that may be cut."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        SWITCH.connections.add(self)

    def data_received(self, data: bytes | memoryview) -> None:
        """Drop what arrives over a silent path."""
        if SWITCH.cut is not Cut.SILENT:
            super().data_received(data)

    def send(
        self,
        head: bytes,
        request_id: bytes,
        request_id_header: bytes,
        body: bytes = b'',
    ) -> None:
        """Send nothing over a silent path, until the kernel gives up."""
        if SWITCH.cut is not Cut.SILENT:
            super().send(head, request_id, request_id_header, body)
            return
        super().send(b'', request_id, request_id_header)
        asyncio.get_running_loop().call_later(USER_TIMEOUT_S, self.reset)

    def reset(self) -> None:
        """End the connection as a reset by the other side does."""
        if not self.is_closed:
            self.connection_lost(ConnectionResetError())
            self.close()


class CutPool(_targetpool.TargetPool):
    """A pool of connections that opens none while the paths are cut."""

    async def acquire(
        self, address: str, *, fresh: bool, timeout_s: float, now: float
    ) -> _client.TargetConnection | ConnectFailed:
        """Return a connection, unless it would have to be opened."""
        open_ones = (
            one for one in self._idle.get(address, ()) if not one.is_closed
        )
        can_reuse = not fresh and any(open_ones)
        if SWITCH.cut is Cut.NONE or can_reuse:
            return await super().acquire(
                address, fresh=fresh, timeout_s=timeout_s, now=now
            )
        if SWITCH.cut is Cut.SILENT:
            await asyncio.sleep(timeout_s)
        return ConnectFailed(SWITCH.cut)


async def serve(settings: SettingsFile) -> None:
    """Run an entry server until it is stopped."""
    watch = asyncio.create_task(SWITCH.watch())
    await EntryServer(settings.to_entry(), PlatformEntryCodec()).run()
    watch.cancel()


def main() -> None:
    """Start the entry server with connections that may be cut."""
    _targetpool.TargetConnection = CutConnection  # type: ignore[attr-defined]
    _entrystate.TargetPool = CutPool  # type: ignore[attr-defined]
    settings = SettingsFile.read(Path(os.environ['LOVAGEMAST_SETTINGS']))
    asyncio.run(serve(settings))


if __name__ == '__main__':
    main()
