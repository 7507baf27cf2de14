"""The operators' calls on quarantined prompt parts, at a control VM.

They belong to this project, not to the platform's interface, so they need no
codec. Every control VM answers them.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

from lovagemast_core import Applied
from lovagemast_core.quarantine import (
    ClearSubjects,
    QuarantineState,
    SubjectRecord,
)

from ..http import HttpRequest
from ._jsonlog import JsonLog
from ._quarantinelog import record_fields

PATH: Final = '/admin/quarantine'
OK: Final = 200
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
METHOD_NOT_ALLOWED: Final = 405
UNAVAILABLE: Final = 503

Propose = Callable[[ClearSubjects], Awaitable[object]]


class ApiReply(NamedTuple):
    """A status and the JSON document of the body."""

    status: int
    document: dict[str, Any]


class QuarantineApi:
    """Lists suspected and quarantined parts, and clears them.

    ``state`` returns the state that this replica has applied; ``propose``
    commits a command and returns its outcome.
    """

    def __init__(
        self,
        state: Callable[[], QuarantineState],
        propose: Propose,
        log: JsonLog,
    ) -> None:
        self._state = state
        self._propose = propose
        self._log = log

    async def serve(self, req: HttpRequest) -> ApiReply:
        """Serve a call to ``PATH``."""
        if req.method == 'GET':
            parts = [_describe(record) for record in self._state().records]
            return ApiReply(OK, {'parts': parts})
        if req.method == 'POST':
            return await self._clear(req.body)
        return ApiReply(METHOD_NOT_ALLOWED, {'reason': 'GET or POST'})

    async def _clear(self, body: bytes) -> ApiReply:
        part = _parse_part(body)
        if not part:
            reason = 'the body must be a JSON object with "clear"'
            return ApiReply(BAD_REQUEST, {'reason': reason})
        if self._state().find(part) is None:
            return ApiReply(NOT_FOUND, {'reason': f'no suspected part {part}'})
        outcome = await self._propose(ClearSubjects((part,)))
        self._log.write(
            'admin', 'part cleared', part=part, outcome=repr(outcome)
        )
        if isinstance(outcome, Applied):
            return ApiReply(OK, {'cleared': part})
        return ApiReply(UNAVAILABLE, {'reason': 'no leader confirmed it'})


def _parse_part(body: bytes) -> str:
    """Return the part to clear, empty if the body is not valid."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return ''
    part = document.get('clear') if isinstance(document, dict) else None
    return part.lower() if isinstance(part, str) else ''


def _describe(record: SubjectRecord) -> dict[str, Any]:
    status = 'quarantined' if record.is_quarantined else 'suspected'
    return {**record_fields(record), 'status': status}
