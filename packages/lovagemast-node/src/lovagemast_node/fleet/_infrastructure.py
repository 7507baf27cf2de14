"""HTTP client for the infrastructure that runs the targets.

It may be slow, down or unreachable, and may respond anything. Each call has
its own connection, so that none arrives after a later one on an older
connection, and a response is read up to a size limit.
"""

import asyncio
from typing import Final, NamedTuple

from lovagemast_core.duties import CallDone, CallResult, HandedCall

from .._clock import now_s
from ..http import (
    ConnectFailed,
    ResponseData,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    TargetPool,
)
from ._codec import ControlCodec
from ._jsonlog import JsonLog
from ._settings import CloudSettings

CONNECT_TIMEOUT_S: Final = 0.5
MAX_RESPONSE_BYTES: Final = 65_536
MAX_DETAIL: Final = 200  # characters of a log field


class _CallOutcome(NamedTuple):
    result: CallResult
    detail: str


class InfrastructureClient:
    """Sends calls for the leader and reports how each ended."""

    def __init__(
        self,
        cloud: CloudSettings,
        holder: str,
        codec: ControlCodec,
        log: JsonLog,
    ) -> None:
        self._cloud = cloud
        self._holder = holder
        self._codec = codec
        self._log = log
        self._pool = TargetPool()

    async def send(self, handed: HandedCall, send_by: float) -> CallDone:
        """Send a call and return its outcome; not after ``send_by``, in s."""
        started_at = now_s()
        try:
            outcome = await self._call(handed, send_by)
        except Exception as exc:  # the leader must learn of the outcome
            outcome = _CallOutcome(CallResult.REJECTED, repr(exc))
        detail = outcome.detail[:MAX_DETAIL]
        self._log.write(
            'duty',
            'call',
            call=handed.call,
            token=handed.token,
            result=outcome.result.value,
            detail=detail,
            took_s=round(now_s() - started_at, 4),
        )
        return CallDone(handed.number, handed.term, outcome.result, detail)

    async def _call(self, handed: HandedCall, send_by: float) -> _CallOutcome:
        address = self._cloud.address
        request = self._codec.encode_duty_call(handed, self._holder, address)
        conn = await self._pool.acquire(
            address, fresh=True, timeout_s=CONNECT_TIMEOUT_S, now=now_s()
        )
        if isinstance(conn, ConnectFailed):
            return _CallOutcome(CallResult.UNREACHABLE, conn.detail)
        try:
            if now_s() > send_by:  # as after a freeze
                return _CallOutcome(CallResult.NOT_SENT, 'too late to be sent')
            conn.send(request, b'', b'')
            async with asyncio.timeout(handed.timeout_s):
                return await self._read(conn)
        except TimeoutError:
            conn.reset()  # a call that is still on its way must not arrive
            return _CallOutcome(CallResult.SILENT, 'no answer in time')
        finally:
            conn.close()

    async def _read(self, conn: TargetConnection) -> _CallOutcome:
        status = 0
        size = 0
        while size <= MAX_RESPONSE_BYTES:
            event = await conn.next_event()
            if isinstance(event, ResponseHead):
                status = event.status
            elif isinstance(event, ResponseData):
                size += len(event.chunk)
            elif isinstance(event, ResponseFailed):
                return _failed(event)
            else:
                result = self._codec.decode_duty_status(status)
                return _CallOutcome(result, str(status))
        return _CallOutcome(CallResult.REJECTED, 'the response is too long')


def _failed(event: ResponseFailed) -> _CallOutcome:
    result = CallResult.REJECTED if event.is_malformed else CallResult.SILENT
    return _CallOutcome(result, event.detail)
