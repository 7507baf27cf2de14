"""Runs a request's forwarder within its deadline and a shutdown's."""

import asyncio
from typing import Final

from .._clock import now_s
from ._admitted import AdmittedRequest
from ._entrystate import EntryState
from ._forwarder import RequestForwarder
from ._refusal import HttpRefusal
from ._waitconditions import NOT_RUN_RETRY_AFTER_S

SHUTDOWN_REASON: Final = 'the entry VM shuts down'


async def deliver(
    state: EntryState, forwarder: RequestForwarder, admitted: AdmittedRequest
) -> HttpRefusal | None:
    """Relay a response, or return why there is none."""
    deadline = admitted.deadline
    if state.drain:
        deadline = min(deadline, state.drain.ends_at)
    limit = asyncio.timeout(deadline - now_s())
    state.time_limits.add(limit)
    try:
        async with limit:
            return await forwarder.run()
    except TimeoutError:
        return _refuse_late(forwarder, admitted)
    finally:
        state.time_limits.discard(limit)


def _refuse_late(
    forwarder: RequestForwarder, admitted: AdmittedRequest
) -> HttpRefusal:
    is_late = now_s() >= admitted.deadline
    if forwarder.may_have_run:
        reason = 'deadline passed' if is_late else SHUTDOWN_REASON
        return HttpRefusal(504, reason)
    reason = 'no target in time' if is_late else SHUTDOWN_REASON
    return HttpRefusal(503, reason, NOT_RUN_RETRY_AFTER_S)
