"""Reads the fleet's configuration and changes it by compare-and-set."""

import secrets
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from ._client import ApiClient, ApiReply
from ._outcome import CommandResult, ExitStatus

OPERATION_ID_BYTES: Final = 8
POLL_INTERVAL_S: Final = 0.2
MAX_EDIT_ATTEMPTS: Final = 5
OK: Final = 200
CONFLICT: Final = 409

Document = dict[str, Any]
ConfigEdit = Callable[[Document], Document | None]


class CurrentConfig(NamedTuple):
    """The configuration in force at the VM that answered."""

    revision: int
    document: Document


class FleetApi:
    """Fleet-wide operations over the administration API."""

    def __init__(self, client: ApiClient, in_force_timeout_s: float) -> None:
        self._client = client
        self._in_force_timeout_s = in_force_timeout_s

    def current(self) -> CurrentConfig:
        """Return the configuration in force."""
        document = self._client.get('/admin/config').document
        return CurrentConfig(document['revision'], document['document'])

    def status(self) -> Document:
        """Return the fleet as the first VM that answers sees it."""
        status: Document = self._client.get('/admin/status').document
        return status

    def edit(self, change: ConfigEdit, subject: str) -> CommandResult:
        """Change the current configuration, with a retry on conflict.

        ``change`` returns ``None`` if the object to change does not exist.
        """
        for _ in range(MAX_EDIT_ATTEMPTS):
            current = self.current()
            desired = change(current.document)
            if desired is None:
                return CommandResult(
                    ExitStatus.REFUSED,
                    f'{subject}: not found in the configuration',
                    {'outcome': 'missing'},
                )
            reply = self._apply(desired, current.revision)
            if reply.status != CONFLICT:
                return self._report(reply, subject)
        return CommandResult(
            ExitStatus.REFUSED,
            f'{subject}: conflicting changes by other operators',
            {'outcome': 'conflict'},
        )

    def apply(self, document: Document, expected: int) -> CommandResult:
        """Apply a complete configuration if the revision is as expected."""
        reply = self._apply(document, expected)
        return self._report(reply, 'configuration')

    def _apply(self, document: Document, expected: int) -> ApiReply:
        change = {
            'op_id': secrets.token_hex(OPERATION_ID_BYTES),
            'expected': expected,
            'document': document,
        }
        return self._client.post('/admin/apply', change)

    def _report(self, reply: ApiReply, subject: str) -> CommandResult:
        if reply.status != OK:
            detail = reply.document.get('reason') or reply.document['detail']
            return CommandResult(
                ExitStatus.REFUSED,
                f'{subject}: refused: {detail}',
                reply.document,
            )
        revision = reply.document['revision']
        lagging_vms = self._wait_in_force(revision)
        if lagging_vms:
            text = f'not yet in force at {", ".join(lagging_vms)}'
            status = ExitStatus.NOT_IN_FORCE
        else:
            text = 'in force at every VM'
            status = ExitStatus.DONE
        return CommandResult(
            status,
            f'{subject}: accepted as revision {revision}, {text}',
            {'revision': revision, 'not_in_force': lagging_vms},
        )

    def _wait_in_force(self, revision: int) -> list[str]:
        deadline = time.monotonic() + self._in_force_timeout_s
        while True:
            lagging_vms = [
                vm['vm']
                for vm in self.status()['vms']
                if vm['revision'] < revision or not vm['alive']
            ]
            if not lagging_vms or time.monotonic() > deadline:
                return lagging_vms
            time.sleep(POLL_INTERVAL_S)
