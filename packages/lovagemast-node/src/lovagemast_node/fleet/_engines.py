"""HTTP client for orders and report requests to engines."""

import asyncio
import secrets
from typing import Final, NamedTuple

from lovagemast_core.adapters import (
    Order,
    OrderOutcome,
    OrderResult,
    TargetReport,
)

from .._clock import now_s
from ..http import (
    BodyBudget,
    BodyShare,
    ConnectFailed,
    ResponseData,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    TargetPool,
    check_size,
)
from ._codec import ControlCodec
from ._jsonlog import JsonLog
from ._metrics import ControlMetrics

# Engines answer at once. One without an answer gets no other order for this
# time, so a longer timeout keeps engines idle where answers are often lost.
RESPONSE_TIMEOUT_S: Final = 0.4
ENGINE_CONNECT_TIMEOUT_S: Final = 0.5
OK: Final = 200


class EngineResponse(NamedTuple):
    """A complete response of an engine."""

    status: int
    body: bytes


class EngineClient:
    """Sends orders and report requests to engines."""

    def __init__(
        self, vm: str, codec: ControlCodec, log: JsonLog, pool: TargetPool
    ) -> None:
        self._vm = vm
        self._codec = codec
        self._log = log
        self._pool = pool

    async def send(self, order: Order) -> OrderOutcome:
        """Send an order to load or unload an adapter; return its outcome."""
        request_id = secrets.token_hex(8)
        data = self._codec.encode_order(order, self._vm, request_id)
        response = await self._call(order.address, data)
        if isinstance(response, EngineResponse):
            result = self._codec.decode_order_status(response.status)
            outcome = OrderOutcome(order, result, str(response.status))
        elif isinstance(response, ConnectFailed):
            outcome = OrderOutcome(order, OrderResult.REFUSED, response.detail)
        else:
            outcome = OrderOutcome(order, OrderResult.UNKNOWN, response.detail)
        self._log.write(
            'order',
            'load' if order.load else 'unload',
            target=order.target,
            label=str(order.label),
            precondition=order.precondition,
            fence=order.fence,
            result=outcome.result.value,
            detail=outcome.detail,
        )
        return outcome

    async def request_report(
        self,
        target: str,
        address: str,
    ) -> TargetReport | None:
        """Return an engine's report, ``None`` if it sent no valid one."""
        data = self._codec.encode_report_request(target, address)
        response = await self._call(address, data)
        report = None
        if isinstance(response, EngineResponse) and response.status == OK:
            report = self._codec.decode_report(target, response.body)
        if report is None:
            self._log.write(
                'order',
                'no valid report',
                target=target,
                cause=repr(response)[:200],
            )
        return report

    async def _call(
        self,
        address: str,
        data: bytes,
    ) -> EngineResponse | ResponseFailed | ConnectFailed:
        conn = await self._pool.acquire(
            address,
            fresh=False,
            timeout_s=ENGINE_CONNECT_TIMEOUT_S,
            now=now_s(),
        )
        if isinstance(conn, ConnectFailed):
            return conn
        conn.send(data, b'', b'')
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await _read_response(conn, self._pool.bodies)
        except TimeoutError:
            response = ResponseFailed('no answer in time')
        if isinstance(response, EngineResponse):
            self._pool.release(conn, now_s())
        else:
            conn.reset()  # an order that is still on its way must not arrive
        return response


def log_unsent_order(
    log: JsonLog, metrics: ControlMetrics, outcome: OrderOutcome
) -> None:
    """Log an order that the holder of its engine did not send."""
    metrics.record_order(outcome.result.value)
    log.write(
        'order',
        'not sent',
        target=outcome.order.target,
        label=str(outcome.order.label),
        fence=outcome.order.fence,
        result=outcome.result.value,
        detail=outcome.detail,
    )


async def _read_response(
    conn: TargetConnection, bodies: BodyBudget | None = None
) -> EngineResponse | ResponseFailed:
    share = BodyShare(bodies or BodyBudget())
    try:
        return await _keep_response(conn, share)
    finally:
        share.release()


async def _keep_response(
    conn: TargetConnection, share: BodyShare
) -> EngineResponse | ResponseFailed:
    status = 0
    body = bytearray()
    while True:
        event = await conn.next_event()
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, ResponseData):
            body += event.chunk
            problem = check_size(body, share)
            if problem:
                return ResponseFailed(problem)
        elif isinstance(event, ResponseFailed):
            return event
        else:
            return EngineResponse(status, bytes(body))
