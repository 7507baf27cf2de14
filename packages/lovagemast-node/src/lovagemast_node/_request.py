"""Parses callers' HTTP requests for the core and for targets."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from lovagemast_core import CallerRequest, Reason, Refusal

BYTES_PER_TOKEN: Final = 4  # to estimate the tokens of a prompt
PREFIX_CHARS: Final = 1024  # of the prompt, for its prefix digest
_COUNT_FIELDS: Final = ('max_tokens', 'max_completion_tokens', 'n', 'best_of')
_BEARER_PREFIX: Final = 'bearer '
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_CREDENTIAL_HEADERS: Final = frozenset(
    (
        'api-key',
        'authorization',
        'cookie',
        'proxy-authorization',
        'x-api-key',
    )
)


class ReceivedRequest(NamedTuple):
    """A caller's parsed request, kept while it is in progress."""

    req: CallerRequest
    path_and_query: str
    headers: dict[str, str]
    body: bytes
    document: dict[str, Any] | None  # body of an engine request


class RawRequest(NamedTuple):
    """An HTTP request, independent of the HTTP library that read it."""

    request: str
    method: str
    path: str
    path_and_query: str
    headers: Mapping[str, str]
    body: bytes


def sha256_hex(secret: str) -> str:
    """Return the SHA-256 digest in hex by which keys are identified."""
    return hashlib.sha256(secret.encode()).hexdigest()


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the bearer token of an ``Authorization`` header, if any."""
    authorization = headers.get('Authorization', '')
    if authorization[: len(_BEARER_PREFIX)].lower() == _BEARER_PREFIX:
        return authorization[len(_BEARER_PREFIX) :].strip()
    return ''


def parse_request(
    raw: RawRequest, *, engine: bool
) -> ReceivedRequest | Refusal:
    """Return the parsed request, or a refusal if it is malformed."""
    parsed = _parse_engine_document(raw.body) if engine else None
    if isinstance(parsed, Refusal):
        return parsed
    document = parsed
    key = bearer_key(raw.headers)
    idempotency_key = raw.headers.get('Idempotency-Key', '')
    req = CallerRequest(
        request=raw.request,
        method=raw.method,
        path=raw.path,
        key_digest=sha256_hex(key) if key else '',
        model=document['model'] if document else '',
        prompt_tokens=len(raw.body) // BYTES_PER_TOKEN if document else 0,
        max_tokens=_max_tokens(document) if document else 0,
        fingerprint=_fingerprint(raw),
        prefix=_prefix_digest(document) if document else '',
        idempotency_key=sha256_hex(idempotency_key) if idempotency_key else '',
        choices=_choices(document) if document else 1,
    )
    headers = _forwarded_headers(raw.headers, key)
    return ReceivedRequest(req, raw.path_and_query, headers, raw.body, document)


def build_engine_body(
    received: ReceivedRequest, label: str, max_tokens: int
) -> bytes:
    """Return the body for an engine with its adapter label and limit."""
    document = {**(received.document or {}), 'model': label}
    name = 'max_tokens'
    if 'max_completion_tokens' in document:
        name = 'max_completion_tokens'
    document[name] = max_tokens
    return json.dumps(document).encode()


def _parse_engine_document(body: bytes) -> dict[str, Any] | Refusal:
    try:
        document = json.loads(body)
    except ValueError as exc:
        return Refusal(Reason.BAD_REQUEST, f'the body is not JSON: {exc}')
    if not isinstance(document, dict):
        return Refusal(Reason.BAD_REQUEST, 'the body is not a JSON object')
    if not isinstance(document.get('model'), str):
        return Refusal(Reason.BAD_REQUEST, 'the body names no model')
    for name in _COUNT_FIELDS:
        limit = document.get(name)
        if limit is not None and not _is_positive(limit):
            detail = f'{name} must be a positive whole number'
            return Refusal(Reason.BAD_REQUEST, detail)
    return document


def _is_positive(number: object) -> bool:
    if isinstance(number, bool) or not isinstance(number, int):
        return False
    return number > 0


def _choices(document: dict[str, Any]) -> int:
    """Return how many completions an engine may generate for a request."""
    choices = document.get('n') or 1
    return max(choices, document.get('best_of') or 1)


def _max_tokens(document: dict[str, Any]) -> int:
    limit = document.get('max_completion_tokens') or document.get('max_tokens')
    return limit or 0


def _fingerprint(raw: RawRequest) -> str:
    digest = hashlib.sha256()
    digest.update(f'{raw.method} {raw.path_and_query}\n'.encode())
    digest.update(raw.body)
    return digest.hexdigest()


def _prefix_digest(document: dict[str, Any]) -> str:
    prompt = document.get('messages') or document.get('prompt') or ''
    text = json.dumps(prompt)[:PREFIX_CHARS]
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _forwarded_headers(
    headers: Mapping[str, str],
    key: str,
) -> dict[str, str]:
    excluded = _HOP_BY_HOP_HEADERS | _CREDENTIAL_HEADERS
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in excluded and not (key and key in value)
    }
