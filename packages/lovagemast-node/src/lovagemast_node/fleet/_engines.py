"""Orders and questions to engines over HTTP."""

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
    ConnectFailed,
    ResponseData,
    ResponseFailed,
    ResponseHead,
    TargetConnection,
    TargetPool,
)
from ._dialect import ControlDialect
from ._lines import LineLog

ORDER_TIMEOUT_S: Final = 1.5
CONNECT_TIMEOUT_S: Final = 0.5
OK: Final = 200


class EngineAnswer(NamedTuple):
    """A whole answer of an engine."""

    status: int
    body: bytes


class EngineClient:
    """Calls engines for the VM that leads."""

    def __init__(self, vm: str, dialect: ControlDialect, log: LineLog) -> None:
        self._vm = vm
        self._dialect = dialect
        self._log = log
        self._pool = TargetPool()

    async def send(self, order: Order) -> OrderOutcome:
        """Send an order and return what came of it."""
        request_id = secrets.token_hex(8)
        data = self._dialect.order_request(order, self._vm, request_id)
        answer = await self._call(order.address, data)
        if isinstance(answer, EngineAnswer):
            result = self._dialect.read_order_answer(answer.status)
            outcome = OrderOutcome(order, result, str(answer.status))
        elif isinstance(answer, ConnectFailed):
            outcome = OrderOutcome(order, OrderResult.REFUSED, answer.detail)
        else:
            outcome = OrderOutcome(order, OrderResult.UNKNOWN, answer.detail)
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

    async def ask_report(
        self,
        target: str,
        address: str,
    ) -> TargetReport | None:
        """Return an engine's report, ``None`` if it gave none."""
        data = self._dialect.report_request(target, address)
        answer = await self._call(address, data)
        report = None
        if isinstance(answer, EngineAnswer) and answer.status == OK:
            report = self._dialect.read_report(target, answer.body)
        if report is None:
            self._log.write(
                'order',
                'no report',
                target=target,
                cause=repr(answer)[:200],
            )
        return report

    async def _call(
        self,
        address: str,
        data: bytes,
    ) -> EngineAnswer | ResponseFailed | ConnectFailed:
        conn = await self._pool.acquire(
            address,
            fresh=False,
            timeout_s=CONNECT_TIMEOUT_S,
            now=now_s(),
        )
        if isinstance(conn, ConnectFailed):
            return conn
        conn.send(data, b'', b'')
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                answer = await _read_answer(conn)
        except TimeoutError:
            answer = ResponseFailed('no answer in time')
        if isinstance(answer, EngineAnswer):
            self._pool.release(conn, now_s())
        else:
            conn.close()
        return answer


async def _read_answer(conn: TargetConnection) -> EngineAnswer | ResponseFailed:
    status = 0
    body = b''
    while True:
        event = await conn.next_event()
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, ResponseData):
            body += event.chunk
        elif isinstance(event, ResponseFailed):
            return event
        else:
            return EngineAnswer(status, body)
