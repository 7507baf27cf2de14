"""A deployment whose entry VM reaches the control VMs over a small link."""

import asyncio
import contextlib
import json
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from tests.test_serving import Deployment, free_port, make_route

CHUNK_BYTES: Final = 1_448  # a packet
BITS: Final = 8
TICK_S: Final = 0.002  # shorter waits are saved up
# Addresses of its own, so that runs beside each other never meet.
NETWORK: Final = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
CONTROL: Final = tuple(f'{NETWORK}.{31 + index}' for index in range(3))
ENTRY: Final = f'{NETWORK}.41'


def make_routes(count: int, seed: int) -> list[dict[str, Any]]:
    """Return routes with names that repeat nowhere."""
    rng = random.Random(seed)
    routes = []
    for _route in range(count):
        name = f'{rng.getrandbits(40):010x}'
        route = make_route(f'/{name}/', 's-plain', 'unsafe', resumable=False)
        routes.append({**route, 'hostname': f'{name[:6]}.example'})
    return routes


class SmallLink:
    """Passes on the connections of one VM, all at one rate together."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.passed_bytes = 0  # towards the VM
        self.cut_after: int | None = None  # bytes of a connection, then a reset
        self._free_at = 0.0

    async def listen(
        self,
        host: str,
        port: int,
        target_port: int,
        *,
        both_ways: bool = False,
    ) -> None:
        """Pass connections to a port on to another one of the same host."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                there = await asyncio.open_connection(host, target_port)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._pump(reader, there[1], is_answer=both_ways),
                self._pump(there[0], writer, is_answer=True),
            )

        await asyncio.start_server(serve, host, port, limit=CHUNK_BYTES)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        # As on a real link, little waits in buffers of its own.
        writer.transport.set_write_buffer_limits(CHUNK_BYTES)
        passed = 0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                passed += len(chunk)
                if is_answer and not await self._pass(len(chunk), passed):
                    writer.transport.abort()
                    break
                writer.write(chunk)
                await writer.drain()
        writer.close()

    async def _pass(self, count: int, passed: int) -> bool:
        """Let bytes pass; return whether the connection goes on."""
        await self._wait_for(count)
        self.passed_bytes += count
        return self.cut_after is None or passed <= self.cut_after

    async def _wait_for(self, count: int) -> None:
        """Wait until the link has sent some bytes."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + count / self.bytes_per_s
        if self._free_at - now > TICK_S:
            await asyncio.sleep(self._free_at - now)


class SmallLinkDeployment(Deployment):
    """Control VMs, and an entry VM behind a link of some bits/s."""

    control_vms = CONTROL
    entry_vm = ENTRY

    def __init__(self, folder: Path, bits_per_s: float) -> None:
        super().__init__(folder)
        self.link = SmallLink(bits_per_s / BITS)
        self._entry_port = free_port()
        self._routes: list[dict[str, Any]] = []

    def start(self) -> None:
        """Start all; the link first, as processes connect at once."""
        self._thread.start()
        for vm in self.control_vms:
            self._call(self.link.listen(vm, self._entry_port, self.ports.peer))
        for vm in self.control_vms:
            self.start_process('control', vm)
        self.start_process('entry', self.entry_vm)
        for worker in (self.engine, self.spare, self.plain):
            asyncio.run_coroutine_threadsafe(worker.serve(), self._loop)
        self.wait(lambda: self.put_config(1) == 200)
        self.wait(lambda: self.is_served('/plain/x', {}))

    def add_routes(self, version: int, count: int) -> dict[str, Any]:
        """Put a configuration with some more routes; return the last one."""
        self._routes += make_routes(count, seed=version)
        self.wait(lambda: self.put_config(version) == 200)
        return self._routes[-1]

    def is_routed(self, route: dict[str, Any]) -> bool:
        """Return whether the entry VM serves a route."""
        return self.is_served(
            f'{route["pathPrefix"]}x', {'Host': route['hostname']}
        )

    def document_bytes(self) -> int:
        """Return the size of the newest configuration."""
        return len(json.dumps(self.config(1, ('k1',))))

    def count_bytes(self, work: Callable[[], None]) -> int:
        """Return the bytes that reach the entry VM while work is done."""
        before = self.link.passed_bytes
        work()
        return self.link.passed_bytes - before

    def config(self, version: int, keys: tuple[str, ...]) -> dict[str, Any]:
        """Return the configuration with the routes that were added."""
        document = super().config(version, keys)
        document['routes'] += self._routes
        return document

    def _call(self, coroutine: Any) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)

    def _settings(self, role: str, vm: str) -> str:
        text = super()._settings(role, vm)
        if role == 'entry':
            peer = self.ports.peer
            text = text.replace(
                f'internalPorts = [{peer}, {peer}]',
                f'internalPorts = [{self._entry_port}, {self._entry_port}]',
            )
        return text
