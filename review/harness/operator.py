"""The operator: sends orders to control machines until one acknowledges."""

import asyncio
import json
from typing import Any, Final

from . import http1
from .record import Record

RESPONSE_TIMEOUT_S: Final = 1.0  # then it moves on to another machine
PAUSE_S: Final = 0.1
PAUSE_FACTOR: Final = 1.5
MAX_TRIES: Final = 40


class Operator:
    """Sends an order again, to other machines, until it is acknowledged."""

    def __init__(self, addresses: list[str], record: Record) -> None:
        self._addresses = addresses
        self._record = record

    async def put_config(self, config: dict[str, Any]) -> float:
        """Put a configuration; return when it was acknowledged, in s."""
        body = json.dumps(config).encode()
        return await self.order('PUT', '/config', body=body)

    async def order(
        self, method: str, path: str, *, first: int = 0, body: bytes = b''
    ) -> float:
        """Send an order; return when it was acknowledged, in s.

        ``first`` is the position of the machine that is tried first.
        """
        pause_s = PAUSE_S
        for attempt in range(MAX_TRIES):
            address = self._addresses[(first + attempt) % len(self._addresses)]
            self._record.write(f'operator sends {method} {path} to {address}')
            response = await http1.call(
                address, method, path, body=body, timeout_s=RESPONSE_TIMEOUT_S
            )
            status = response.status if response else 'no response'
            self._record.write(f'operator gets {status} for {method} {path}')
            if response and response.status // 100 == 2:
                return self._record.now()
            await asyncio.sleep(pause_s)
            pause_s *= PAUSE_FACTOR
        raise TimeoutError(f'{method} {path} was not acknowledged')
