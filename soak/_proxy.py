"""A loopback TCP proxy that delays, resets or stalls connections."""

import asyncio
import contextlib
from enum import Enum
from typing import Final

CHUNK_BYTES: Final = 65_536
DELAY_S: Final = 0.25


class Mode(Enum):
    """How the proxy treats the bytes of all connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENCE = 'silence'  # holds both directions
    ONE_WAY = 'one-way'  # holds what the target sends


class Proxy:
    """Forwards connections from one loopback port to another."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.mode = Mode.PASS
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            self.port,
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self.reset()

    def set_mode(self, mode: Mode) -> None:
        """Change how bytes of all connections are treated."""
        self.mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                '127.0.0.1',
                self._target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        both = (writer, upstream_writer)
        self._writers.update(both)
        await asyncio.gather(
            self._pump(reader, upstream_writer, from_target=False),
            self._pump(upstream_reader, writer, from_target=True),
        )
        self._writers.difference_update(both)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._apply_mode(from_target=from_target)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _apply_mode(self, *, from_target: bool) -> None:
        if self.mode is Mode.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.mode is Mode.SILENCE or (
            from_target and self.mode is Mode.ONE_WAY
        ):
            await self._mode_changed.wait()
