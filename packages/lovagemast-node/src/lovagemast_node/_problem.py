"""Problem documents (RFC 9457) for refused and failed requests."""

import json
import math
from typing import Any, Final

from lovagemast_core import Refusal

MEDIA_TYPE: Final = 'application/problem+json'


def problem_document(refusal: Refusal, request: str) -> dict[str, Any]:
    """Return the problem document of a refusal.

    ``error`` repeats it in the format that OpenAI client libraries expect.
    """
    reason = refusal.reason.value
    return {
        'type': f'urn:lovagemast:{reason}',
        'title': reason.replace('-', ' '),
        'status': refusal.status,
        'detail': refusal.detail,
        'reason': reason,
        'run': refusal.run.value,
        'request': request,
        'error': {
            'message': refusal.detail,
            'type': reason,
            'code': reason,
            'param': None,
        },
    }


def problem_body(refusal: Refusal, request: str) -> bytes:
    """Return the problem document of a refusal, encoded as JSON."""
    return json.dumps(problem_document(refusal, request)).encode()


def problem_headers(refusal: Refusal, request: str) -> dict[str, str]:
    """Return the response headers that go with a problem document."""
    headers = {'Content-Type': MEDIA_TYPE, 'X-Request-Id': request}
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers['Retry-After'] = str(seconds)
    if refusal.status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def problem_event(refusal: Refusal, request: str) -> bytes:
    """Return a server-sent event that reports why a stream was aborted."""
    return b'data: ' + problem_body(refusal, request) + b'\n\n'
