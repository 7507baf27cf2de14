"""Implements the commands of ``lovagectl``."""

import argparse
import hashlib
import secrets
from pathlib import Path
from typing import Final
from urllib.parse import urlencode

from lovagemast_core import (
    grant_key,
    keep_operator_changes,
    set_draining,
    set_zone_out,
    withdraw_key,
)

from ._client import ApiClient, UnreachableError
from ._diff import diff_documents
from ._fleetapi import FleetApi
from ._format import (
    format_event,
    format_limits,
    format_parts,
    format_software,
    format_status,
)
from ._outcome import CommandResult, ExitStatus
from ._sources import (
    Document,
    SourceError,
    describe_fault,
    expand_sources,
    load_source,
)

KEY_BYTES: Final = 32
QUARANTINE_PATH: Final = '/admin/quarantine'
LIMITS_PATH: Final = '/admin/limits'
SOFTWARE_PATH: Final = '/admin/software'


class Actions:
    """Runs commands with the parsed options.

    Each public method implements the subcommand of the same name.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._client = ApiClient(options.vm, options.key)
        self._fleet = FleetApi(self._client, options.timeout)

    def check(self) -> CommandResult:
        """Validate a template without contacting a fleet."""
        expanded = self._expand()
        if isinstance(expanded, CommandResult):
            return expanded
        return CommandResult(ExitStatus.DONE, 'no faults', expanded)

    def plan(self) -> CommandResult:
        """Show what applying a template would change."""
        expanded = self._expand()
        if isinstance(expanded, CommandResult):
            return expanded
        current = self._fleet.current()
        desired = keep_operator_changes(expanded, current.document)
        lines = diff_documents(current.document, desired)
        text = '\n'.join(lines) or 'no changes'
        document = {'revision': current.revision, 'changes': lines}
        return CommandResult(ExitStatus.DONE, text, document)

    def apply(self) -> CommandResult:
        """Apply a template."""
        expanded = self._expand()
        if isinstance(expanded, CommandResult):
            return expanded
        if self._options.expect is None:
            return self._fleet.edit(
                lambda current: keep_operator_changes(expanded, current),
                'configuration',
            )
        current = self._fleet.current()
        desired = keep_operator_changes(expanded, current.document)
        return self._fleet.apply(desired, self._options.expect)

    def get(self) -> CommandResult:
        """Show the configuration in force."""
        current = self._fleet.current()
        lines = [f'revision {current.revision}']
        lines += diff_documents({}, current.document)
        return CommandResult(
            ExitStatus.DONE, '\n'.join(lines), current._asdict()
        )

    def status(self) -> CommandResult:
        """Show VMs and targets."""
        status = self._fleet.status()
        return CommandResult(ExitStatus.DONE, format_status(status), status)

    def zone(self) -> CommandResult:
        """Take an availability zone out of service or put it back."""
        options = self._options
        return self._fleet.edit(
            lambda current: set_zone_out(
                current,
                options.zone,
                out=options.state == 'out',
            ),
            f'zone {options.zone} {options.state}',
        )

    def drain(self) -> CommandResult:
        """Drain a VM, or end its drain."""
        options = self._options
        return self._fleet.edit(
            lambda current: set_draining(
                current,
                options.name,
                drain=not options.undo,
            ),
            f'drain {options.name}',
        )

    def remove(self) -> CommandResult:
        """Remove a VM that has failed for good."""
        change = {'vm': self._options.name}
        reply = self._client.post('/admin/remove-vm', change)
        done = reply.status < 300
        text = 'removed' if done else reply.document.get('reason', 'refused')
        status = ExitStatus.DONE if done else ExitStatus.REFUSED
        return CommandResult(
            status,
            f'VM {self._options.name}: {text}',
            reply.document,
        )

    def quarantine(self) -> CommandResult:
        """List suspected and quarantined prompt parts, or clear one."""
        part = self._options.clear
        if part is None:
            document = self._client.get(QUARANTINE_PATH).document
            return CommandResult(
                ExitStatus.DONE, format_parts(document['parts']), document
            )
        reply = self._client.post(QUARANTINE_PATH, {'clear': part})
        done = reply.status < 300
        text = 'cleared' if done else reply.document['reason']
        status = ExitStatus.DONE if done else ExitStatus.REFUSED
        return CommandResult(status, f'part {part}: {text}', reply.document)

    def limits(self) -> CommandResult:
        """List the targets that name a limit for their requests."""
        document = self._client.get(LIMITS_PATH).document
        return CommandResult(
            ExitStatus.DONE, format_limits(document['limits']), document
        )

    def software(self) -> CommandResult:
        """List the software versions of each pool's targets."""
        document = self._client.get(SOFTWARE_PATH).document
        return CommandResult(
            ExitStatus.DONE, format_software(document['software']), document
        )

    def key(self) -> CommandResult:
        """Grant or withdraw a key."""
        if self._options.state == 'grant':
            return self._grant()
        name = self._options.name
        return self._fleet.edit(
            lambda current: withdraw_key(current, _digest_prefix(name)),
            'key withdrawn',
        )

    def timeline(self) -> CommandResult:
        """Show the events of all VMs in order of time."""
        options = self._options
        filters = {
            name: getattr(options, name)
            for name in ('request', 'account', 'target', 'since', 'limit')
            if getattr(options, name)
        }
        path = f'/admin/timeline?{urlencode(filters)}'
        events: list[Document] = []
        unreachable_vms = []
        for vm in self._fleet.status()['vms']:
            if options.only_vm and vm['vm'] != options.only_vm:
                continue
            try:
                events += self._client.get(path, vm['admin']).document
            except UnreachableError:
                unreachable_vms.append(vm['vm'])
        events.sort(key=lambda event: event['at'])
        events = events[-options.limit :]
        lines = [format_event(event) for event in events]
        if unreachable_vms:
            lines.append(f'no answer from {", ".join(unreachable_vms)}')
        return CommandResult(ExitStatus.DONE, '\n'.join(lines), events)

    def _grant(self) -> CommandResult:
        account = self._options.name
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()

        def change(current: Document) -> Document | None:
            accounts = current.get('accounts', ())
            if all(existing['name'] != account for existing in accounts):
                return None
            return grant_key(current, account, digest)

        done = self._fleet.edit(change, f'key for {account}')
        if done.status is ExitStatus.REFUSED:
            return done
        text = f'{done.text}\nkey, shown this once: {key}\ndigest: {digest}'
        document = {**done.document, 'key': key, 'digest': digest}
        return CommandResult(done.status, text, document)

    def _expand(self) -> Document | CommandResult:
        try:
            template = load_source(Path(self._options.template))
            parameters = load_source(Path(self._options.parameters))
        except SourceError as exc:
            return CommandResult(ExitStatus.INVALID_INPUT, str(exc), [str(exc)])
        expansion = expand_sources(template, parameters)
        if expansion.cfg is None:
            faults = [
                describe_fault(fault, template, parameters)
                for fault in expansion.faults
            ]
            return CommandResult(
                ExitStatus.INVALID_INPUT, '\n'.join(faults), faults
            )
        return expansion.document


def _digest_prefix(name: str) -> str:
    """Return the digest of a key; digests and their prefixes stay as given."""
    is_hex = all(letter in '0123456789abcdef' for letter in name)
    if is_hex and len(name) <= hashlib.sha256().digest_size * 2:
        return name
    return hashlib.sha256(name.encode()).hexdigest()
