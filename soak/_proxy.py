"""A loopback proxy that delays, resets or silences connections."""

import asyncio
import contextlib
from enum import Enum
from typing import Final

CHUNK: Final = 65_536
DELAY_S: Final = 0.25


class Mode(Enum):
    """What happens to the bytes of all connections."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENCE = 'silence'  # neither direction
    ONE_WAY = 'one-way'  # nothing from the target


class Proxy:
    """Listens at one loopback port and connects to another."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.mode = Mode.PASS
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            self.port,
        )

    def stop(self) -> None:
        """End all connections."""
        if self._server:
            self._server.close()
        self.reset()

    def set_mode(self, mode: Mode) -> None:
        """Treat all bytes in this way from now on."""
        self.mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

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
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1',
                self._target_port,
            )
        except OSError:
            writer.transport.abort()
            return
        both = (writer, far_writer)
        self._writers.update(both)
        await asyncio.gather(
            self._pump(reader, far_writer, answers=False),
            self._pump(far_reader, writer, answers=True),
        )
        self._writers.difference_update(both)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK):
                await self._hold(answers=answers)
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _hold(self, *, answers: bool) -> None:
        if self.mode is Mode.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.mode is Mode.SILENCE or (
            answers and self.mode is Mode.ONE_WAY
        ):
            await self._changed.wait()
