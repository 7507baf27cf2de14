"""Reads callers' bodies within the account of the process."""

import asyncio
from typing import Final

from aiohttp import web
from lovagemast_core import Reason, Refusal

from .http import BodyShare

READ_BYTES: Final = 65_536
NO_ROOM: Final = Refusal(
    Reason.OVERLOADED,
    'the bodies of other requests hold the memory',
    retry_after_s=1,
)


class BodyReader:
    """Reads one body, as long as its share of the account can grow.

    ``limit_bytes`` is the longest body that is allowed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._reading: asyncio.Task[bytes | Refusal] | None = None
        self._is_evicted = False

    def evict(self) -> None:
        """Give up the body, to make room for others."""
        self._is_evicted = True
        if self._reading:
            self._reading.cancel()

    async def read(
        self, http_req: web.Request, share: BodyShare, timeout_s: float
    ) -> bytes | Refusal:
        """Return the body, or a refusal if there is no room for it.

        Raises :exc:`TimeoutError` if it does not come in time, and
        :exc:`web.HTTPRequestEntityTooLarge` if it is too long.
        """
        self._reading = asyncio.ensure_future(self._collect(http_req, share))
        try:
            return await asyncio.wait_for(self._reading, timeout_s)
        except asyncio.CancelledError:
            if not self._is_evicted:
                raise  # the caller has disconnected
            return NO_ROOM
        finally:
            share.mark_complete()

    async def _collect(
        self, http_req: web.Request, share: BodyShare
    ) -> bytes | Refusal:
        body = bytearray()
        async for chunk in http_req.content.iter_chunked(READ_BYTES):
            body += chunk
            if len(body) > self._limit_bytes:
                raise web.HTTPRequestEntityTooLarge(
                    self._limit_bytes, len(body)
                )
            share.mark_incomplete(len(body))
            if not share.try_grow(len(body)):
                return NO_ROOM
        return bytes(body)
