"""Encodes the head of the request that is sent to a target."""

from typing import Final

from lovagemast_core.entry import Candidate

from ..http import encode_head
from ._admitted import AdmittedRequest
from ._codec import TargetRequestMetadata
from ._entrystate import EntryState

BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


def encode_request_head(
    state: EntryState,
    admitted: AdmittedRequest,
    candidate: Candidate,
    last_event_id: str,
    now: float,
) -> bytes:
    """Return the head of a request, with the platform's headers."""
    label = candidate.label
    version = 0
    if (
        label
        and label.adapter
        and state.view.newest_version(label.model, label.adapter)
    ):
        version = label.version
    target_metadata = TargetRequestMetadata(
        admitted.metadata.request_id,
        candidate.target,
        admitted.account_name,
        max(0.001, admitted.deadline - now),
        version,
        last_event_id,
        admitted.priority,
    )
    headers = state.codec.target_request_headers(
        admitted.req.headers, target_metadata
    )
    if admitted.req.body or admitted.req.method in BODY_METHODS:
        length = str(len(admitted.req.body)).encode()
        headers.append((b'Content-Length', length))
    line = f'{admitted.req.method} {admitted.req.request_target} HTTP/1.1'
    return encode_head(line, headers)
