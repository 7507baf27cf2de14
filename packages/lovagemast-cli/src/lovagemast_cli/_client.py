"""HTTP client for the administration API of a fleet."""

import json
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import urllib3

CONNECT_TIMEOUT_S: Final = 2.0
READ_TIMEOUT_S: Final = 10.0
UNAUTHORIZED: Final = 401
FIRST_SERVER_ERROR: Final = 500


class UnreachableError(Exception):
    """No VM answered; a change that was sent may still be applied."""


class ForbiddenError(Exception):
    """The operator's key is missing or not valid."""


class ApiReply(NamedTuple):
    """The status and JSON document of an HTTP response."""

    status: int
    document: Any


class ApiClient:
    """Sends each request to the VMs in order until one answers.

    A connection failure or a server error counts as no answer.
    """

    def __init__(self, vms: Sequence[str], key: str) -> None:
        self._vms = list(vms)
        self._headers = {'Authorization': f'Bearer {key}'}
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S,
                read=READ_TIMEOUT_S,
            ),
            retries=False,
        )

    def get(self, path: str, vm: str = '') -> ApiReply:
        """Read from the given VM, or from the first that answers.

        Raises :exc:`UnreachableError` if none does and
        :exc:`ForbiddenError` if the key is not valid.
        """
        return self._send('GET', path, None, vm)

    def post(self, path: str, document: Any, vm: str = '') -> ApiReply:
        """Send an idempotent change; another VM may receive it again.

        Raises :exc:`UnreachableError` if no VM answers and
        :exc:`ForbiddenError` if the key is not valid.
        """
        return self._send('POST', path, document, vm)

    def _send(
        self,
        method: str,
        path: str,
        document: Any,
        vm: str,
    ) -> ApiReply:
        failures = []
        for url in [vm] if vm else self._vms:
            try:
                reply = self._request(method, url, path, document)
            except urllib3.exceptions.HTTPError as exc:
                failures.append(f'{url}: {exc}')
                continue
            _check_authorized(url, reply.status)
            if reply.status < FIRST_SERVER_ERROR:
                return ApiReply(reply.status, json.loads(reply.data))
            failures.append(f'{url}: HTTP status {reply.status}')
        raise UnreachableError('; '.join(failures) or 'no VM address was given')

    def _request(
        self,
        method: str,
        url: str,
        path: str,
        document: Any,
    ) -> urllib3.BaseHTTPResponse:
        body = None if document is None else json.dumps(document).encode()
        return self._pool.request(
            method,
            _with_scheme(url) + path,
            body=body,
            headers=self._headers,
        )


def _check_authorized(url: str, status: int) -> None:
    if status == UNAUTHORIZED:
        raise ForbiddenError(f'{url}: the operator key is not valid')


def _with_scheme(url: str) -> str:
    return url if '://' in url else f'http://{url}'
